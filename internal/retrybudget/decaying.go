package retrybudget

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/decay"
)

// Decaying allows retries as a share of recent requests, with a floor; both counts fade, so that they stand for the requests
// of about one window. It is not safe for concurrent use.
type Decaying struct {
	share    float64
	floor    float64
	window   time.Duration
	requests float64
	retries  float64
	last     time.Time
}

// NewDecaying returns a budget of share retries for each request, and perSecond retries a second at least.
func NewDecaying(share float64, window time.Duration, perSecond int) *Decaying {
	fd := &Decaying{}
	fd.Configure(share, window, perSecond)
	return fd
}

// Configure changes the limits and keeps the counts.
func (fd *Decaying) Configure(share float64, window time.Duration, perSecond int) {
	fd.share = share
	fd.window = window
	fd.floor = float64(perSecond) * window.Seconds()
}

func (fd *Decaying) fade(now time.Time) {
	keep := decay.Factor(now.Sub(fd.last), fd.window)
	fd.last = now
	fd.requests *= keep
	fd.retries *= keep
}

// AddRequest counts a first attempt.
func (fd *Decaying) AddRequest(now time.Time) {
	fd.fade(now)
	fd.requests++
}

// TakeRetry takes one retry, or returns false when the budget is used up.
func (fd *Decaying) TakeRetry(now time.Time) bool {
	fd.fade(now)
	if fd.retries+1 > max(fd.floor, fd.share*fd.requests) {
		return false
	}
	fd.retries++
	return true
}
