package order

import "time"

// failuresUntilDown is the number of failed appends in a row after which the log counts as down; a single lost answer
// must not stop the orders.
const failuresUntilDown = 2

// logHealth is what the host knows of the log's availability.
type logHealth struct {
	// unreadable is true while the log can't be read.
	unreadable bool
	failures   int
	// nextTry is when the next append may be tried after failures.
	nextTry time.Time
}

func (lh *logHealth) recordSuccess() { lh.failures = 0 }

func (lh *logHealth) recordFailure(now time.Time) {
	lh.failures++
	if lh.failures >= failuresUntilDown {
		lh.nextTry = now.Add(retryAfter)
	}
}

// retryAt returns the time before which no append is tried; it is zero while appends succeed.
func (lh *logHealth) retryAt() time.Time {
	if lh.failures < failuresUntilDown {
		return time.Time{}
	}
	return lh.nextTry
}

// down reports whether an order that needs the log has no chance now. After the retry time, orders are let through to
// find out.
func (lh *logHealth) down(now time.Time) bool { return lh.unreadable || now.Before(lh.retryAt()) }

// LogDown tells that the log can't be read. The next batch ends it.
func (mc *Machine) LogDown(now time.Time) []Action {
	mc.expire(now)
	mc.log.unreadable = true
	mc.refuseQueued(now)
	return mc.finish(now)
}

// LogUp tells that the log can be read again.
func (mc *Machine) LogUp(now time.Time) []Action {
	mc.log.unreadable = false
	mc.expire(now)
	return mc.finish(now)
}
