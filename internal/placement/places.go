package placement

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// firstShare is the share of an engine's places that requests of the first rank may take, and rankStep what each of
	// the next two ranks takes less. Beyond its places an engine only queues, and a request that waits there past its
	// caller's patience was sent in vain. The steps keep places free for more urgent requests.
	firstShare = 1.0
	rankStep   = 0.08
	lastRank   = 2
	// standingStep is what requests that are held to a share take less; it is smaller than a rank's step, so that ranks go
	// first.
	standingStep = 0.06
)

func placeShare(ask *Request) float64 {
	rank := min(max(ask.Rank, 0), lastRank)
	return firstShare - rankStep*float64(rank) - standingStep*float64(ask.Precedence)
}

// places returns the number of requests at the target up to which the request may be sent there. An engine whose streams
// pause for longer than the request can bear gets only a few until it has fewer to run, since its pauses grow with the
// number that it runs.
func (tg *target) places(now time.Time, ask *Request) int {
	slots := float64(tg.entry.Slots)
	places := slots * placeShare(ask)
	if ask.MaxEventGap > 0 && tg.pace.estimate(now) > ask.MaxEventGap {
		places = min(places, probeShare*slots)
	}
	return max(1, int(places))
}

// hasPlace reports whether the target has a place for the request.
func (tg *target) hasPlace(now time.Time, ask *Request) bool {
	return tg.entry.Slots <= 0 || tg.load(now) < tg.places(now, ask)
}

const (
	// crowdedShare is the share of all places in use from which requests with costly shared parts stay near them.
	crowdedShare = 0.7
	// costlyParts is the number of shared tokens for each generated one from which reading them again takes an engine
	// about as long as the whole answer.
	costlyParts = 4
	// nearTargets is the number of first targets in the order of a part's hash among which requests then stay.
	nearTargets = 3
)

// withPlaces returns the targets that have a place for the request.
//
// On a crowded pool a free place at any other engine would be taken by requests whose parts have to be read again there,
// which makes all engines slower: in an overload of three times the usual traffic 4.4 million tokens of 7.4 million were
// read again. Requests whose shared parts cost more than their answers wait near them or are refused.
func (pl *Pool) withPlaces(now time.Time, targets []*target, ask *Request, home *target) []*target {
	if !ask.RequireSlot {
		return targets
	}
	if ask.Affinity != "" && !pl.off.Off(mechanism.Stay) && ask.SharedTokens > costlyParts*ask.MaxOutputTokens && crowded(now, targets) {
		targets = newRanking(now, targets, ask.Affinity, home).first(min(nearTargets, len(targets)))
	}
	return slices.DeleteFunc(targets, func(tg *target) bool { return !tg.hasPlace(now, ask) })
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

// useMemory is the time constant with which the use of places is smoothed; the counts of other hosts come every 0.15 s
// and are up to 0.4 s old.
const useMemory = 500 * time.Millisecond

// use is the smoothed share of a service's places in use.
type use struct {
	share float64
	at    time.Time
}

// Utilisation returns the share of the places in use that a service has for the request, smoothed over about half a second. It is
// above one where requests wait.
func (pl *Pool) Utilisation(now time.Time, ask *Request) float64 {
	taken, places := 0, 0
	for _, tg := range pl.services[ask.Service] {
		if tg.usable() && !pl.closed(now, tg) && tg.notice.hold(now) == 0 {
			taken += tg.load(now)
			places += tg.places(now, ask)
		}
	}
	known := pl.uses[ask.Service]
	if known == nil {
		known = &use{}
		pl.uses[ask.Service] = known
	}
	if places > 0 {
		weight := min(1, now.Sub(known.at).Seconds()/useMemory.Seconds())
		known.share += weight * (float64(taken)/float64(places) - known.share)
		known.at = now
	}
	return known.share
}
