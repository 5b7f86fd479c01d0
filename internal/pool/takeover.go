package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// maxReportWait ends the wait for a target's report after a takeover, in case its reports are lost.
const maxReportWait = 5 * time.Second

// TakeOver makes the owner admit requests under the epoch. Without the former owner's state it admits work up to the
// floor (one request per target when that is more) until TakeoverDelay has passed and the target has reported.
func (ow *Owner) TakeOver(now time.Time, epoch chestnutroad.Epoch, stateFetched bool) []Action {
	ow.epoch = epoch
	ow.steppedDown = false
	ow.takeover = time.Time{}
	if !stateFetched {
		ow.takeover = now
	}
	return ow.reconcile(now, nil)
}

// StepDown refuses the queued requests so that they go to the new owner; running ones continue.
func (ow *Owner) StepDown(_ time.Time) []Action {
	ow.steppedDown = true
	waiting := ow.queue.unordered()
	actions := make([]Action, 0, len(waiting))
	for _, rq := range waiting {
		ow.queue.remove(rq)
		actions = append(actions, ow.refuse(rq, chestnutroad.NotReady, "the shard has a new owner", 0))
	}
	return actions
}

// takeoverDone reports whether the target may be loaded beyond the floor.
func (ow *Owner) takeoverDone(now time.Time, tg *target) bool {
	if ow.takeover.IsZero() {
		return true
	}
	waited := now.Sub(ow.takeover)
	if waited < ow.settings.takeoverDelay {
		return false
	}
	return !ow.settings.reports || tg.reportAt.After(ow.takeover) || waited >= maxReportWait
}
