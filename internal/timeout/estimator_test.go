package timeout_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/timeout"
)

// TestSlowAndHangingTargets guards against sound streams that are given up because all targets became slow, and against
// hanging ones that are waited for because one target among many hangs.
func TestSlowAndHangingTargets(t *testing.T) {
	t.Parallel()
	const limit = time.Second
	cases := []struct {
		name string
		// wait returns the wait of a request at a target, were it not given up.
		wait func(number int) time.Duration
		// least and most bound the usual wait after all requests.
		least, most time.Duration
	}{
		{"sound", func(int) time.Duration { return 100 * time.Millisecond }, 0, 300 * time.Millisecond},
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
			gaveUp := 0
			for number := range 100 {
				given := max(limit, es.Timeout())
				if wait := tc.wait(number); wait <= given {
					es.Observe(wait)
					continue
				}
				gaveUp++
				es.ObserveTimeout(given)
			}
			if usual := es.Timeout(); usual < tc.least || usual > tc.most {
				t.Errorf("the usual wait is %s, %d given up", usual, gaveUp)
			}
			if gaveUp > 12 {
				t.Errorf("%d of 100 were given up", gaveUp)
			}
		})
	}
}
