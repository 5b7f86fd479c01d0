package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// maxAttempts is the number of times that one request is started before it is refused.
const maxAttempts = 4

// Finish ends a request that its target answered completely.
func (ow *Owner) Finish(now time.Time, id chestnutroad.RequestID) []Action {
	rq := ow.requests[id]
	if rq == nil || rq.target == nil {
		return nil
	}
	tg := rq.target
	tg.consecutiveFailures = 0
	tg.ejections = 0
	ow.drain.record(rq.work, now.Sub(rq.started))
	ow.counts.Finished++
	ow.recordPlacement(now, rq, tg, rq.Prompt+rq.sent)
	ow.removeRequest(now, rq)
	return ow.reconcile(now, nil)
}

// Cancel ends a waiting or running request that its caller cancelled.
func (ow *Owner) Cancel(now time.Time, id chestnutroad.RequestID) []Action {
	rq := ow.requests[id]
	if rq == nil {
		return nil
	}
	ow.removeRequest(now, rq)
	return ow.reconcile(now, nil)
}

// removeRequest takes the request off its target or out of the queue.
func (ow *Owner) removeRequest(now time.Time, rq *request) {
	delete(ow.requests, rq.ID)
	if rq.target != nil {
		rq.target.end(now, rq)
		return
	}
	ow.queue.remove(rq)
}

// Fail ends the attempt of a running request that failed on its target. A request that may be repeated goes back to the
// front of the queue, to be started on another target; any other is refused at once.
func (ow *Owner) Fail(now time.Time, id chestnutroad.RequestID, kind FailureKind) []Action {
	rq := ow.requests[id]
	if rq == nil || rq.target == nil {
		return nil
	}
	tg := rq.target
	ow.counts.Failed++
	ow.countFailure(now, tg)
	tg.end(now, rq)
	rq.failedTargets = append(rq.failedTargets, tg.id)
	if kind != FailureNotRun {
		rq.mayHaveRun = true
		rq.resume = rq.resume || rq.resumable()
	}
	if refusal, refused := ow.refuseUnrepeatable(rq, kind); refused {
		return ow.reconcile(now, []Action{refusal})
	}
	rq.work = rq.workWith(0)
	ow.queue.addFront(rq)
	return ow.trimQueue(ow.reconcile(now, nil))
}

// refuseUnrepeatable refuses a failed request that must not or can't be repeated.
func (ow *Owner) refuseUnrepeatable(rq *request, kind FailureKind) (Action, bool) {
	switch {
	case kind == FailureBroken && rq.Repeat == chestnutroad.RepeatNever:
		return ow.refuse(rq, chestnutroad.OutcomeUnknown, "the target broke off after the request may have run", 0), true
	case kind == FailureBadAnswer:
		return ow.refuse(rq, chestnutroad.BadAnswer, "the target's answer could not be understood", 0), true
	case ow.steppedDown:
		return ow.refuse(rq, chestnutroad.NotReady, "the shard has a new owner", 0), true
	case rq.attempts < maxAttempts:
		return Action{}, false
	case rq.mayHaveRun:
		return ow.refuse(rq, chestnutroad.StreamBroken, "the answer broke off on several targets", defaultRetryAfter), true
	}
	return ow.refuse(rq, chestnutroad.TargetRefused, "several targets refused the request", defaultRetryAfter), true
}

// countFailure ejects a target after failuresToEject consecutive failures, unless too many are ejected already.
func (ow *Owner) countFailure(now time.Time, tg *target) {
	tg.consecutiveFailures++
	if tg.consecutiveFailures < failuresToEject || tg.ejected(now) || !ow.mayEject(now) {
		return
	}
	duration := min(maxEjectionTime, baseEjectionTime<<min(tg.ejections, 10))
	tg.ejectedUntil = now.Add(duration)
	tg.ejections++
	tg.consecutiveFailures = 0
	ow.counts.Ejected++
}

// mayEject reports whether one more ejection stays within EjectLimit.
func (ow *Owner) mayEject(now time.Time) bool {
	listed, ejected := 0, 0
	for _, tg := range ow.targets {
		if !tg.listed {
			continue
		}
		listed++
		if tg.ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= ow.settings.ejectLimit*float64(listed)
}
