package warmup_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/warmup"
)

// worstSecond returns the most of the arrivals, in ascending order of their times in seconds, in any second.
func worstSecond(arrivals []float64) int {
	most, first := 0, 0
	for last, at := range arrivals {
		for arrivals[first] <= at-1 {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// violations returns how many of the cold times with random arrivals at a rate break the bound.
func violations(rate chestnutroad.RequestRate, coldTime time.Duration, allowed, runs int) int {
	rng := rand.New(rand.NewPCG(3, uint64(allowed)))
	count := 0
	for range runs {
		var arrivals []float64
		for at := rng.ExpFloat64() / float64(rate); at < coldTime.Seconds(); at += rng.ExpFloat64() / float64(rate) {
			arrivals = append(arrivals, at)
		}
		if worstSecond(arrivals) > allowed {
			count++
		}
	}
	return count
}

// TestSafeRate guards against a rate at which random arrivals break the bound of a cold target more than once in 1,000 cold times, and
// against one that leaves most of the cold rate unused.
func TestSafeRate(t *testing.T) {
	t.Parallel()
	bound := warmup.Bound{Overrun: warmup.DefaultOverrun, Tolerance: warmup.DefaultTolerance}
	cases := []struct{ perSecond, used float64 }{{0.5, 0.25}, {2, 0.45}, {9.2, 0.5}, {30, 0.75}, {200, 0.95}}
	for _, tc := range cases {
		perSecond := tc.perSecond
		rate := warmup.SafeRate(chestnutroad.RequestRate(perSecond), 3*time.Second, bound)
		allowed := int(bound.Overrun*perSecond + bound.Tolerance)
		t.Logf("%g a second: rate %.2f, factor %.2f", perSecond, rate, float64(rate)/perSecond)
		const runs = 20000
		if broken := violations(rate, 3*time.Second, allowed, runs); broken > runs/1000 {
			t.Errorf("%g a second: %d of %d cold times break the bound of %d", perSecond, broken, runs, allowed)
		}
		if float64(rate) < tc.used*perSecond || float64(rate) > perSecond {
			t.Errorf("%g a second: the rate is %.2f, want at least %.2f of it", perSecond, rate, tc.used)
		}
	}
	// At the full rate the bound breaks often; this is what the margin is for.
	if broken := violations(9.2, 3*time.Second, 18, 20000); broken < 200 {
		t.Errorf("%d of 20000 cold times break the bound at the full rate, want many", broken)
	}
}

// TestSafeRateOfOddBounds guards against a rate that is no positive number, for which a cold target would get nothing or everything.
func TestSafeRateOfOddBounds(t *testing.T) {
	t.Parallel()
	for _, bound := range []warmup.Bound{{}, {Overrun: 1}, {Overrun: 1000, Tolerance: 1000}} {
		for _, perSecond := range []chestnutroad.RequestRate{0.01, 5, 1e5} {
			if rate := float64(warmup.SafeRate(perSecond, time.Hour, bound)); !(rate > 0) || math.IsInf(rate, 0) {
				t.Errorf("%+v, %g a second: got the rate %g, want a positive number", bound, perSecond, rate)
			}
		}
	}
}
