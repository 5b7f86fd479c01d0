package pool

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// drainDecay is the weight that the earlier average keeps at each finish, about the last 50 requests.
	drainDecay = 0.98
	// defaultRetryAfter is the Retry-After while no drain rate is known.
	defaultRetryAfter = time.Second
	// retryAfterNoTarget is the Retry-After while the shard has no target; the host list is polled every second.
	retryAfterNoTarget = 2 * time.Second
	minRetryAfter         = 100 * time.Millisecond
	maxRetryAfter          = time.Minute
)

// drainRate estimates how fast the shard finishes work. By Little's law the rate is the running work divided by the
// mean time that a unit of work stays; a count of finishes per second would be too low just after an idle period.
type drainRate struct {
	work  float64
	workSeconds float64 // work times seconds
	total chestnutroad.WorkUnits
}

func (dr *drainRate) record(work chestnutroad.WorkUnits, stay time.Duration) {
	dr.work = drainDecay*dr.work + float64(work)
	dr.workSeconds = drainDecay*dr.workSeconds + float64(work)*max(stay.Seconds(), 1e-6)
	dr.total += work
}

// drainTime returns the time to drain that much work while so much is running.
func (dr *drainRate) drainTime(work, running chestnutroad.WorkUnits) (time.Duration, bool) {
	if dr.work == 0 || running <= 0 {
		return 0, false
	}
	seconds := float64(work) * (dr.workSeconds / dr.work) / float64(running)
	return time.Duration(min(seconds, maxRetryAfter.Seconds()*60) * float64(time.Second)), true
}

// remainingShare returns the share of another owner's work that still runs when the report of it has that age.
func (dr *drainRate) remainingShare(age time.Duration) float64 {
	if dr.workSeconds == 0 {
		return 1
	}
	return math.Exp(-max(0, age.Seconds()) * dr.work / dr.workSeconds)
}

func clampRetryAfter(wait time.Duration) time.Duration { return min(maxRetryAfter, max(minRetryAfter, wait)) }

// retryAfter returns the Retry-After for a request with that much work ahead.
func (ow *Owner) retryAfter(ahead chestnutroad.WorkUnits) time.Duration {
	wait, known := ow.drain.drainTime(ahead, ow.bookedWork())
	if !known {
		return defaultRetryAfter
	}
	return clampRetryAfter(wait)
}

func (ow *Owner) bookedWork() chestnutroad.WorkUnits {
	var work chestnutroad.WorkUnits
	for _, tg := range ow.targets {
		work += tg.bookedWork
	}
	return work
}
