package retrybudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad/internal/retrybudget"
)

// TestNoWindowExceedsTheBudget guards against retries that multiply an overload: in no window does a host retry more
// often than its ratio and its share allow.
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
		// The installation counts requests of a window, the one before it or the one half a window before it, so that
		// one and a half windows of requests may stand behind the retries of one.
		for _, end := range retries {
			made := after(retries, end.Add(-window*9/10), end)
			allowed := ratio*float64(after(requests, end.Add(-window*3/2), end)) + share
			if float64(made) > allowed {
				t.Fatalf("%d retries in a window that allows %.1f", made, allowed)
			}
		}
	})
}

func after(times []time.Time, start, end time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(start) && !at.After(end) {
			count++
		}
	}
	return count
}

// TestConfigure guards against a changed ratio that is not applied.
func TestConfigure(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	bd := retrybudget.New(0, time.Second)
	if bd.TakeRetry(now, 0) {
		t.Error("a retry was allowed without any budget")
	}
	bd.Configure(1, time.Second)
	bd.AddRequest(now)
	if !bd.TakeRetry(now, 0) {
		t.Error("the changed ratio allows no retry")
	}
}
