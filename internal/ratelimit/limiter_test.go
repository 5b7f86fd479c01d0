package ratelimit_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
)

// TestStatements guards against limits that are missed, that last after their end, or that nonsense starts or ends.
func TestStatements(t *testing.T) {
	t.Parallel()
	none, invalid := ratelimit.Statement{}, ratelimit.Statement{Invalid: true}
	five, six := ratelimit.Statement{Limit: 5}, ratelimit.Statement{Limit: 6}
	cases := []struct {
		name       string
		statements []ratelimit.Statement
		want       chestnutroad.RequestRate
		changed    bool
	}{
		{"no limit", []ratelimit.Statement{none}, 0, false},
		{"start", []ratelimit.Statement{five}, 5, true},
		{"the same again", []ratelimit.Statement{five, five}, 5, false},
		{"change", []ratelimit.Statement{five, six}, 6, true},
		{"end", []ratelimit.Statement{five, none}, 0, true},
		{"nonsense first", []ratelimit.Statement{invalid}, 0, false},
		{"nonsense does not end a limit", []ratelimit.Statement{five, invalid}, 5, false},
		{"nonsense, then the end", []ratelimit.Statement{five, invalid, none}, 0, true},
		{"too large to matter", []ratelimit.Statement{{Limit: 1e300}}, 0, false},
		{"too large ends a limit", []ratelimit.Statement{five, {Limit: 1e300}}, 0, true},
		{"a fraction", []ratelimit.Statement{{Limit: 0.001}}, 0.001, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			lm := ratelimit.New()
			change := ratelimit.Change{}
			for index, statement := range tc.statements {
				change = lm.Observe(start.Add(time.Duration(index)*time.Second), 1, 1, statement)
			}
			if got := lm.Limit(1); got != tc.want || change.Changed != tc.changed {
				t.Errorf("got a limit of %g, changed %t; want %g, %t", got, change.Changed, tc.want, tc.changed)
			}
		})
	}
}

// TestMergedStatements guards against an older statement of another host that replaces a newer one, and against a limit that hosts
// keep telling each other after its end.
func TestMergedStatements(t *testing.T) {
	t.Parallel()
	told, other := ratelimit.New(), ratelimit.New()
	told.Observe(start, 1, 1, ratelimit.Statement{Limit: 5})
	other.Merge(start.Add(time.Second), withAge(told.Take(start.Add(time.Second)), 0))
	if got := other.Limit(1); got != 5 {
		t.Fatalf("got a limit of %g, want 5", got)
	}
	late := told.Take(start.Add(2 * time.Second))
	other.Observe(start.Add(2500*time.Millisecond), 1, 1, ratelimit.Statement{})
	other.Merge(start.Add(3*time.Second), withAge(late, time.Second))
	if got := other.Limit(1); got != 0 {
		t.Errorf("got a limit of %g from an older statement, want none", got)
	}
	told.Merge(start.Add(3*time.Second), other.Take(start.Add(3*time.Second)))
	if got := told.Limit(1); got != 0 {
		t.Errorf("got a limit of %g after another host heard of its end, want none", got)
	}
	if rates := told.Take(start.Add(10 * time.Second)); len(rates) > 0 {
		t.Errorf("the end is still told after 10 s: %+v", rates)
	}
}

func withAge(rates []chestnutroad.TargetRate, age time.Duration) []chestnutroad.TargetRate {
	aged := slices.Clone(rates)
	for index := range aged {
		aged[index].Age += age
	}
	return aged
}

// TestNewIncarnation guards against a limit that a target's former incarnation stated.
func TestNewIncarnation(t *testing.T) {
	t.Parallel()
	lm := ratelimit.New()
	lm.Observe(start, 1, 7, ratelimit.Statement{Limit: 5})
	lm.Register(1, 7)
	if lm.Limit(1) != 5 {
		t.Error("the limit ended although the same incarnation was registered again")
	}
	lm.Register(1, 8)
	if lm.Limit(1) != 0 {
		t.Error("the limit holds for a new incarnation")
	}
}

// TestPartDraw guards against a combined draw that is not uniform, so that other shares than those meant would be admitted.
func TestPartDraw(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 1))
	const count = 200000
	draws := make([]float64, count)
	for index := range draws {
		draws[index] = ratelimit.PartDraw(rng.Float64(), rng.Float64())
	}
	slices.Sort(draws)
	for _, share := range []float64{0.02, 0.1, 0.5, 0.9, 0.98} {
		if got := draws[int(share*count)]; math.Abs(got-share) > 0.01 {
			t.Errorf("the quantile %.2f is %.3f", share, got)
		}
	}
}
