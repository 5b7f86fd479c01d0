package pool

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// dispatch starts waiting requests in order while they fit. A request that doesn't fit blocks those behind it, so that
// none starves. Only a request that avoids a target on which it failed, or that waits for the target with its context,
// may be bypassed.
func (ow *Owner) dispatch(now time.Time, actions []Action) []Action {
	if ow.queue.length == 0 || ow.steppedDown {
		return actions
	}
	for index := range ow.queue.classes {
		var blocked bool
		actions, blocked = ow.dispatchClass(now, &ow.queue.classes[index], actions)
		if blocked {
			return actions
		}
	}
	return actions
}

// dispatchClass starts requests of one priority, and reports whether one of them blocks the less urgent priorities.
func (ow *Owner) dispatchClass(now time.Time, pq *priorityQueue, actions []Action) ([]Action, bool) {
	for rq := pq.next(); rq != nil; rq = pq.next() {
		action, started := ow.tryStart(now, rq)
		if started {
			actions = append(actions, action)
			continue
		}
		if !ow.bypassable(now, rq) {
			return actions, true
		}
		return ow.dispatchRest(now, pq, actions)
	}
	return actions, false
}

// dispatchRest tries each waiting request once, after the first one was bypassed. The order is computed only once,
// since a full queue of bypassable requests may be tried at each event.
func (ow *Owner) dispatchRest(now time.Time, pq *priorityQueue, actions []Action) ([]Action, bool) {
	for _, rq := range pq.dispatchOrder() {
		action, started := ow.tryStart(now, rq)
		if started {
			actions = append(actions, action)
			continue
		}
		if !ow.bypassable(now, rq) {
			return actions, true
		}
	}
	return actions, false
}

// bypassable reports whether requests behind a waiting one may start before it.
func (ow *Owner) bypassable(now time.Time, rq *request) bool {
	return len(rq.failedTargets) > 0 || ow.awaitsAffinity(now, rq)
}

// tryStart starts the request if a target admits it.
func (ow *Owner) tryStart(now time.Time, rq *request) (Action, bool) {
	tg, work, cached := ow.chooseTarget(now, rq)
	if tg == nil {
		return Action{}, false
	}
	ow.queue.dispatch(rq)
	return ow.start(now, rq, tg, work, cached), true
}

// chooseTarget returns the target for the request, with the work and the cached prompt tokens there, or nil.
func (ow *Owner) chooseTarget(now time.Time, rq *request) (*target, chestnutroad.WorkUnits, chestnutroad.Tokens) {
	ow.resetFailedTargets(now, rq)
	pl := ow.admissionLoad(now)
	if rq.Chat == 0 {
		work := rq.workWith(0)
		return ow.leastLoaded(now, rq, work, pl), work, 0
	}
	if tg, cached := ow.placement(rq); tg != nil {
		work := rq.workWith(cached)
		if ow.admissible(now, tg, rq, work, pl) {
			return tg, work, cached
		}
		if ow.awaitsAffinity(now, rq) {
			return nil, 0, 0
		}
	}
	work := rq.workWith(0)
	return ow.rendezvousTarget(now, rq, work, pl), work, 0
}

// awaitsAffinity reports whether the request still waits for the target that holds its context. Another target would
// have to prefill the context again, which also delays the answer and adds work that a short wait saves.
func (ow *Owner) awaitsAffinity(now time.Time, rq *request) bool {
	if !now.Before(rq.affinityUntil) {
		return false
	}
	tg, _ := ow.placement(rq)
	return tg != nil && tg.eligible(now) && !rq.excludes(tg.id)
}

// resetFailedTargets clears the request's failed targets when no other target is eligible.
func (ow *Owner) resetFailedTargets(now time.Time, rq *request) {
	if len(rq.failedTargets) == 0 {
		return
	}
	for _, tg := range ow.targets {
		if tg.eligible(now) && !rq.excludes(tg.id) {
			return
		}
	}
	rq.failedTargets = nil
}

// placement returns the chat's target in the placement table and the number of prompt tokens cached there, or nil.
func (ow *Owner) placement(rq *request) (*target, chestnutroad.Tokens) {
	en, found := ow.table.get(rq.Chat)
	if !found {
		return nil, 0
	}
	tg := ow.locations[en.location].target
	if tg == nil {
		return nil, 0
	}
	return tg, min(chestnutroad.Tokens(en.cached), rq.Prompt+rq.sent)
}

// cachedTokens returns the number of prompt tokens cached on the chat's target in the placement table, or zero.
func (ow *Owner) cachedTokens(rq *request) chestnutroad.Tokens {
	_, cached := ow.placement(rq)
	return cached
}

// leastLoaded returns the admissible target with the lowest load, or nil.
func (ow *Owner) leastLoaded(now time.Time, rq *request, work chestnutroad.WorkUnits, pl poolLoad) *target {
	var least *target
	for _, tg := range ow.targets {
		if least != nil && ow.load(now, tg) >= ow.load(now, least) {
			continue
		}
		if ow.admissible(now, tg, rq, work, pl) {
			least = tg
		}
	}
	return least
}

// rendezvousTarget returns the target for a chat without a placement, or whose target in the placement table does not
// admit the request: the first admissible one in rendezvous order at or below the mean, or the first admissible one when
// there is none. Keeping new chats off the targets near the bound leaves room there for returning chats and saves moves.
func (ow *Owner) rendezvousTarget(now time.Time, rq *request, work chestnutroad.WorkUnits, pl poolLoad) *target {
	if tg := ow.rendezvousUpTo(now, rq, work, pl, pl.mean()); tg != nil {
		return tg
	}
	return ow.rendezvousUpTo(now, rq, work, pl, math.Inf(1))
}

// rendezvousUpTo returns the first admissible target in rendezvous order among those with a load up to maxLoad.
func (ow *Owner) rendezvousUpTo(now time.Time, rq *request, work chestnutroad.WorkUnits, pl poolLoad, maxLoad float64) *target {
	var best *target
	var bestScore rankScore
	for _, tg := range ow.targets {
		if float64(ow.load(now, tg)) > maxLoad {
			continue
		}
		score := scoreOf(rq.Chat, tg.seed, tg.weight(now, ow.settings.slowStart))
		if best != nil && score.less(bestScore) {
			continue
		}
		if ow.admissible(now, tg, rq, work, pl) {
			best, bestScore = tg, score
		}
	}
	return best
}

func (ow *Owner) start(now time.Time, rq *request, tg *target, work chestnutroad.WorkUnits, cached chestnutroad.Tokens) Action {
	rq.attempts++
	tg.begin(now, rq, work)
	ow.recordPlacement(now, rq, tg, cached)
	ow.counts.Started++
	if cached > 0 {
		ow.counts.CacheHits++
	}
	return Action{
		Type: ActionStart, Request: rq.ID, Target: tg.id, Cached: cached, Resume: rq.resume, Work: work,
	}
}

// recordPlacement stores where the chat's context is or will be.
func (ow *Owner) recordPlacement(now time.Time, rq *request, tg *target, cached chestnutroad.Tokens) {
	if rq.Chat == 0 {
		return
	}
	ow.recordException(now, rq, tg)
	ow.table.put(now, rq.Chat, tg.location, cached)
}
