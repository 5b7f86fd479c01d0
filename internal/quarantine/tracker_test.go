package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/quarantine"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// prompt returns a prompt with the parts and a last one of its own.
func prompt(ids ...string) *quarantine.Request {
	parts := make([]chestnutroad.PromptPart, 0, len(ids)+1)
	for _, id := range append(ids, "own") {
		parts = append(parts, chestnutroad.PromptPart{ID: id, Tokens: 100})
	}
	return &quarantine.Request{Parts: parts}
}

func targetEntry(number int) *chestnutroad.TargetEntry {
	return &chestnutroad.TargetEntry{ID: chestnutroad.TargetID(fmt.Sprintf("i-%d", number)), Incarnation: 1}
}

// step is an observation of one host: a crash of a target, or with target 0 an answer.
type step struct {
	at     float64
	target int
	parts  []string
}

func play(tr *quarantine.Tracker, steps []step) {
	for _, st := range steps {
		if st.target == 0 {
			tr.Served(at(st.at), prompt(st.parts...))
			continue
		}
		tr.Crashed(at(st.at), prompt(st.parts...), targetEntry(st.target))
	}
}

// deadly returns crashes of different targets under the parts, a second apart.
func deadly(from float64, count int, parts ...string) []step {
	steps := make([]step, 0, count)
	for index := range count {
		steps = append(steps, step{from + float64(index), 100 + int(from)*10 + index, parts})
	}
	return steps
}

// checkCases are decisions on a prompt after observations of one host.
var checkCases = []struct {
	name  string
	steps []step
	at    float64
	parts []string
	want  bool
}{
	{"no evidence", nil, 1, []string{"a", "b"}, false},
	{"one crash", deadly(0, 1, "a"), 0.1, []string{"a"}, false},
	{"two targets", deadly(0, 2, "a"), 1.1, []string{"a"}, true},
	{"in the middle of a prompt", deadly(0, 2, "b"), 1.1, []string{"a", "b", "c"}, true},
	{"the same target twice", []step{{0, 1, []string{"a"}}, {1, 1, []string{"a"}}}, 1.1, []string{"a"}, false},
	{"two targets at one time", []step{{0, 1, []string{"a"}}, {0.05, 2, []string{"a"}}}, 0.1, []string{"a"}, false},
	{"served since", append(deadly(0, 4, "a"), step{3.5, 0, []string{"a"}}), 3.6, []string{"a"}, false},
	{"served just before", append([]step{{0, 0, []string{"a"}}}, deadly(1, 4, "a")...), 4.1, []string{"a"}, false},
	{"proven, four crashes", append([]step{{0, 0, []string{"a"}}}, deadly(6, 4, "a")...), 9.1, []string{"a"}, false},
	{"proven, five crashes", append([]step{{0, 0, []string{"a"}}}, deadly(6, 5, "a")...), 10.1, []string{"a"}, true},
	{"served long before", append([]step{{0, 0, []string{"a"}}}, deadly(70, 2, "a")...), 71.1, []string{"a"}, true},
	{"explained by another part", append(deadly(0, 3, "a"), step{1, 101, []string{"b"}}, step{2, 102, []string{"b"}}), 2.1, []string{"b"}, false},
	{"the part that explains another", append(deadly(0, 3, "a"), step{1, 101, []string{"b"}}, step{2, 102, []string{"b"}}), 2.1, []string{"a"}, true},
	{"all parts of a group", deadly(0, 2, "a", "b"), 1.1, []string{"a", "b"}, true},
	{"one part of a group", deadly(0, 2, "a", "b"), 1.1, []string{"b"}, false},
	{"two such parts", append(deadly(0, 2, "a"), deadly(1, 2, "b")...), 2.1, []string{"c", "b"}, true},
	{"weak suspicion over", deadly(0, 4, "a"), 13.1, []string{"a"}, false},
	{"crash after a weak suspicion", append(deadly(0, 4, "a"), step{40, 9, []string{"a"}}), 45, []string{"a"}, true},
	{"firm suspicion", deadly(0, 5, "a"), 63.9, []string{"a"}, true},
	{"firm suspicion over", deadly(0, 5, "a"), 124.1, []string{"a"}, false},
	{"second round", append(deadly(0, 5, "a"), step{70, 9, []string{"a"}}), 189, []string{"a"}, true},
	{"second round over", append(deadly(0, 5, "a"), step{70, 9, []string{"a"}}), 310.1, []string{"a"}, false},
}

// TestCheck guards against requests with a part that crashes targets that go on to further targets, and against refusals of
// sound parts that were at crashed targets.
func TestCheck(t *testing.T) {
	t.Parallel()
	for _, tc := range checkCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := quarantine.New()
			tr.SetHostCount(16)
			play(tr, tc.steps)
			tr.Take(at(tc.at))
			got := tr.Check(at(tc.at), prompt(tc.parts...), "r-1")
			if got.Refuse != tc.want {
				t.Errorf("got %+v, want refused: %t", got, tc.want)
			}
		})
	}
}

