package admission

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/decay"
)

const (
	// refusalTimeConstant is the time constant with which the counts decay: a host gets about eight requests in this time,
	// and the end of an overload shows within it.
	refusalTimeConstant = 2 * time.Second
	// maxDelayShare is the largest share of its remaining time that a caller waits before it retries, as the platform
	// specifies.
	maxDelayShare = 1.0 / 3
	// minDelay is the shortest delay unless the caller has too little time left; where few requests are refused, a slot
	// becomes free within it.
	minDelay = 100 * time.Millisecond
	// jitter is the largest share by which a delay is shortened at random, so that callers that were refused together don't
	// retry together.
	jitter = 0.5
)

// RetryAfter computes the delay after which refused callers should retry from the share of requests that is refused. The
// zero value is ready to use; it is not safe for concurrent use.
type RetryAfter struct {
	requests, refused float64
	updatedAt         time.Time
}

func (ra *RetryAfter) decayTo(now time.Time) {
	factor := decay.Factor(now.Sub(ra.updatedAt), refusalTimeConstant)
	ra.updatedAt = now
	ra.requests *= factor
	ra.refused *= factor
}

// Observe counts a request, and whether it was refused.
func (ra *RetryAfter) Observe(now time.Time, refused bool) {
	ra.decayTo(now)
	ra.requests++
	if refused {
		ra.refused++
	}
}

// MinDelay returns the shortest delay that a refused caller with the remaining time may be given.
func (ra *RetryAfter) MinDelay(now time.Time, remaining time.Duration) time.Duration {
	return ra.Delay(now, remaining, 1)
}

// Delay returns the time after which a refused caller with the remaining time should retry. The draw between 0 and 1 sets
// the jitter; 1 gives the shortest delay.
//
// Where few requests are refused, a slot is free soon and an early retry is still answered in time. Where most are refused,
// an early retry would be refused again, and the latest one that callers accept has the best chance.
func (ra *RetryAfter) Delay(now time.Time, remaining time.Duration, draw float64) time.Duration {
	ra.decayTo(now)
	refusedShare := 1.0
	if ra.requests > 0 {
		refusedShare = min(1, ra.refused/ra.requests)
	}
	longest := maxDelayShare * remaining.Seconds()
	delay := longest * min(1, 2*refusedShare) * (1 - jitter*draw)
	return min(max(minDelay, time.Duration(delay*float64(time.Second))), time.Duration(longest*float64(time.Second)))
}
