package host

import (
	"sync"
	"time"
)

// retryBudget allows retries as a share of recent requests, so that retries can't multiply an overload.
type retryBudget struct {
	mu       sync.Mutex
	share    float64
	floor    float64
	window   time.Duration
	requests float64
	retries  float64
	last     time.Time
}

func newRetryBudget(share float64, window time.Duration, perSecond int) *retryBudget {
	rb := &retryBudget{}
	rb.configure(share, window, perSecond)
	return rb
}

// configure changes the limits and keeps the counts.
func (rb *retryBudget) configure(share float64, window time.Duration, perSecond int) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.share = share
	rb.window = window
	rb.floor = float64(perSecond) * window.Seconds()
}

// decay fades both counts, so that they stand for the requests of about one window.
func (rb *retryBudget) decay(now time.Time) {
	elapsed := now.Sub(rb.last)
	rb.last = now
	if elapsed <= 0 {
		return
	}
	keep := max(0, 1-elapsed.Seconds()/rb.window.Seconds())
	rb.requests *= keep
	rb.retries *= keep
}

// request counts a first attempt.
func (rb *retryBudget) request(now time.Time) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.decay(now)
	rb.requests++
}

// retry takes one retry from the budget, or returns false when it is used up.
func (rb *retryBudget) retry(now time.Time) bool {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.decay(now)
	if rb.retries+1 > max(rb.floor, rb.share*rb.requests) {
		return false
	}
	rb.retries++
	return true
}
