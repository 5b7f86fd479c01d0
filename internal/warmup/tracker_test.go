package warmup_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/warmup"
)

var (
	start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	spec  = warmup.Spec{Time: 3 * time.Second, PerSecond: 9.2}
)

func bornAt(at time.Time) chestnutroad.Incarnation { return chestnutroad.Incarnation(at.UnixMilli()) }

// TestSources guards against a source of knowledge that is ignored or believed for too long, and against one that makes warm targets
// cold.
func TestSources(t *testing.T) {
	t.Parallel()
	old := bornAt(start.Add(-time.Hour))
	register := func(rg warmup.Registration) func(tr *warmup.Tracker) {
		return func(tr *warmup.Tracker) { tr.Register(start, &rg, spec) }
	}
	mark := func(source warmup.Source, remaining time.Duration) func(tr *warmup.Tracker) {
		return func(tr *warmup.Tracker) { tr.Mark(start, 1, spec, source, remaining) }
	}
	all := func(steps ...func(tr *warmup.Tracker)) func(tr *warmup.Tracker) {
		return func(tr *warmup.Tracker) {
			for _, step := range steps {
				step(tr)
			}
		}
	}
	listed := register(warmup.Registration{Target: 1, Incarnation: old, Sequence: 1, Listed: true})
	cases := []struct {
		name string
		run  func(tr *warmup.Tracker)
		want time.Duration
	}{
		{"listed at the start of the host", listed, 0},
		{"listed, states that it is cold", register(warmup.Registration{Target: 1, Incarnation: old, Remaining: 2 * time.Second, Listed: true}), 2 * time.Second},
		{"listed, started a second ago", register(warmup.Registration{Target: 1, Incarnation: bornAt(start.Add(-time.Second)), Listed: true}), 2 * time.Second},
		{"listed, its clock is ahead", register(warmup.Registration{Target: 1, Incarnation: bornAt(start.Add(5 * time.Second)), Listed: true}), 3 * time.Second},
		{"listed, its clock is far ahead", register(warmup.Registration{Target: 1, Incarnation: bornAt(start.Add(time.Hour)), Listed: true}), 0},
		{"first seen later", register(warmup.Registration{Target: 1, Incarnation: old}), 3 * time.Second},
		{"a new incarnation", all(listed, register(warmup.Registration{Target: 1, Incarnation: old + 1, Sequence: 1})), 3 * time.Second},
		{"registered again", all(listed, register(warmup.Registration{Target: 1, Incarnation: old, Sequence: 2})), 0},
		{"the same entry read again", all(listed, register(warmup.Registration{Target: 1, Incarnation: old, Sequence: 1, Remaining: time.Second})), 0},
		{"a later entry", all(listed, register(warmup.Registration{Target: 1, Incarnation: old, Sequence: 2, Remaining: time.Second})), time.Second},
		{"an answer", mark(warmup.Answer, 2*time.Second), 2 * time.Second},
		{"other hosts", mark(warmup.Hosts, 2*time.Second), 2 * time.Second},
		{"an evacuation ended", mark(warmup.Evacuation, spec.Time), 3 * time.Second},
		{"the longest time", all(mark(warmup.Entry, 2*time.Second), mark(warmup.Answer, time.Second)), 2 * time.Second},
		{"an answer replaces an assumption", all(mark(warmup.Evacuation, spec.Time), mark(warmup.Answer, 0)), 0},
		{"connections fail", mark(warmup.Connection, warmup.MaxRemaining), time.Hour},
		{"it answers after that", all(mark(warmup.Connection, warmup.MaxRemaining), func(tr *warmup.Tracker) { tr.MarkAnswered(start, 1, spec) }), 3 * time.Second},
		{"a negative time", mark(warmup.Answer, -1), 0},
		{"a time of more than an hour", mark(warmup.Answer, time.Hour+1), 0},
		{"a service without a cold rate", func(tr *warmup.Tracker) {
			tr.Mark(start, 1, warmup.Spec{Time: time.Second}, warmup.Answer, time.Second)
		}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := warmup.New()
			tc.run(tr)
			if got := tr.Remaining(start, 1); got != tc.want {
				t.Errorf("the target is cold for %s, want %s", got, tc.want)
			}
		})
	}
}

// TestTold guards against hosts that tell what they only assume, or heard of each other, which would make targets cold for all hosts or
// for ever.
func TestTold(t *testing.T) {
	t.Parallel()
	for source, want := range map[warmup.Source]time.Duration{
		warmup.Entry: time.Second, warmup.Answer: time.Second, warmup.Incarnation: time.Second,
		warmup.Hosts: 0, warmup.Start: 0, warmup.Connection: 0, warmup.Evacuation: 0,
	} {
		tr := warmup.New()
		tr.Mark(start, 1, spec, source, time.Second)
		if got := tr.Told(start, 1); got != want {
			t.Errorf("%s: hosts are told %s, want %s", source, got, want)
		}
	}
}

// TestRamp guards against a target that gets its usual traffic at once, or never, after its cold time, and against cold times whose start
// or end is reported twice.
func TestRamp(t *testing.T) {
	t.Parallel()
	tr := warmup.New()
	tr.Mark(start, 1, spec, warmup.Entry, spec.Time)
	var rates []chestnutroad.RequestRate
	changes := 0
	for second := range 7 {
		limits, changed := tr.Update(start.Add(time.Duration(second) * time.Second))
		changes += len(changed)
		for _, limit := range limits {
			rates = append(rates, limit.Rate)
		}
	}
	safe := tr.SafeRate(spec)
	want := []chestnutroad.RequestRate{safe, safe, safe, safe, 4 * safe, 16 * safe, 0}
	for index := range want {
		if len(rates) != len(want) || rates[index] != want[index] {
			t.Fatalf("got the rates %v, want %v", rates, want)
		}
	}
	if changes != 2 || tr.Active() != 0 {
		t.Errorf("got %d changes, %d targets left; want 2 and none", changes, tr.Active())
	}
}
