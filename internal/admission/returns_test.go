package admission_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
)

// TestReturns guards against callers that are sent back into the same overload at once, against waits beyond the time that
// they have, and against a long wait where a place is free soon.
func TestReturns(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name            string
		asked, refused  int
		left            time.Duration
		earliest, least time.Duration
		most            time.Duration
	}{
		{"few are refused", 100, 3, 6 * time.Second, 100 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond},
		{"most are refused", 100, 90, 6 * time.Second, time.Second, time.Second, 2 * time.Second},
		{"little time is left", 100, 90, 150 * time.Millisecond, 0, 25 * time.Millisecond, 50 * time.Millisecond},
		{"nothing is known", 0, 0, 6 * time.Second, time.Second, time.Second, 2 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var rt admission.RetryAfter
			for number := range tc.asked {
				rt.Observe(began, number < tc.refused)
			}
			early, late := rt.Delay(began, tc.left, 1), rt.Delay(began, tc.left, 0)
			if early < tc.least || late > tc.most || early > late {
				t.Errorf("waits from %s to %s, want %s to %s", early, late, tc.least, tc.most)
			}
			if shortest := rt.MinDelay(began, tc.left); shortest > early || shortest < tc.earliest {
				t.Errorf("shortest %s, earliest %s", shortest, early)
			}
		})
	}
}

// TestImpatientCallers guards against callers that come back before they were asked to and take the places of others.
func TestImpatientCallers(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		budget time.Duration
		want   admission.DropPrecedence
	}{
		{"first attempt", 6 * time.Second, admission.Normal},
		{"first attempt that took long to arrive", 5900 * time.Millisecond, admission.Normal},
		{"back at once", 5800 * time.Millisecond, admission.Demoted},
		{"back as asked", 4900 * time.Millisecond, admission.Normal},
		{"no budget stated", 0, admission.Normal},
	}
	var at admission.RetryDetector
	at.Classify(6*time.Second, time.Second)
	for _, tc := range cases {
		if got := at.Classify(tc.budget, time.Second); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestTeams guards against a surging team that takes the places of others, against a team that stays held after its surge,
// and against small counts that look like a surge.
func TestTeams(t *testing.T) {
	t.Parallel()
	var tm admission.TeamRates
	over := map[string]int{}
	for number := range 200 {
		now := began.Add(time.Duration(number) * 50 * time.Millisecond)
		if tm.OverShare(now, "hot") {
			over["hot"]++
		}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			if number%10 == 0 && tm.OverShare(now, chestnutroad.TeamID(name)) {
				over[name]++
			}
		}
	}
	if over["hot"] < 100 || len(over) != 1 {
		t.Errorf("over their share: %v", over)
	}
	if tm.OverShare(began.Add(30*time.Second), "hot") {
		t.Error("the team is still held 20 s after its surge")
	}
}
