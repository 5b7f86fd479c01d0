package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Tick applies the passage of time to deadlines, ejections, the takeover wait and the age of summaries. It should be
// called at least every 100 ms, and at the time that NextWake returns.
func (ow *Owner) Tick(now time.Time) []Action {
	ow.removeUnlisted(now)
	ow.queue.removeIdleTeams()
	actions := ow.reconcile(now, nil)
	return ow.refuseUnreachableDeadlines(now, actions)
}

// refuseUnreachableDeadlines does the same as refuseUnreachableDeadline for all waiting requests.
func (ow *Owner) refuseUnreachableDeadlines(now time.Time, actions []Action) []Action {
	var ahead chestnutroad.WorkUnits
	booked := ow.totalBookedWork()
	for _, rq := range ow.queue.dispatchOrder() {
		wait, ok := ow.drain.drainTime(ahead+rq.work, booked)
		if ok && !rq.Deadline.IsZero() && now.Add(wait).After(rq.Deadline) {
			ow.queue.remove(rq)
			actions = append(actions, ow.refuse(rq, chestnutroad.Overloaded, deadlineUnreachable, clampRetryAfter(wait)))
			continue
		}
		ahead += rq.work
	}
	return actions
}

// NextWake returns the earliest time at which a queued request's deadline may pass.
func (ow *Owner) NextWake() (time.Time, bool) {
	return ow.queue.earliestDeadline, ow.queue.length > 0 && !ow.queue.earliestDeadline.IsZero()
}
