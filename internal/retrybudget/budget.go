package retrybudget

import "time"

// bucketCount is the number of time buckets of a window.
const bucketCount = 10

// Budget limits the retries of one host for one service by its requests and retries in a sliding window. It is not safe for
// concurrent use.
type Budget struct {
	ratio   float64
	window  time.Duration
	buckets [bucketCount]bucket
}

type bucket struct {
	index    int64
	requests float64
	retries  float64
}

// New returns a budget that allows ratio retries for each request in the window.
func New(ratio float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, window: window}
}

// Configure changes the limits; the counts are kept unless the window changes.
func (bd *Budget) Configure(ratio float64, window time.Duration) {
	if bd.window != window {
		bd.buckets = [bucketCount]bucket{}
	}
	bd.ratio, bd.window = ratio, window
}

func (bd *Budget) bucketAt(now time.Time) *bucket {
	index := now.UnixNano() / (int64(bd.window) / bucketCount)
	bk := &bd.buckets[index%bucketCount]
	if bk.index != index {
		*bk = bucket{index: index}
	}
	return bk
}

// AddRequest counts a first attempt.
func (bd *Budget) AddRequest(now time.Time) { bd.bucketAt(now).requests++ }

// HasRetry reports whether the window has a retry left; share is this host's part of the retries that the installation allows
// in a window beyond the ratio.
func (bd *Budget) HasRetry(now time.Time, share float64) bool {
	current := bd.bucketAt(now)
	requests, retries := 0.0, 0.0
	for index := range bd.buckets {
		if current.index-bd.buckets[index].index < bucketCount {
			requests += bd.buckets[index].requests
			retries += bd.buckets[index].retries
		}
	}
	return retries+1 <= bd.ratio*requests+share
}

// TakeRetry takes one retry from the budget, or returns false if the window has none left.
func (bd *Budget) TakeRetry(now time.Time, share float64) bool {
	if !bd.HasRetry(now, share) {
		return false
	}
	bd.bucketAt(now).retries++
	return true
}

// ReturnRetry returns a retry that was taken at a time and not used.
func (bd *Budget) ReturnRetry(taken time.Time) {
	index := taken.UnixNano() / (int64(bd.window) / bucketCount)
	if bk := &bd.buckets[index%bucketCount]; bk.index == index && bk.retries > 0 {
		bk.retries--
	}
}
