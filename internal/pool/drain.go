package pool

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// drainDecay is the weight that the earlier average keeps at each finish, about the last 50 requests.
	drainDecay = 0.98
	// retryUnknown is the Retry-After while no drain rate is known.
	retryUnknown = time.Second
	// retryWithoutTarget is the Retry-After while the shard has no target; the host list is polled every second.
	retryWithoutTarget = 2 * time.Second
	retryLeast         = 100 * time.Millisecond
	retryMost          = time.Minute
)

// drainRate estimates how fast the shard finishes work. By Little's law the rate is the running work divided by the
// mean time that a unit of work stays; a count of finishes per second would be too low just after an idle period.
type drainRate struct {
	work  float64
	stays float64 // work times seconds
	total chestnutroad.WorkUnits
}

func (dr *drainRate) finished(work chestnutroad.WorkUnits, stay time.Duration) {
	dr.work = drainDecay*dr.work + float64(work)
	dr.stays = drainDecay*dr.stays + float64(work)*max(stay.Seconds(), 1e-6)
	dr.total += work
}

// timeFor returns the time to drain that much work while so much is running.
func (dr *drainRate) timeFor(work, running chestnutroad.WorkUnits) (time.Duration, bool) {
	if dr.work == 0 || running <= 0 {
		return 0, false
	}
	seconds := float64(work) * (dr.stays / dr.work) / float64(running)
	return time.Duration(min(seconds, retryMost.Seconds()*60) * float64(time.Second)), true
}

// fade returns the share of another owner's work that still runs when the report of it has that age.
func (dr *drainRate) fade(age time.Duration) float64 {
	if dr.stays == 0 {
		return 1
	}
	return math.Exp(-max(0, age.Seconds()) * dr.work / dr.stays)
}

func clampWait(wait time.Duration) time.Duration { return min(retryMost, max(retryLeast, wait)) }

// waitFor returns the Retry-After for a request with that much work ahead.
func (ow *Owner) waitFor(ahead chestnutroad.WorkUnits) time.Duration {
	wait, known := ow.drain.timeFor(ahead, ow.bookedWork())
	if !known {
		return retryUnknown
	}
	return clampWait(wait)
}

func (ow *Owner) bookedWork() chestnutroad.WorkUnits {
	var work chestnutroad.WorkUnits
	for _, tg := range ow.targets {
		work += tg.book
	}
	return work
}
