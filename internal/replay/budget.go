package replay

import "time"

// retryBudget allows retries as a share of recent requests, as the entry of internal/host does.
type retryBudget struct {
	share    float64
	floor    float64
	window   time.Duration
	requests float64
	retries  float64
	last     time.Time
}

func newRetryBudget(share float64, window time.Duration, perSecond int) *retryBudget {
	return &retryBudget{share: share, floor: float64(perSecond) * window.Seconds(), window: window}
}

func (rb *retryBudget) decay(now time.Time) {
	elapsed := now.Sub(rb.last)
	rb.last = now
	keep := max(0, 1-elapsed.Seconds()/rb.window.Seconds())
	rb.requests *= keep
	rb.retries *= keep
}

func (rb *retryBudget) request(now time.Time) {
	rb.decay(now)
	rb.requests++
}

func (rb *retryBudget) retry(now time.Time) bool {
	rb.decay(now)
	if rb.retries+1 > max(rb.floor, rb.share*rb.requests) {
		return false
	}
	rb.retries++
	return true
}
