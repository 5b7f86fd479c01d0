package ratelimit

import (
	"math"
	"time"
)

// counter is a count that decays exponentially, so that those of several hosts can be added up.
type counter struct {
	value     float64
	updatedAt time.Time
}

// valueAt returns the count that is left at a time.
func (ct *counter) valueAt(now time.Time, timeConstant time.Duration) float64 {
	return ct.value * math.Exp(-max(0, now.Sub(ct.updatedAt)).Seconds()/timeConstant.Seconds())
}

func (ct *counter) increment(now time.Time, timeConstant time.Duration) {
	ct.value, ct.updatedAt = ct.valueAt(now, timeConstant)+1, now
}
