package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// deadlineUnreachable is the refusal message for a request whose work and the work ahead of it can't be drained before its
// deadline.
const deadlineUnreachable = "the work ahead takes longer than the deadline allows"

// Submit starts, redirects, refuses or queues a request.
func (ow *Owner) Submit(now time.Time, req chestnutroad.Request, opts ...SubmitOption) []Action {
	rq := &request{Request: req}
	for _, opt := range opts {
		opt(rq)
	}
	if rq.Priority < 0 || rq.Priority >= chestnutroad.PriorityCount {
		rq.Priority = chestnutroad.PriorityDraft
	}
	ow.counts.Submitted++
	if refusal, refused := ow.refuseOnArrival(now, rq); refused {
		ow.counts.Refused++
		return []Action{refusal}
	}
	if rs := ow.placementShard(rq); rs != nil && rq.redirects == 0 && ow.admits(now, rs, rq) {
		return []Action{ow.redirect(now, rq, rs)}
	}
	ow.requests[rq.ID] = rq
	rq.work = rq.workWith(ow.cachedTokens(rq))
	rq.affinityUntil = now.Add(ow.settings.affinityWait)
	ow.queue.add(rq, ow.settings.teamWeight(rq.Team))
	actions := ow.reconcile(now, nil)
	if !ow.queued(rq) {
		return actions
	}
	if shard, found := ow.redirectShard(now, rq); found && !ow.awaitsAffinity(now, rq) {
		return append(actions, ow.redirect(now, rq, shard))
	}
	return ow.limitQueue(now, rq, actions)
}

// refuseOnArrival refuses a request that can neither run nor wait here.
func (ow *Owner) refuseOnArrival(now time.Time, rq *request) (Action, bool) {
	switch {
	case ow.steppedDown:
		return rq.refuse(chestnutroad.NotReady, "the shard has a new owner", 0), true
	case ow.requests[rq.ID] != nil:
		return rq.refuse(chestnutroad.InProgress, "a request with this id is running", 0), true
	case rq.expired(now):
		return rq.refuse(chestnutroad.DeadlineExceeded, "the deadline passed before the request arrived", 0), true
	case !ow.anyEligible(now) && ow.freshRemotes(now) == 0:
		return rq.refuse(chestnutroad.NoTarget, "the shard has no target", retryAfterNoTarget), true
	}
	return Action{}, false
}

// queued reports whether the request is waiting in the queue.
func (ow *Owner) queued(rq *request) bool {
	return ow.requests[rq.ID] == rq && rq.target == nil
}

// trimQueue refuses the requests that overflow selects until the queue is within its limit.
func (ow *Owner) trimQueue(actions []Action) []Action {
	for ow.queue.length > ow.settings.queueLimit {
		victim := ow.queue.overflow()
		wait := ow.retryAfter(ow.queue.workAhead(victim))
		kind := ow.overflowKind(victim)
		ow.queue.remove(victim)
		actions = append(actions, ow.refuse(victim, kind, "the queue is full", wait))
	}
	return actions
}

// limitQueue trims the queue and refuses the new request when there is no target or when it can't start in time.
func (ow *Owner) limitQueue(now time.Time, rq *request, actions []Action) []Action {
	actions = ow.trimQueue(actions)
	if ow.queued(rq) && !ow.anyEligible(now) {
		ow.queue.remove(rq)
		return append(actions, ow.refuse(rq, chestnutroad.NoTarget, "the shard has no target", retryAfterNoTarget))
	}
	return ow.refuseUnreachableDeadline(now, rq, actions)
}

// overflowKind distinguishes a team above its share from a shard that is overloaded as a whole.
func (ow *Owner) overflowKind(rq *request) chestnutroad.Kind {
	if len(ow.queue.class(rq).active) > 1 {
		return chestnutroad.ShareExceeded
	}
	return chestnutroad.Overloaded
}

// refuseUnreachableDeadline refuses a waiting request when the work ahead of it and its own can't be drained before its
// deadline at the current drain rate.
func (ow *Owner) refuseUnreachableDeadline(now time.Time, rq *request, actions []Action) []Action {
	if !ow.queued(rq) || rq.Deadline.IsZero() {
		return actions
	}
	wait, ok := ow.drain.drainTime(ow.queue.workAhead(rq)+rq.work, ow.totalBookedWork())
	if !ok || !now.Add(wait).After(rq.Deadline) {
		return actions
	}
	ow.queue.remove(rq)
	return append(actions, ow.refuse(rq, chestnutroad.Overloaded, deadlineUnreachable, clampRetryAfter(wait)))
}
