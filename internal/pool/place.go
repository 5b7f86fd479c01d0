package pool

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// dispatch starts waiting requests in order for as long as they fit. A request that doesn't fit holds back those behind
// it, so that none starves; only one that avoids a target on which it failed, or that waits for its own target, is passed.
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

// dispatchClass starts requests of one priority, and reports whether one of them holds back the priorities behind it.
func (ow *Owner) dispatchClass(now time.Time, pq *priorityQueue, actions []Action) ([]Action, bool) {
	for rq := pq.next(); rq != nil; rq = pq.next() {
		action, started := ow.tryStart(now, rq)
		if started {
			actions = append(actions, action)
			continue
		}
		if !ow.passable(now, rq) {
			return actions, true
		}
		return ow.dispatchBehind(now, pq, actions)
	}
	return actions, false
}

// dispatchBehind goes over the waiting requests once when the first of them is passed. The order is made once only,
// since a full queue may wait here at each event.
func (ow *Owner) dispatchBehind(now time.Time, pq *priorityQueue, actions []Action) ([]Action, bool) {
	for _, rq := range pq.order() {
		action, started := ow.tryStart(now, rq)
		if started {
			actions = append(actions, action)
			continue
		}
		if !ow.passable(now, rq) {
			return actions, true
		}
	}
	return actions, false
}

// passable says whether requests behind a waiting one may start before it.
func (ow *Owner) passable(now time.Time, rq *request) bool {
	return len(rq.failed) > 0 || ow.awaitsPlace(now, rq)
}

// tryStart starts the request if a target admits it.
func (ow *Owner) tryStart(now time.Time, rq *request) (Action, bool) {
	tg, work, cached := ow.choose(now, rq)
	if tg == nil {
		return Action{}, false
	}
	ow.queue.dispatch(rq)
	return ow.start(now, rq, tg, work, cached), true
}

// choose returns the target for the request with the work and the cached prompt tokens there, or nil.
func (ow *Owner) choose(now time.Time, rq *request) (*target, chestnutroad.WorkUnits, chestnutroad.Tokens) {
	ow.forgiveTargets(now, rq)
	pl := ow.admissionLoad(now)
	if rq.Chat == 0 {
		work := rq.workWith(0)
		return ow.leastLoaded(now, rq, work, pl), work, 0
	}
	if tg, cached := ow.knownPlace(rq); tg != nil {
		work := rq.workWith(cached)
		if ow.admissible(now, tg, rq, work, pl) {
			return tg, work, cached
		}
		if ow.awaitsPlace(now, rq) {
			return nil, 0, 0
		}
	}
	work := rq.workWith(0)
	return ow.firstInOrder(now, rq, work, pl), work, 0
}

// awaitsPlace says whether the request still waits for the target that has its context. Another target would have to build
// the context again, which delays the answer too and loads the pool with work that a short wait saves.
func (ow *Owner) awaitsPlace(now time.Time, rq *request) bool {
	if !now.Before(rq.affinityUntil) {
		return false
	}
	tg, _ := ow.knownPlace(rq)
	return tg != nil && tg.eligible(now) && !rq.excludes(tg.id)
}

// forgiveTargets clears the request's failed targets when no other is left.
func (ow *Owner) forgiveTargets(now time.Time, rq *request) {
	if len(rq.failed) == 0 {
		return
	}
	for _, tg := range ow.targets {
		if tg.eligible(now) && !rq.excludes(tg.id) {
			return
		}
	}
	rq.failed = nil
}

// knownPlace returns the target that the table names for the chat.
func (ow *Owner) knownPlace(rq *request) (*target, chestnutroad.Tokens) {
	en, found := ow.table.get(rq.Chat)
	if !found {
		return nil, 0
	}
	tg := ow.lives[en.life].target
	if tg == nil {
		return nil, 0
	}
	return tg, min(chestnutroad.Tokens(en.cached), rq.Prompt+rq.sent)
}

func (ow *Owner) cachedAnywhere(rq *request) chestnutroad.Tokens {
	_, cached := ow.knownPlace(rq)
	return cached
}

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

// firstInOrder returns the first target in rendezvous order for a chat without known context: the first at or below the
// mean, or the first admissible one when there is none. New chats that stay off the targets near the bound leave room
// there for returning ones and save moves.
func (ow *Owner) firstInOrder(now time.Time, rq *request, work chestnutroad.WorkUnits, pl poolLoad) *target {
	if tg := ow.firstUpTo(now, rq, work, pl, pl.mean()); tg != nil {
		return tg
	}
	return ow.firstUpTo(now, rq, work, pl, math.Inf(1))
}

// firstUpTo returns the first admissible target in rendezvous order of those up to that load.
func (ow *Owner) firstUpTo(now time.Time, rq *request, work chestnutroad.WorkUnits, pl poolLoad, most float64) *target {
	var first *target
	var best rankScore
	for _, tg := range ow.targets {
		if float64(ow.load(now, tg)) > most {
			continue
		}
		score := scoreOf(rq.Chat, tg.seed, tg.weight(now, ow.settings.slowStart))
		if first != nil && score.less(best) {
			continue
		}
		if ow.admissible(now, tg, rq, work, pl) {
			first, best = tg, score
		}
	}
	return first
}

func (ow *Owner) start(now time.Time, rq *request, tg *target, work chestnutroad.WorkUnits, cached chestnutroad.Tokens) Action {
	rq.attempts++
	tg.begin(now, rq, work)
	ow.remember(now, rq, tg, cached)
	ow.counts.Started++
	if cached > 0 {
		ow.counts.CacheHits++
	}
	return Action{
		Type: ActionStart, Request: rq.ID, Target: tg.id, Cached: cached, Resume: rq.resume, Work: work,
	}
}

// remember records where the chat's context is or will be.
func (ow *Owner) remember(now time.Time, rq *request, tg *target, cached chestnutroad.Tokens) {
	if rq.Chat == 0 {
		return
	}
	ow.noteException(now, rq, tg)
	ow.table.put(now, rq.Chat, tg.life, cached)
}
