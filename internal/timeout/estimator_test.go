package timeout_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/timeout"
)

// TestSlowAndHangingTargets guards against giving up on working streams when all targets became slow, and against a timeout
// that grows because one target among many hangs.
func TestSlowAndHangingTargets(t *testing.T) {
	t.Parallel()
	const limit = time.Second
	cases := []struct {
		name string
		// wait returns how long a request waits at a target without a timeout.
		wait func(number int) time.Duration
		// lowest and highest bound the timeout after all requests.
		lowest, highest time.Duration
	}{
		{"working", func(int) time.Duration { return 100 * time.Millisecond }, 0, 300 * time.Millisecond},
		{"all slow", func(int) time.Duration { return 3 * time.Second }, 3 * time.Second, 20 * time.Second},
		{"one of ten hangs", func(number int) time.Duration {
			if number%10 == 9 {
				return time.Hour
			}
			return 100 * time.Millisecond
		}, 0, 3 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var es timeout.Estimator
			timedOut := 0
			for number := range 100 {
				current := max(limit, es.Timeout())
				if wait := tc.wait(number); wait <= current {
					es.Observe(wait)
					continue
				}
				timedOut++
				es.ObserveTimeout(current)
			}
			if estimated := es.Timeout(); estimated < tc.lowest || estimated > tc.highest {
				t.Errorf("the timeout is %s after %d requests timed out", estimated, timedOut)
			}
			if timedOut > 12 {
				t.Errorf("%d of 100 requests timed out", timedOut)
			}
		})
	}
}
