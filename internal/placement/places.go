package placement

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// maxSlotShare is the share of an engine's places that requests of the first rank may take, and rankStep what each of
	// the next two ranks takes less. Beyond its places an engine only queues, and a request that waits there past its
	// caller's patience was sent in vain. The steps keep places free for more urgent requests.
	maxSlotShare = 1.0
	rankStep   = 0.08
	maxRank   = 2
	// precedenceStep is what requests that are held to a share take less; it is smaller than a rank's step, so that ranks go
	// first.
	precedenceStep = 0.06
)

func slotShare(ask *Request) float64 {
	rank := min(max(ask.Rank, 0), maxRank)
	return maxSlotShare - rankStep*float64(rank) - precedenceStep*float64(ask.Precedence)
}

// slotLimit returns the number of requests at the target up to which the request may be sent there. An engine whose streams
// pause for longer than the request can bear gets only a few until it has fewer to run, since its pauses grow with the
// number that it runs.
func (tg *target) slotLimit(now time.Time, ask *Request) int {
	slots := float64(tg.entry.Slots)
	places := slots * slotShare(ask)
	if ask.MaxEventGap > 0 && tg.eventGap.estimate(now) > ask.MaxEventGap {
		places = min(places, slowEngineShare*slots)
	}
	return max(1, int(places))
}

// hasSlot reports whether the target has a place for the request.
func (tg *target) hasSlot(now time.Time, ask *Request) bool {
	return tg.entry.Slots <= 0 || tg.load(now) < tg.slotLimit(now, ask)
}

const (
	// crowdedShare is the share of all places in use from which requests with costly shared parts stay near them.
	crowdedShare = 0.7
	// costlyPartRatio is the number of shared tokens for each generated one from which reading them again takes an engine
	// about as long as the whole answer.
	costlyPartRatio = 4
	// crowdedTargets is the number of first targets in the order of a part's hash among which requests then stay.
	crowdedTargets = 3
)

// withFreeSlots returns the targets that have a place for the request.
//
// On a crowded pool a free place at any other engine would be taken by requests whose parts have to be read again there,
// which makes all engines slower: in an overload of three times the usual traffic 4.4 million tokens of 7.4 million were
// read again. Requests whose shared parts cost more than their answers wait near them or are refused.
func (pl *Pool) withFreeSlots(now time.Time, targets []*target, ask *Request, home *target) []*target {
	if !ask.RequireSlot {
		return targets
	}
	if ask.Affinity != "" && !pl.off.Off(mechanism.StrictAffinity) && ask.SharedTokens > costlyPartRatio*ask.MaxOutputTokens && crowded(now, targets) {
		targets = newRanking(now, targets, ask.Affinity, home).top(min(crowdedTargets, len(targets)))
	}
	return slices.DeleteFunc(targets, func(tg *target) bool { return !tg.hasSlot(now, ask) })
}

// crowded reports whether most places of the targets are taken.
func crowded(now time.Time, targets []*target) bool {
	taken, places := 0, 0
	for _, tg := range targets {
		taken += min(tg.load(now), tg.entry.Slots)
		places += tg.entry.Slots
	}
	return float64(taken) > crowdedShare*float64(places)
}

// utilisationMemory is the time constant with which the use of places is smoothed; the counts of other hosts come every 0.15 s
// and are up to 0.4 s old.
const utilisationMemory = 500 * time.Millisecond

// utilisation is the smoothed share of a service's places in utilisation.
type utilisation struct {
	share float64
	updatedAt    time.Time
}

// Utilisation returns the share of the places in use that a service has for the request, smoothed over about half a second. It is
// above one where requests wait.
func (pl *Pool) Utilisation(now time.Time, ask *Request) float64 {
	taken, places := 0, 0
	for _, tg := range pl.services[ask.Service] {
		if tg.usable() && !pl.unreachable(now, tg) && tg.notice.retryAfter(now) == 0 {
			taken += tg.load(now)
			places += tg.slotLimit(now, ask)
		}
	}
	known := pl.utilisations[ask.Service]
	if known == nil {
		known = &utilisation{}
		pl.utilisations[ask.Service] = known
	}
	if places > 0 {
		weight := min(1, now.Sub(known.updatedAt).Seconds()/utilisationMemory.Seconds())
		known.share += weight * (float64(taken)/float64(places) - known.share)
		known.updatedAt = now
	}
	return known.share
}
