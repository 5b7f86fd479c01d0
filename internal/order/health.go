package order

import "time"

// failuresUntilDown is the number of consecutive failed appends after which the log counts as down. It is above 1 so that
// a single lost answer doesn't stop the orders.
const failuresUntilDown = 2

// logHealth tracks whether the log can be read and appended to.
type logHealth struct {
	// unreadable is true while the log can't be read.
	unreadable bool
	failures   int
	// nextTry is the earliest time of the next append after failuresUntilDown failures.
	nextTry time.Time
}

func (lh *logHealth) recordSuccess() { lh.failures = 0 }

func (lh *logHealth) recordFailure(now time.Time) {
	lh.failures++
	if lh.failures >= failuresUntilDown {
		lh.nextTry = now.Add(retryAfter)
	}
}

// retryAt returns the earliest time of the next append, or zero while fewer than failuresUntilDown appends in a row have
// failed.
func (lh *logHealth) retryAt() time.Time {
	if lh.failures < failuresUntilDown {
		return time.Time{}
	}
	return lh.nextTry
}

// down reports whether new orders are to be refused because the log is unavailable. From retryAt on, orders are accepted
// again and their append serves as a probe.
func (lh *logHealth) down(now time.Time) bool { return lh.unreadable || now.Before(lh.retryAt()) }

// LogDown marks the log as unreadable until the next ReadBatch or LogUp.
func (mc *Machine) LogDown(now time.Time) []Action {
	mc.expire(now)
	mc.log.unreadable = true
	mc.refuseQueued(now)
	return mc.finish(now)
}

// LogUp marks the log as readable.
func (mc *Machine) LogUp(now time.Time) []Action {
	mc.log.unreadable = false
	mc.expire(now)
	return mc.finish(now)
}
