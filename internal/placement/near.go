package placement

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// nearSlotShare is the share of a near target's slots in use below which it may get all plain requests of its data
	// centre. Hosts that send at the same time, by counts that are a few hundred milliseconds old, don't fill the rest.
	nearSlotShare = 0.5
	// nearBonus is the number of free slots added to a near target's own: a round trip to another data centre takes up to a
	// tenth of the time of a plain request.
	nearBonus = 1.5
	// minFreeSlots is the weight of a full target, whose count may be outdated.
	minFreeSlots = 0.5
	// loadGain is the weight of the newest counts in a target's smoothed count: with counts every 0.15 s it follows a change
	// of the traffic within two seconds.
	loadGain = 0.1
	// nearRampStart is the share of the bound up to which a near target's smoothed count has no effect.
	nearRampStart = 0.06
	// nearRampEnd (a share of the bound) and nearRampMean (a multiple of the mean) set the smoothed count from which a near
	// target is no longer preferred; the higher of the two applies. As requests arrive in bursts, a target at half of its
	// bound on average exceeds it occasionally.
	nearRampEnd  = 0.5
	nearRampMean = 1.75
)

// preferNear takes the least loaded target of the own data centre while most of its slots are free and its smoothed count
// is not far above that of the others. Otherwise it draws a target with a probability in proportion to its free slots: if
// all hosts took the one with the most free slots by the same outdated counts, they would overload one after the other.
//
// A plain request ends long before any count shows it, so that current counts don't predict the load that it meets; the
// smoothed count does. Without it, the target of a data centre to which callers moved went over the bound while those of
// other data centres had free slots.
func (pl *Pool) preferNear(now time.Time, targets []*target, req *Request, bound int, mean float64, suspect bool) Choice {
	if pl.disabled.Off(mechanism.LocalPreference) {
		least := leastLoaded(now, targets, req)
		return Choice{Entry: least.entry, Load: least.load(now), Bound: bound, Suspect: suspect}
	}
	best := pl.leastLoadedNear(now, targets, req)
	if best == nil || float64(best.load(now)) >= nearSlotShare*float64(best.entry.Slots) ||
		hashFraction(req.ID, best.entry.ID) >= nearProbability(best.smoothedCount, float64(bound), mean) {
		best = pl.byFreeSlots(now, targets, req)
	}
	return Choice{Entry: best.entry, Load: best.load(now), Bound: bound, Suspect: suspect}
}

// nearProbability returns the probability that a near target is preferred at its smoothed count. It falls linearly, so
// that the hosts of a data centre don't all switch at the same count.
func nearProbability(smoothedCount, bound, mean float64) float64 {
	start, end := nearRampStart*bound, max(nearRampEnd*bound, nearRampMean*mean)
	return min(1, max(0, (end-smoothedCount)/(end-start)))
}

// leastLoadedNear returns the least loaded target of the own data centre, or nil.
func (pl *Pool) leastLoadedNear(now time.Time, targets []*target, req *Request) *target {
	near := slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool { return tg.entry.DataCentre != pl.dataCentre })
	if len(near) == 0 {
		return nil
	}
	return leastLoaded(now, near, req)
}

// byFreeSlots draws a target with a probability in proportion to its free slots.
func (pl *Pool) byFreeSlots(now time.Time, targets []*target, req *Request) *target {
	weights := make([]float64, len(targets))
	total := 0.0
	for index, tg := range targets {
		weights[index] = max(minFreeSlots, float64(tg.entry.Slots-tg.load(now)))
		if tg.entry.DataCentre == pl.dataCentre {
			weights[index] += nearBonus
		}
		total += weights[index]
	}
	remaining := hashFraction(req.ID, "") * total
	for index, weight := range weights {
		if remaining -= weight; remaining < 0 {
			return targets[index]
		}
	}
	return targets[len(targets)-1]
}
