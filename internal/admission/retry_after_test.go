package admission_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
)

// TestRetryAfter guards against delays that send refused callers back into the same overload, against delays beyond their
// remaining time, and against long delays where a slot is free soon.
func TestRetryAfter(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name              string
		requests, refused int
		left              time.Duration
		earliest, least   time.Duration
		most              time.Duration
	}{
		{"few are refused", 100, 3, 6 * time.Second, 100 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond},
		{"most are refused", 100, 90, 6 * time.Second, time.Second, time.Second, 2 * time.Second},
		{"little time remains", 100, 90, 150 * time.Millisecond, 0, 25 * time.Millisecond, 50 * time.Millisecond},
		{"no requests yet", 0, 0, 6 * time.Second, time.Second, time.Second, 2 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var ra admission.RetryAfter
			for number := range tc.requests {
				ra.Observe(startTime, number < tc.refused)
			}
			early, late := ra.Delay(startTime, tc.left, 1), ra.Delay(startTime, tc.left, 0)
			if early < tc.least || late > tc.most || early > late {
				t.Errorf("delays from %s to %s, want %s to %s", early, late, tc.least, tc.most)
			}
			if shortest := ra.MinDelay(startTime, tc.left); shortest > early || shortest < tc.earliest {
				t.Errorf("MinDelay is %s, the shortest Delay is %s", shortest, early)
			}
		})
	}
}

// TestEarlyRetries guards against callers that retry before the requested delay and take the slots of others.
func TestEarlyRetries(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		budget time.Duration
		want   admission.DropPrecedence
	}{
		{"first attempt", 6 * time.Second, admission.Normal},
		{"first attempt that arrived late", 5900 * time.Millisecond, admission.Normal},
		{"immediate retry", 5800 * time.Millisecond, admission.Demoted},
		{"retry after the delay", 4900 * time.Millisecond, admission.Normal},
		{"no budget", 0, admission.Normal},
	}
	var rd admission.RetryDetector
	rd.Classify(6*time.Second, time.Second)
	for _, tc := range cases {
		if got := rd.Classify(tc.budget, time.Second); got != tc.want {
			t.Errorf("%s: got precedence %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestTeamRates guards against a surging team that takes the slots of others, against a team that stays demoted after its
// surge, and against small counts that are taken for a surge.
func TestTeamRates(t *testing.T) {
	t.Parallel()
	var tr admission.TeamRates
	over := map[string]int{}
	for number := range 200 {
		now := startTime.Add(time.Duration(number) * 50 * time.Millisecond)
		if tr.OverShare(now, "hot") {
			over["hot"]++
		}
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			if number%10 == 0 && tr.OverShare(now, chestnutroad.TeamID(name)) {
				over[name]++
			}
		}
	}
	if over["hot"] < 100 || len(over) != 1 {
		t.Errorf("teams over their share: %v", over)
	}
	if tr.OverShare(startTime.Add(30*time.Second), "hot") {
		t.Error("the team is still over its share 20 s after its surge")
	}
}
