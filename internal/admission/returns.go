package admission

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/decay"
)

const (
	// memory is the time constant with which earlier requests are forgotten: a host of the large sites gets some eight
	// requests in it, and an overload that ends is noticed within it.
	memory = 2 * time.Second
	// useful is the largest part of a caller's remaining time that it waits before it returns, as the platform states.
	useful = 1.0 / 3
	// soonest is the shortest wait; places become free within it where few requests are refused.
	soonest = 100 * time.Millisecond
	// spread is the part of the wait by which the returns of callers that were refused together are drawn apart.
	spread = 0.5
)

// RetryAfter follows which share of the requests of one kind is refused. The zero value is ready to use; it is not safe for
// concurrent use.
type RetryAfter struct {
	asked, refused float64
	at             time.Time
}

func (rt *RetryAfter) fade(now time.Time) {
	keep := decay.Factor(now.Sub(rt.at), memory)
	rt.at = now
	rt.asked *= keep
	rt.refused *= keep
}

// Observe counts a request and whether it was refused.
func (rt *RetryAfter) Observe(now time.Time, refused bool) {
	rt.fade(now)
	rt.asked++
	if refused {
		rt.refused++
	}
}

// MinDelay returns the least time for which a refused caller with so much time left is asked to wait.
func (rt *RetryAfter) MinDelay(now time.Time, left time.Duration) time.Duration {
	return rt.Delay(now, left, 1)
}

// Delay returns when a refused caller with so much time left should come back; draw is between 0 and 1.
//
// Where few requests are refused, a place is free soon and an early return is still on time. Where most are refused, an
// early return is refused again, and the latest one that callers go by has the best chance.
func (rt *RetryAfter) Delay(now time.Time, left time.Duration, draw float64) time.Duration {
	rt.fade(now)
	share := 1.0
	if rt.asked > 0 {
		share = min(1, rt.refused/rt.asked)
	}
	latest := useful * left.Seconds()
	wait := latest * min(1, 2*share) * (1 - spread*draw)
	return min(max(soonest, time.Duration(wait*float64(time.Second))), time.Duration(latest*float64(time.Second)))
}
