package pool

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// unlistedTargetTTL is how long a target stays known after the list dropped it, so that a short flap keeps its chats.
const unlistedTargetTTL = time.Minute

// SetTargets applies the current list of the shard's targets. Targets of the first list are new only to this owner and
// get their full weight; a target that a later list adds goes through the slow start.
func (ow *Owner) SetTargets(now time.Time, listed []Target) []Action {
	first := len(ow.targets) == 0
	present := make(map[chestnutroad.TargetID]bool, len(listed))
	for _, entry := range listed {
		present[entry.ID] = true
		tg := ow.byID[entry.ID]
		if tg == nil {
			tg = ow.addTarget(entry.ID)
			if !first {
				tg.slowStartAt = now
			}
		}
		tg.updateListing(now, entry)
	}
	for _, tg := range ow.targets {
		if tg.listed && !present[tg.id] {
			tg.listed = false
			tg.unlistedAt = now
		}
	}
	ow.removeUnlisted(now)
	return ow.reconcile(now, nil)
}

// updateListing applies the target's entry in the list. A peer's leaving notice stays in force until the list has shown
// the target as leaving and no longer does, or until leavingNoticeTTL has passed.
func (tg *target) updateListing(now time.Time, entry Target) {
	outdated := tg.listedLeaving || now.Sub(tg.leavingNoticeAt) >= leavingNoticeTTL
	if outdated && !entry.Leaving {
		tg.leavingNoticeAt = time.Time{}
	}
	tg.listedLeaving = entry.Leaving
	tg.listed = true
	tg.slots = entry.Slots
}

// SetLeaving applies a peer's notice that a target is leaving; the target gets no new work.
func (ow *Owner) SetLeaving(now time.Time, id chestnutroad.TargetID) []Action {
	tg := ow.byID[id]
	if tg == nil {
		return nil
	}
	tg.leavingNoticeAt = now
	return ow.reconcile(now, nil)
}

func (ow *Owner) addTarget(id chestnutroad.TargetID) *target {
	tg := &target{id: id, seed: seedOf(id)}
	ow.assignLocation(tg)
	ow.byID[id] = tg
	ow.targets = append(ow.targets, tg)
	return tg
}

// assignLocation gives the target a new location and voids the table entries of its former one.
func (ow *Owner) assignLocation(tg *target) {
	if len(ow.locations) > 0 && ow.locations[tg.location].target == tg {
		ow.locations[tg.location] = location{}
	}
	tg.location = locationIndex(len(ow.locations))
	ow.locations = append(ow.locations, location{target: tg})
}

// removeUnlisted forgets idle targets that the list dropped at least unlistedTargetTTL ago.
func (ow *Owner) removeUnlisted(now time.Time) {
	ow.targets = slices.DeleteFunc(ow.targets, func(tg *target) bool {
		if tg.listed || len(tg.running) > 0 || now.Sub(tg.unlistedAt) < unlistedTargetTTL {
			return false
		}
		delete(ow.byID, tg.id)
		ow.locations[tg.location] = location{}
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
