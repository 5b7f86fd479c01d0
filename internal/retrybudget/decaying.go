package retrybudget

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/decay"
)

// Decaying is a budget that allows retries as a ratio of recent requests, with a minimum rate. The counts of requests and
// retries decay, so that they stand for about one window. It is not safe for concurrent use.
type Decaying struct {
	ratio      float64
	minRetries float64
	window     time.Duration
	requests   float64
	retries    float64
	updatedAt  time.Time
}

// NewDecaying returns a budget that allows ratio retries for each request, and at least minPerSecond retries a second.
func NewDecaying(ratio float64, window time.Duration, minPerSecond int) *Decaying {
	dc := &Decaying{}
	dc.Configure(ratio, window, minPerSecond)
	return dc
}

// Configure changes the limits and keeps the counts.
func (dc *Decaying) Configure(ratio float64, window time.Duration, minPerSecond int) {
	dc.ratio = ratio
	dc.window = window
	dc.minRetries = float64(minPerSecond) * window.Seconds()
}

func (dc *Decaying) decayTo(now time.Time) {
	factor := decay.Factor(now.Sub(dc.updatedAt), dc.window)
	dc.updatedAt = now
	dc.requests *= factor
	dc.retries *= factor
}

// AddRequest counts a first attempt.
func (dc *Decaying) AddRequest(now time.Time) {
	dc.decayTo(now)
	dc.requests++
}

// TakeRetry takes one retry from the budget, or returns false if it is used up.
func (dc *Decaying) TakeRetry(now time.Time) bool {
	dc.decayTo(now)
	if dc.retries+1 > max(dc.minRetries, dc.ratio*dc.requests) {
		return false
	}
	dc.retries++
	return true
}
