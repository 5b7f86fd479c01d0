package placement

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// nearSlotShare is the share of a near target's places up to which it gets all plain requests of its data centre: hosts
	// that send at the same time, by counts that are some hundred ms old, don't fill the rest.
	nearSlotShare = 0.5
	// nearBonus is what a near target counts for beyond its free places; a message to another data centre and back takes
	// up to a tenth of the time of a plain request.
	nearBonus = 1.5
	// minFreeSlots is what a full target still counts for: its count may be old.
	minFreeSlots = 0.5
	// loadGain is the weight of the newest counts in a target's usual load: with counts every 0.15 s it follows a change of
	// the traffic within two seconds.
	loadGain = 0.1
	// nearRampStart is the share of the bound up to which a near target's usual load is of no concern.
	nearRampStart = 0.06
	// nearRampEnd is the share of the bound, and nearMean the multiple of the mean, at which a near target gets no request for
	// being near. Requests come in clumps: one that holds half of its bound on average is over it now and then.
	nearRampEnd = 0.5
	nearRampMean  = 1.75
)

// preferNear takes the least loaded target of the own data centre while most of its places are free and it usually holds
// about as much as the others. Else each target gets requests in proportion to its free places: if all hosts took the one
// that has most of them by the same old counts, they would flood one after the other.
//
// A plain request ends long before any count shows it, so that the counts of a moment say nothing of the load that it
// meets; what a target usually holds does. It answers callers that move to one data centre, whose target went over the
// bound while those of the others had room.
func (pl *Pool) preferNear(now time.Time, targets []*target, ask *Request, bound int, mean float64, suspect bool) Choice {
	if pl.off.Off(mechanism.LocalPreference) {
		least := leastLoaded(now, targets, ask)
		return Choice{Entry: least.entry, Load: least.load(now), Bound: bound, Suspect: suspect}
	}
	best := pl.leastLoadedNear(now, targets, ask)
	if best == nil || float64(best.load(now)) >= nearSlotShare*float64(best.entry.Slots) ||
		hashFraction(ask.ID, best.entry.ID) >= nearProbability(best.smoothedCount, float64(bound), mean) {
		best = pl.byFreeSlots(now, targets, ask)
	}
	return Choice{Entry: best.entry, Load: best.load(now), Bound: bound, Suspect: suspect}
}

// nearProbability returns the share of requests that go to a near target for being near, by its usual load. It falls evenly, so
// that the hosts of a data centre don't all come and go at one count.
func nearProbability(usual, bound, mean float64) float64 {
	easy, full := nearRampStart*bound, max(nearRampEnd*bound, nearRampMean*mean)
	return min(1, max(0, (full-usual)/(full-easy)))
}

// leastLoadedNear returns the least loaded target of the own data centre, or nil.
func (pl *Pool) leastLoadedNear(now time.Time, targets []*target, ask *Request) *target {
	near := slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool { return tg.entry.DataCentre != pl.dataCentre })
	if len(near) == 0 {
		return nil
	}
	return leastLoaded(now, near, ask)
}

// byFreeSlots draws a target with a chance in proportion to its free places.
func (pl *Pool) byFreeSlots(now time.Time, targets []*target, ask *Request) *target {
	rooms := make([]float64, len(targets))
	total := 0.0
	for index, tg := range targets {
		rooms[index] = max(minFreeSlots, float64(tg.entry.Slots-tg.load(now)))
		if tg.entry.DataCentre == pl.dataCentre {
			rooms[index] += nearBonus
		}
		total += rooms[index]
	}
	left := hashFraction(ask.ID, "") * total
	for index, room := range rooms {
		if left -= room; left < 0 {
			return targets[index]
		}
	}
	return targets[len(targets)-1]
}
