package retrybudget

import "time"

// buckets is the number of parts that a window is counted in.
const buckets = 10

// Budget counts the requests and retries of one host for one service in a sliding window.
type Budget struct {
	ratio  float64
	window time.Duration
	slots  [buckets]slot
}

type slot struct {
	index    int64
	requests float64
	retries  float64
}

// New returns a budget of ratio retries for each request of the window.
func New(ratio float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, window: window}
}

// Configure changes the limits and keeps the counts of an unchanged window.
func (bd *Budget) Configure(ratio float64, window time.Duration) {
	if bd.window != window {
		bd.slots = [buckets]slot{}
	}
	bd.ratio, bd.window = ratio, window
}

func (bd *Budget) slot(now time.Time) *slot {
	index := now.UnixNano() / (int64(bd.window) / buckets)
	sl := &bd.slots[index%buckets]
	if sl.index != index {
		*sl = slot{index: index}
	}
	return sl
}

// AddRequest counts a request of a caller.
func (bd *Budget) AddRequest(now time.Time) { bd.slot(now).requests++ }

// TakeRetry takes one retry, or returns false when the window has none left; share is this host's part of the retries that
// the installation allows beyond the ratio.
func (bd *Budget) TakeRetry(now time.Time, share float64) bool {
	current := bd.slot(now)
	requests, retries := 0.0, 0.0
	for index := range bd.slots {
		if current.index-bd.slots[index].index < buckets {
			requests += bd.slots[index].requests
			retries += bd.slots[index].retries
		}
	}
	if retries+1 > bd.ratio*requests+share {
		return false
	}
	current.retries++
	return true
}
