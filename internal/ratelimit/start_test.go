package ratelimit_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
)

// TestStartedHost guards against a host that starts while a limit is in force and takes the requests that other hosts have sent for
// further ones, so that it sends the target far less than its share for seconds.
func TestStartedHost(t *testing.T) {
	t.Parallel()
	const limit = 5.0
	peers := []chestnutroad.TargetRate{{Target: 1, Limit: limit, Sent: 4 * limit, Wanted: [chestnutroad.RateClasses]float64{2 * limit}}}
	lm := ratelimit.New()
	lm.SetHostCount(12)
	admitted, wanted := 0.0, 0.0
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(150 * time.Millisecond) {
		lm.Merge(now, peers)
		admitted += lm.Admit(now, 1, 0, 0.5).Share
		wanted++
	}
	if share := admitted / wanted; share < 0.35 || share > 0.65 {
		t.Errorf("the host admits %.2f of its requests at twice the limit, want about half", share)
	}
}
