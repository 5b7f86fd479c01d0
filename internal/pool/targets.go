package pool

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// unlistedTargetTTL is how long a target that the list dropped is remembered, so that a short flap keeps its chats.
const unlistedTargetTTL = time.Minute

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
	return ow.settle(now, nil)
}

// updateListing takes the updateListing's word on the target. A peer's word that it is leaving holds until the updateListing has caught up.
func (tg *target) updateListing(now time.Time, entry Target) {
	takenBack := tg.listedLeaving || now.Sub(tg.leavingNoticeAt) >= leavingNoticeTTL
	if takenBack && !entry.Leaving {
		tg.leavingNoticeAt = time.Time{}
	}
	tg.listedLeaving = entry.Leaving
	tg.listed = true
	tg.slots = entry.Slots
}

// SetLeaving takes a peer's word that a target is leaving; it gets no new work from now on.
func (ow *Owner) SetLeaving(now time.Time, id chestnutroad.TargetID) []Action {
	tg := ow.byID[id]
	if tg == nil {
		return nil
	}
	tg.leavingNoticeAt = now
	return ow.settle(now, nil)
}

func (ow *Owner) addTarget(id chestnutroad.TargetID) *target {
	tg := &target{id: id, seed: seedOf(id)}
	ow.assignLocation(tg)
	ow.byID[id] = tg
	ow.targets = append(ow.targets, tg)
	return tg
}

// assignLocation voids all table entries of the target's earlier life.
func (ow *Owner) assignLocation(tg *target) {
	if len(ow.locations) > 0 && ow.locations[tg.location].target == tg {
		ow.locations[tg.location] = location{}
	}
	tg.location = locationIndex(len(ow.locations))
	ow.locations = append(ow.locations, location{target: tg})
}

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
