package placement

import (
	"cmp"
	"math"
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
	// Trial is true when the request finds out whether the target can be reached again.
	Trial bool
}

// Choose returns the target for a request, or false when the service has none that may be used.
//
// Targets that failed are used when there is no other, but while none can be reached, one request at a time finds out
// whether that has changed, and the others are refused at once. That answers a data centre that is cut off from all
// targets of a service: each request waited there for two connections before it was refused.
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
	sound := slices.DeleteFunc(slices.Clone(candidates), func(tg *target) bool { return pl.suspect(now, tg) })
	suspect := len(sound) == 0
	if suspect {
		candidates = slices.DeleteFunc(candidates, func(tg *target) bool { return pl.closed(now, tg) })
		if len(candidates) == 0 {
			return Choice{}, false
		}
		// A pool whose targets all failed is still tried: all may have failed for one passing cause.
		sound = candidates
	}
	bound, mean := pl.bound(now, all)
	choice := pl.pick(now, sound, ask, bound, mean, len(all), suspect)
	choice.Trial = pl.try(now, pl.targets[choice.Entry.ID])
	return choice, true
}

// pick takes one of the targets by the policy and the kind of request.
func (pl *Pool) pick(
	now time.Time, sound []*target, ask *Ask, bound int, mean float64, count int, suspect bool,
) Choice {
	if choose := baselines[pl.policy]; choose != nil {
		tg := choose(now, sound, ask)
		return Choice{Entry: tg.entry, Load: tg.load(now), Bound: bound, Suspect: suspect}
	}
	if ask.Affinity != "" {
		lim := limits{bound: bound, soft: mean + boundSlack, spread: pl.spread(now, ask, mean, count)}
		return preferCached(now, sound, ask, &lim, suspect)
	}
	return pl.preferNear(now, sound, ask, bound, suspect)
}

func hasModel(entry *chestnutroad.TargetEntry, model string) bool {
	return model == "" || len(entry.Models) == 0 || slices.Contains(entry.Models, model)
}

// bound returns the most requests that a target may hold before others are preferred, and the mean of all targets.
func (pl *Pool) bound(now time.Time, targets []*target) (bound int, mean float64) {
	total, count := 0, 0
	for _, tg := range targets {
		if tg.usable() {
			total += tg.load(now)
			count++
		}
	}
	if count > 0 {
		mean = float64(total) / float64(count)
	}
	return int(mean*pl.capFactor*boundShare) + boundSlack, mean
}

// spreadRoom is the part of the room between the mean and the bound that a popular part is planned to take at each of
// its targets; the rest takes up what the estimate misses.
const spreadRoom = 0.7

// spread returns the number of targets among which the requests with the part are divided. It answers a part with so
// many of the requests that its first target would be far over the bound before any count shows it.
func (pl *Pool) spread(now time.Time, ask *Ask, mean float64, count int) int {
	share := pl.popular.note(now, ask.Affinity)
	room := spreadRoom * (mean*(pl.capFactor-1) + boundSlack)
	return max(1, int(math.Ceil(share*mean*float64(count)/room)))
}

// limits bounds what a target gets of the requests with one part.
type limits struct {
	// bound is the number of requests at which a target is passed over; soft is where that begins for some requests.
	bound int
	soft  float64
	// spread is the number of targets among which the requests with the part are divided.
	spread int
}

// preferCached takes the first target with room in the order of the part's hash, so that all hosts send requests with
// one part to the same few targets; with room at none it takes the least loaded.
//
// The counts of other hosts are some hundred ms old. If all hosts passed a target over at the same count, they would
// flood the next one until the counts show it, so a growing share of requests passes over a target that fills up.
//
// A popular part has several first targets, and each request begins at one of them.
func preferCached(now time.Time, targets []*target, ask *Ask, lim *limits, suspect bool) Choice {
	ranked := slices.Clone(targets)
	slices.SortFunc(ranked, func(one, two *target) int {
		return cmp.Compare(weight(two, ask.Affinity), weight(one, ask.Affinity))
	})
	spread := min(lim.spread, len(ranked))
	first := int(draw(ask.Request, "") * float64(spread))
	ranked = slices.Concat(ranked[first:spread], ranked[:first], ranked[spread:])
	for index, tg := range ranked {
		load := tg.load(now)
		if load >= lim.bound || load >= tg.entry.Slots {
			continue
		}
		pass := (float64(load) - lim.soft) / (float64(lim.bound) - lim.soft)
		if pass > 0 && draw(ask.Request, tg.entry.ID) < pass {
			continue
		}
		return Choice{Entry: tg.entry, Load: load, Bound: lim.bound, Preference: index, Suspect: suspect}
	}
	least := slices.MinFunc(ranked, func(one, two *target) int { return cmp.Compare(one.load(now), two.load(now)) })
	return Choice{
		Entry: least.entry, Load: least.load(now), Bound: lim.bound,
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