// TestLostMessage guards against a part whose crashes no host learns of because the first message about each was lost.
func TestLostMessage(t *testing.T) {
	t.Parallel()
	first, second := quarantine.New(), quarantine.New()
	first.Crashed(at(0), prompt("a"), targetEntry(1))
	second.Crashed(at(0.5), prompt("a"), targetEntry(2))
	sent := len(first.Take(at(0.5))) + len(second.Take(at(0.5)))
	for tick := 0.65; tick < 2; tick += 0.15 {
		one, other := first.Take(at(tick)), second.Take(at(tick))
		sent += len(one) + len(other)
		first.Merge(at(tick), other)
		second.Merge(at(tick), one)
	}
	for _, tr := range []*quarantine.Tracker{first, second} {
		if got := tr.Check(at(2), prompt("a"), "r-1"); !got.Refuse || got.Crashes != 2 {
			t.Errorf("got %+v, want two crashes", got)
		}
	}
	if sent > 8 {
		t.Errorf("%d items were sent about two crashes", sent)
	}
}

// TestLastPart guards against a suspicion of the last part of a prompt, which no other request has.
func TestLastPart(t *testing.T) {
	t.Parallel()
	tr := quarantine.New()
	only := prompt()
	tr.Crashed(at(0), only, targetEntry(1))
	tr.Crashed(at(1), only, targetEntry(2))
	if got := tr.Check(at(2), only, "r-1"); got.Refuse || !tr.Repeatable(at(2), only) || !tr.Repeatable(at(2), &quarantine.Request{}) {
		t.Errorf("a prompt with one part is suspected: %+v", got)
	}
}

// TestTrials guards against a suspicion that never ends because no request is admitted, and against trials that start with more
// than one request of as many as there are hosts.
func TestTrials(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		crashes int
		at      float64
		// wait is the time until the trials; min and max bound the number of 6,500 requests that are admitted at 130 hosts.
		wait     time.Duration
		min, max int
	}{
		{"refusals of a weak suspect", 3, 3, time.Second, 0, 0},
		{"start of the trials of a weak suspect", 3, 4, 0, 25, 85},
		{"refusals of a firm suspect", 5, 34, 30 * time.Second, 0, 0},
		{"start of the trials of a firm suspect", 5, 64, 0, 25, 85},
		{"end of the trials", 5, 78.1, 0, 6500, 6500},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := quarantine.New()
			tr.SetHostCount(130)
			play(tr, deadly(0, tc.crashes, "a"))
			admitted := 0
			for index := range 6500 {
				got := tr.Check(at(tc.at), prompt("a"), chestnutroad.RequestID(fmt.Sprintf("r-%d", index)))
				if !got.Refuse {
					admitted++
				} else if got.RetryAfter != tc.wait || got.Crashes != tc.crashes || got.Part != "a" {
					t.Fatalf("got %+v, want %s", got, tc.wait)
				}
			}
			if admitted < tc.min || admitted > tc.max {
				t.Errorf("admitted %d, want %d to %d", admitted, tc.min, tc.max)
			}
		})
	}
}

// TestRepeatable guards against a request that ends a second target because it is sent again, and against requests of parts in
// use that fail although another target could serve them.
func TestRepeatable(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		steps []step
		at    float64
		parts []string
		want  bool
	}{
		{"unknown part", nil, 1, []string{"a"}, false},
		{"served part", []step{{0, 0, []string{"a"}}}, 1, []string{"a"}, true},
		{"served long ago", []step{{0, 0, []string{"a"}}}, 61, []string{"a"}, false},
		{"one part unknown", []step{{0, 0, []string{"a"}}}, 1, []string{"a", "b"}, false},
		{"suspected", append([]step{{0, 0, []string{"a"}}}, deadly(6, 5, "a")...), 10.1, []string{"a"}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := quarantine.New()
			play(tr, tc.steps)
			if got := tr.Repeatable(at(tc.at), prompt(tc.parts...)); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
		})
	}
}

// TestChanges guards against a suspicion that starts or ends without a log line, or with one at each tick.
func TestChanges(t *testing.T) {
	t.Parallel()
	tr := quarantine.New()
	play(tr, deadly(0, 3, "a"))
	first, again, over := tr.Changes(at(2.1)), tr.Changes(at(2.2)), tr.Changes(at(20))
	if len(first) != 1 || !first[0].Suspected || first[0].Crashes != 3 || len(first[0].Targets) != 3 || len(again) != 0 {
		t.Errorf("got %+v, then %+v", first, again)
	}
	if len(over) != 1 || over[0].Suspected || len(tr.Changes(at(21))) != 0 {
		t.Errorf("at the end got %+v", over)
	}
}
