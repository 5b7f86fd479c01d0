package placement

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// quietShare is the share of a near target's places up to which it gets all plain requests of its data centre: hosts
	// that send at the same time, by counts that are some hundred ms old, don't fill the rest.
	quietShare = 0.5
	// nearRoom is what a near target counts for beyond its free places; a message to another data centre and back takes
	// up to a tenth of the time of a plain request.
	nearRoom = 1.5
	// leastRoom is what a full target still counts for: its count may be old.
	leastRoom = 0.5
	// usualStep is the weight of the newest counts in a target's usual load: with counts every 0.15 s it follows a change of
	// the traffic within two seconds.
	usualStep = 0.1
	// easyShare is the share of the bound up to which a near target's usual load is of no concern.
	easyShare = 0.06
	// nearShare is the share of the bound, and nearMean the multiple of the mean, at which a near target gets no request for
	// being near. Requests come in clumps: one that holds half of its bound on average is over it now and then.
	nearShare = 0.5
	nearMean  = 1.75
)

// preferNear takes the least loaded target of the own data centre while most of its places are free and it usually holds
// about as much as the others. Else each target gets requests in proportion to its free places: if all hosts took the one
// that has most of them by the same old counts, they would flood one after the other.
//
// A plain request ends long before any count shows it, so that the counts of a moment say nothing of the load that it
// meets; what a target usually holds does. It answers callers that move to one data centre, whose target went over the
// bound while those of the others had room.
func (pl *Pool) preferNear(now time.Time, targets []*target, ask *Request, bound int, mean float64, suspect bool) Choice {
	if pl.off.Off(mechanism.Near) {
		least := leastLoaded(now, targets, ask)
		return Choice{Entry: least.entry, Load: least.load(now), Bound: bound, Suspect: suspect}
	}
	best := pl.nearest(now, targets, ask)
	if best == nil || float64(best.load(now)) >= quietShare*float64(best.entry.Slots) ||
		draw(ask.ID, best.entry.ID) >= nearChance(best.usual, float64(bound), mean) {
		best = pl.byRoom(now, targets, ask)
	}
	return Choice{Entry: best.entry, Load: best.load(now), Bound: bound, Suspect: suspect}
}

// nearChance returns the share of requests that go to a near target for being near, by its usual load. It falls evenly, so
// that the hosts of a data centre don't all come and go at one count.
func nearChance(usual, bound, mean float64) float64 {
	easy, full := easyShare*bound, max(nearShare*bound, nearMean*mean)
	return min(1, max(0, (full-usual)/(full-easy)))
}

// nearest returns the least loaded target of the own data centre, or nil.
func (pl *Pool) nearest(now time.Time, targets []*target, ask *Request) *target {
	near := slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool { return tg.entry.DataCentre != pl.dataCentre })
	if len(near) == 0 {
		return nil
	}
	return leastLoaded(now, near, ask)
}

// byRoom draws a target with a chance in proportion to its free places.
func (pl *Pool) byRoom(now time.Time, targets []*target, ask *Request) *target {
	rooms := make([]float64, len(targets))
	total := 0.0
	for index, tg := range targets {
		rooms[index] = max(leastRoom, float64(tg.entry.Slots-tg.load(now)))
		if tg.entry.DataCentre == pl.dataCentre {
			rooms[index] += nearRoom
		}
		total += rooms[index]
	}
	left := draw(ask.ID, "") * total
	for index, room := range rooms {
		if left -= room; left < 0 {
			return targets[index]
		}
	}
	return targets[len(targets)-1]
}
