package retrybudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad/internal/retrybudget"
)

// TestNoWindowExceedsTheBudget guards against retries that amplify an overload: in no window may a host retry more often
// than its ratio and its share allow.
func TestNoWindowExceedsTheBudget(t *testing.T) {
	t.Parallel()
	const window, ratio, share = 10 * time.Second, 0.2, 5.0
	rapid.Check(t, func(t *rapid.T) {
		bd := retrybudget.New(ratio, window)
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				bd.AddRequest(now)
				requests = append(requests, now)
			} else if bd.TakeRetry(now, share) {
				retries = append(retries, now)
			}
		}
		// The installation relates retries to the requests of the same window, of the one before it or of one half a window
		// earlier, so the retries of one window may be backed by the requests of one and a half.
		// The budget's current bucket is incomplete, so its sliding window covers at least nine tenths of the window.
		for _, end := range retries {
			used := countBetween(retries, end.Add(-window*9/10), end)
			allowed := ratio*float64(countBetween(requests, end.Add(-window*3/2), end)) + share
			if float64(used) > allowed {
				t.Fatalf("%d retries in a window that allows %.1f", used, allowed)
			}
		}
	})
}

func countBetween(times []time.Time, start, end time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(start) && !at.After(end) {
			count++
		}
	}
	return count
}

// TestConfigure guards against a change of the ratio that has no effect.
func TestConfigure(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	bd := retrybudget.New(0, time.Second)
	if bd.TakeRetry(now, 0) {
		t.Error("a retry was allowed with a ratio of zero")
	}
	bd.Configure(1, time.Second)
	bd.AddRequest(now)
	if !bd.TakeRetry(now, 0) {
		t.Error("no retry was allowed after the ratio was raised to 1")
	}
}

// TestReturnRetry guards against retries that are lost because they were taken and not used, and against a retry of another
// time that is returned in their place.
func TestReturnRetry(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	bd := retrybudget.New(0, time.Second)
	if !bd.TakeRetry(now, 1) || bd.HasRetry(now, 1) {
		t.Fatal("want one retry")
	}
	bd.ReturnRetry(now.Add(-time.Second))
	if bd.HasRetry(now, 1) {
		t.Error("a retry of an earlier window was returned to this one")
	}
	bd.ReturnRetry(now)
	bd.ReturnRetry(now)
	if !bd.TakeRetry(now, 1) || bd.HasRetry(now, 1) {
		t.Error("want one retry again")
	}
}
