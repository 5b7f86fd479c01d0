package pool

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// targetMemory is how long a target that the list dropped is remembered, so that a short flap keeps its chats.
const targetMemory = time.Minute

// SetTargets takes the present list of the shard's targets. The first list holds targets that the new owner merely
// doesn't know yet; a target that a later list adds goes through the slow start.
func (ow *Owner) SetTargets(now time.Time, listed []Target) []Action {
	first := len(ow.targets) == 0
	present := make(map[chestnutroad.TargetID]bool, len(listed))
	for _, entry := range listed {
		present[entry.ID] = true
		tg := ow.byID[entry.ID]
		if tg == nil {
			tg = ow.addTarget(entry.ID)
			if !first {
				tg.since = now
			}
		}
		tg.list(now, entry)
	}
	for _, tg := range ow.targets {
		if tg.listed && !present[tg.id] {
			tg.listed = false
			tg.gone = now
		}
	}
	ow.forgetGone(now)
	return ow.settle(now, nil)
}

// list takes the list's word on the target. A peer's word that it is leaving holds until the list has caught up.
func (tg *target) list(now time.Time, entry Target) {
	takenBack := tg.listLeaving || now.Sub(tg.heardLeaving) >= leavingHold
	if takenBack && !entry.Leaving {
		tg.heardLeaving = time.Time{}
	}
	tg.listLeaving = entry.Leaving
	tg.listed = true
	tg.slots = entry.Slots
}

// SetLeaving takes a peer's word that a target is leaving; it gets no new work from now on.
func (ow *Owner) SetLeaving(now time.Time, id chestnutroad.TargetID) []Action {
	tg := ow.byID[id]
	if tg == nil {
		return nil
	}
	tg.heardLeaving = now
	return ow.settle(now, nil)
}

func (ow *Owner) addTarget(id chestnutroad.TargetID) *target {
	tg := &target{id: id, seed: seedOf(id)}
	ow.newLife(tg)
	ow.byID[id] = tg
	ow.targets = append(ow.targets, tg)
	return tg
}

// newLife voids all table entries of the target's earlier life.
func (ow *Owner) newLife(tg *target) {
	if len(ow.lives) > 0 && ow.lives[tg.life].target == tg {
		ow.lives[tg.life] = life{}
	}
	tg.life = lifeIndex(len(ow.lives))
	ow.lives = append(ow.lives, life{target: tg})
}

func (ow *Owner) forgetGone(now time.Time) {
	ow.targets = slices.DeleteFunc(ow.targets, func(tg *target) bool {
		if tg.listed || len(tg.running) > 0 || now.Sub(tg.gone) < targetMemory {
			return false
		}
		delete(ow.byID, tg.id)
		ow.lives[tg.life] = life{}
		return true
	})
}

func (ow *Owner) anyEligible(now time.Time) bool {
	for _, tg := range ow.targets {
		if tg.eligible(now) {
			return true
		}
	}
	return false
}
