package pool

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// drainDecay is the weight of the earlier average at each finish; the average covers about the last 50 requests.
	drainDecay = 0.98
	// defaultRetryAfter is the Retry-After while the drain rate is unknown.
	defaultRetryAfter = time.Second
	// retryAfterNoTarget is the Retry-After while the shard has no target; the host list is polled every second.
	retryAfterNoTarget = 2 * time.Second
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = time.Minute
)

// drainRate estimates how fast the shard finishes work. By Little's law the rate is the running work divided by the
// mean time that a unit of work stays. A count of finishes per second would be too low just after an idle period.
type drainRate struct {
	work        float64
	workSeconds float64 // work times the time that it ran, in seconds
	// total is the work finished since the owner started; it does not decay.
	total chestnutroad.WorkUnits
}

// record adds a finished request to the averages.
func (dr *drainRate) record(work chestnutroad.WorkUnits, duration time.Duration) {
	dr.work = drainDecay*dr.work + float64(work)
	dr.workSeconds = drainDecay*dr.workSeconds + float64(work)*max(duration.Seconds(), 1e-6)
	dr.total += work
}

// drainTime returns the time to drain the work at the rate at which the running work is being finished, at most an hour.
// It returns false before the first finish and while nothing runs.
func (dr *drainRate) drainTime(work, running chestnutroad.WorkUnits) (time.Duration, bool) {
	if dr.work == 0 || running <= 0 {
		return 0, false
	}
	seconds := float64(work) * (dr.workSeconds / dr.work) / float64(running)
	return time.Duration(min(seconds, maxRetryAfter.Seconds()*60) * float64(time.Second)), true
}

// remainingShare returns the share of another owner's reported work that still runs when the report has the given age.
func (dr *drainRate) remainingShare(age time.Duration) float64 {
	if dr.workSeconds == 0 {
		return 1
	}
	return math.Exp(-max(0, age.Seconds()) * dr.work / dr.workSeconds)
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// retryAfter returns the Retry-After for a request with the given work ahead of it.
func (ow *Owner) retryAfter(ahead chestnutroad.WorkUnits) time.Duration {
	wait, ok := ow.drain.drainTime(ahead, ow.totalBookedWork())
	if !ok {
		return defaultRetryAfter
	}
	return clampRetryAfter(wait)
}

// totalBookedWork returns the owner's own work on all targets.
func (ow *Owner) totalBookedWork() chestnutroad.WorkUnits {
	var work chestnutroad.WorkUnits
	for _, tg := range ow.targets {
		work += tg.bookedWork
	}
	return work
}
