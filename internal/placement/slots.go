package placement

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// maxSlotShare is the share of an engine's slots that requests of rank 0 may use; rankStep is subtracted for each of the
	// next maxRank ranks, and higher ranks count as maxRank. An engine only queues requests beyond its slots, and one that
	// waits there until its caller gives up was sent in vain. The steps reserve slots for more urgent requests.
	maxSlotShare = 1.0
	rankStep     = 0.08
	maxRank      = 2
	// precedenceStep is subtracted for demoted requests; it is smaller than rankStep, so that a lower rank always comes
	// first.
	precedenceStep = 0.06
)

func slotShare(req *Request) float64 {
	rank := min(max(req.Rank, 0), maxRank)
	return maxSlotShare - rankStep*float64(rank) - precedenceStep*float64(max(admission.Normal, req.Precedence))
}

// slotLimit returns the load below which the request may be sent to the target. An engine whose mean event gap exceeds the
// request's maximum gets only a few requests until its load has fallen, since the gaps grow with the number of requests
// that it runs.
func (tg *target) slotLimit(now time.Time, req *Request) int {
	slots := float64(tg.entry.Slots)
	limit := slots * slotShare(req)
	if req.MaxEventGap > 0 && tg.eventGap.estimate(now) > req.MaxEventGap {
		limit = min(limit, slowEngineShare*slots)
	}
	return max(1, int(limit))
}

// hasSlot reports whether the target has a free slot for the request; a target that states no slots always has.
func (tg *target) hasSlot(now time.Time, req *Request) bool {
	return tg.entry.Slots <= 0 || tg.load(now) < tg.slotLimit(now, req)
}

const (
	// crowdedShare is the share of all slots in use above which requests with costly shared parts are confined to the first
	// targets of their ranking.
	crowdedShare = 0.7
	// costlyPartRatio is the number of shared tokens per generated token at which prefilling them again takes an engine about
	// as long as the whole answer.
	costlyPartRatio = 4
	// crowdedTargets is the number of first targets to which these requests are confined.
	crowdedTargets = 3
)

// withFreeSlots returns the targets that have a free slot for the request.
//
// On a crowded pool, requests would take a free slot at any engine and have their shared parts prefilled again there, which
// slows all engines down: at three times the usual traffic 4.4 million of 7.4 million tokens were prefilled again. Requests
// whose shared parts cost more than their answers therefore use only the first targets of their ranking, or none.
func (pl *Pool) withFreeSlots(now time.Time, targets []*target, req *Request, sticky *target, confined bool) []*target {
	if !req.RequireSlot {
		return targets
	}
	if confined {
		targets = pl.firstTargets(now, newRanking(now, targets, req.Affinity, sticky))
	}
	return slices.DeleteFunc(targets, func(tg *target) bool { return !tg.hasSlot(now, req) })
}

// confined reports whether the request may use only the first targets of its ranking; targets are those that may get it.
func (pl *Pool) confined(now time.Time, targets []*target, req *Request) bool {
	return req.RequireSlot && req.Affinity != "" && !pl.disabled.Off(mechanism.StrictAffinity) &&
		req.SharedTokens > costlyPartRatio*req.MaxOutputTokens && pl.crowded(now, targets)
}

// firstTargets returns the first targets of a ranking, up to crowdedTargets that have no limit of requests a second; the others
// between them take only a part of the requests. Cold targets rank last, and are added since they have room for a few requests.
func (pl *Pool) firstTargets(now time.Time, rk *ranking) []*target {
	count := 0
	for rank := range rk.entries {
		if !pl.limited(rk.at(rank)) {
			count++
		}
		if count == crowdedTargets {
			return withColdTargets(now, rk, rk.top(rank+1))
		}
	}
	return rk.top(len(rk.entries))
}

// crowded reports whether more than crowdedShare of the targets' slots are in use. The free slots of a target with a limit of
// requests a second don't count, since it would not take requests for them.
func (pl *Pool) crowded(now time.Time, targets []*target) bool {
	used, slots := 0, 0
	for _, tg := range targets {
		load := min(tg.load(now), tg.entry.Slots)
		used += load
		slots += pl.usableSlots(tg, load, tg.entry.Slots)
	}
	return float64(used) > crowdedShare*float64(slots)
}

// usableSlots returns the slots of a target, or the part of them that is in use if the target has a limit of requests a second.
func (pl *Pool) usableSlots(tg *target, load, slots int) int {
	if pl.limited(tg) {
		return min(load, slots)
	}
	return slots
}

// utilisationTimeConstant is the time constant with which utilisation is smoothed; the counts of other hosts arrive every
// 0.15 s and are up to 0.4 s old.
const utilisationTimeConstant = 500 * time.Millisecond

// utilisation is the smoothed share of a service's slots in use.
type utilisation struct {
	share     float64
	updatedAt time.Time
}

// Utilisation returns the smoothed share in use of the slots that the service has for the request. It exceeds one when more
// requests run or wait than these slots allow.
func (pl *Pool) Utilisation(now time.Time, req *Request) float64 {
	used, slots := 0, 0
	for _, tg := range pl.services[req.Service] {
		if tg.usable() && pl.allowsRegion(req, tg) && !pl.unreachable(now, tg) && tg.notice.retryAfter(now) == 0 {
			load := tg.load(now)
			used += load
			slots += pl.usableSlots(tg, load, tg.slotLimit(now, req))
		}
	}
	key := newUtilisationKey(req)
	ut := pl.utilisations[key]
	if ut == nil {
		ut = &utilisation{}
		pl.utilisations[key] = ut
	}
	if slots > 0 {
		weight := min(1, now.Sub(ut.updatedAt).Seconds()/utilisationTimeConstant.Seconds())
		ut.share += weight * (float64(used)/float64(slots) - ut.share)
		ut.updatedAt = now
	}
	return ut.share
}
