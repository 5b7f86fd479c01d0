package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Ask is what a choice depends on.
type Ask struct {
	Service chestnutroad.ServiceID
	// Affinity is the id of the prompt part that the request shares with others; empty when there is none.
	Affinity string
	Model    string
	// Request spreads requests that are alike in all else.
	Request chestnutroad.RequestID
	// Excluded are targets that the request was already sent to.
	Excluded []chestnutroad.TargetID
}

// Choice is the chosen target and what decided it.
type Choice struct {
	Entry chestnutroad.TargetEntry
	// Load is the estimated number of requests there before this one, Bound the most that the choice allowed.
	Load  int
	Bound int
	// Preference is the position of the target in the order for the prompt part, from 0.
	Preference int
	// Suspect is true when only targets that lately failed were left.
	Suspect bool
}

// Choose returns the target for a request, or false when the service has none that may be used.
func (pl *Pool) Choose(now time.Time, ask *Ask) (Choice, bool) {
	all := pl.services[ask.Service]
	candidates := make([]*target, 0, len(all))
	for _, tg := range all {
		if tg.usable() && !slices.Contains(ask.Excluded, tg.entry.ID) && hasModel(&tg.entry, ask.Model) {
			candidates = append(candidates, tg)
		}
	}
	if len(candidates) == 0 {
		return Choice{}, false
	}
	sound := slices.DeleteFunc(slices.Clone(candidates), func(tg *target) bool { return tg.suspect(now) })
	suspect := len(sound) == 0
	if suspect {
		// A pool whose targets all failed is still tried: all may have failed for one passing cause.
		sound = candidates
	}
	bound := pl.bound(now, all)
	if ask.Affinity != "" {
		return preferCached(now, sound, ask, bound, suspect), true
	}
	return pl.preferNear(now, sound, ask, bound, suspect), true
}

func hasModel(entry *chestnutroad.TargetEntry, model string) bool {
	return model == "" || len(entry.Models) == 0 || slices.Contains(entry.Models, model)
}

// bound returns the most requests that a target may hold before others are preferred.
func (pl *Pool) bound(now time.Time, targets []*target) int {
	total, count := 0, 0
	for _, tg := range targets {
		if tg.usable() {
			total += tg.load(now)
			count++
		}
	}
	if count == 0 {
		return boundSlack
	}
	mean := float64(total) / float64(count)
	return int(mean*pl.capFactor*boundShare) + boundSlack
}

// softShare is the part of the bound from which requests begin to pass a target over.
const softShare = 0.75

// preferCached takes the first target with room in the order of the part's hash, so that all hosts send requests with
// one part to the same few targets; with room at none it takes the least loaded.
//
// The counts of other hosts are some hundred ms old. If all hosts passed a target over at the same count, they would
// flood the next one until the counts show it, so a growing share of requests passes over a target that fills up.
func preferCached(now time.Time, targets []*target, ask *Ask, bound int, suspect bool) Choice {
	ranked := slices.Clone(targets)
	slices.SortFunc(ranked, func(one, two *target) int {
		return cmp.Compare(weight(two, ask.Affinity), weight(one, ask.Affinity))
	})
	soft := softShare * float64(bound)
	for index, tg := range ranked {
		load := tg.load(now)
		if load >= bound || load >= tg.entry.Slots {
			continue
		}
		pass := (float64(load) - soft) / (float64(bound) - soft)
		if pass > 0 && draw(ask.Request, tg.entry.ID) < pass {
			continue
		}
		return Choice{Entry: tg.entry, Load: load, Bound: bound, Preference: index, Suspect: suspect}
	}
	least := slices.MinFunc(ranked, func(one, two *target) int { return cmp.Compare(one.load(now), two.load(now)) })
	return Choice{
		Entry: least.entry, Load: least.load(now), Bound: bound,
		Preference: slices.Index(ranked, least), Suspect: suspect,
	}
}

// draw returns a number from 0 to 1 for a request at a target.
func draw(request chestnutroad.RequestID, id chestnutroad.TargetID) float64 {
	return float64(chestnutroad.HashID(string(request)+"/"+string(id))>>11) / (1 << 53)
}

// weight is the rendezvous hash of a target and a prompt part.
func weight(tg *target, affinity string) uint64 {
	return chestnutroad.HashID(string(tg.entry.ID) + "/" + affinity)
}

// preferNear takes the least loaded target of the own data centre while it is within the bound, else the least loaded.
func (pl *Pool) preferNear(now time.Time, targets []*target, ask *Ask, bound int, suspect bool) Choice {
	best := slices.MinFunc(targets, func(one, two *target) int {
		return cmp.Or(
			cmp.Compare(pl.cost(now, one, bound), pl.cost(now, two, bound)),
			cmp.Compare(draw(ask.Request, one.entry.ID), draw(ask.Request, two.entry.ID)),
		)
	})
	return Choice{Entry: best.entry, Load: best.load(now), Bound: bound, Suspect: suspect}
}

// cost orders targets for plain requests: a remote one costs as much as one more request at a near one.
func (pl *Pool) cost(now time.Time, tg *target, bound int) int {
	load := tg.load(now)
	cost := 2 * load
	if tg.entry.DataCentre != pl.dataCentre {
		cost += 3
	}
	if load >= bound || load >= tg.entry.Slots {
		cost += 2 * bound
	}
	return cost
}
