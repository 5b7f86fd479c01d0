package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

// Request is what a choice depends on.
type Request struct {
	Service chestnutroad.ServiceID
	// Affinity is the id of the prompt part that the request shares with others; empty when there is none.
	Affinity string
	// SharedTokens is the number of prompt tokens that the request shares with others, MaxOutputTokens the most that it may generate.
	SharedTokens, MaxOutputTokens chestnutroad.Tokens
	Model                         string
	// ID spreads requests that are alike in all else.
	ID chestnutroad.RequestID
	// Excluded are targets that the request was already sent to.
	Excluded []chestnutroad.TargetID
	// RequireSlot is true when the request may only go to a target that has a place for its rank; a lower Rank goes first.
	RequireSlot bool
	Rank        int
	Precedence  admission.DropPrecedence
	// MaxEventGap is the longest mean pause between events with which a stream is on time and ends before its deadline;
	// zero for any.
	MaxEventGap time.Duration
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
	// Probe is true when the request finds out whether the target can be reached again.
	Probe bool
	// NewConnection is true when the request should open a new connection.
	NewConnection bool
	// Full is true when no target was chosen since none that may be used has a place.
	Full bool
	// RetryAfter is set when no target was chosen since all that may be used turned requests away for a time: the least of them.
	RetryAfter time.Duration
}

// Choose returns the target for a request, or false when the service has none that may be used.
//
// Targets that failed are used when there is no other, but while none can be reached, one request at a time finds out
// whether that has changed, and the others are refused at once. That answers a data centre that is cut off from all
// targets of a service: each request waited there for two connections before it was refused.
func (pl *Pool) Choose(now time.Time, ask *Request) (Choice, bool) {
	all := pl.services[ask.Service]
	usable := slices.DeleteFunc(slices.Clone(all), func(tg *target) bool {
		return !tg.usable() || !hasModel(&tg.entry, ask.Model)
	})
	candidates := slices.DeleteFunc(slices.Clone(usable), func(tg *target) bool {
		return slices.Contains(ask.Excluded, tg.entry.ID)
	})
	candidates, wait := acceptingTargets(now, candidates)
	if len(candidates) == 0 {
		return Choice{RetryAfter: wait}, false
	}
	sound, suspect := pl.healthy(now, candidates)
	if len(sound) == 0 {
		return Choice{}, false
	}
	bound, mean := pl.bound(now, all)
	pl.margin(ask.Service).adjust(now)
	home := pl.stickyTarget(now, usable, ask)
	sound = pl.withFreeSlots(now, sound, ask, home)
	if len(sound) == 0 {
		return Choice{Full: true}, false
	}
	choice := pl.applyPolicy(now, sound, ask, home, bound, mean, len(all), suspect)
	if home != nil && choice.Entry.ID != home.entry.ID {
		pl.residences.recordOverflow(now, partHash(ask.Affinity), home, pl.targets[choice.Entry.ID])
	}
	choice.NewConnection = pl.needsNewConnection(now, pl.targets[choice.Entry.ID])
	choice.Probe = pl.probe(now, pl.targets[choice.Entry.ID])
	return choice, true
}

// healthy returns the targets that are not suspect. With none left it returns those that may be reached, and that they are
// suspect: all may have failed for one passing cause.
func (pl *Pool) healthy(now time.Time, targets []*target) (sound []*target, suspect bool) {
	sound = slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool { return pl.suspect(now, tg) })
	if len(sound) > 0 {
		return sound, false
	}
	return slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool { return pl.unreachable(now, tg) }), true
}

// stickyTarget returns the target at which the request's shared part resides; nil when it has none or the policy is a baseline.
// A request that is sent again is not counted as another use.
func (pl *Pool) stickyTarget(now time.Time, usable []*target, ask *Request) *target {
	if ask.Affinity == "" || baselines[pl.policy] != nil || pl.off.Off(mechanism.Residence) {
		return nil
	}
	if len(ask.Excluded) > 0 {
		return pl.residences.lookup(now, partHash(ask.Affinity))
	}
	return pl.resolveResidence(now, usable, ask)
}

// applyPolicy takes one of the targets by the policy and the kind of request.
func (pl *Pool) applyPolicy(
	now time.Time, sound []*target, ask *Request, home *target, bound int, mean float64, count int, suspect bool,
) Choice {
	if choose := baselines[pl.policy]; choose != nil {
		tg := choose(now, sound, ask)
		return Choice{Entry: tg.entry, Load: tg.load(now), Bound: bound, Suspect: suspect}
	}
	if ask.Affinity != "" && !pl.off.Off(mechanism.Affinity) {
		lim := limits{bound: bound, margin: pl.margin(ask.Service).width, spread: pl.spread(now, ask, mean, count)}
		if pl.off.Off(mechanism.Margin) {
			lim.margin = 0
		}
		return preferCached(now, newRanking(now, sound, ask.Affinity, home), ask, &lim, suspect)
	}
	return pl.preferNear(now, sound, ask, bound, mean, suspect)
}

func hasModel(entry *chestnutroad.TargetEntry, model string) bool {
	return model == "" || len(entry.Models) == 0 || slices.Contains(entry.Models, model)
}

// bound returns the most requests that a target may hold before others are preferred, and the mean of all targets. Those
// that can't be reached don't count: in a data centre that is cut off they would lower the mean, and with it the bound of
// the targets that have to take over.
func (pl *Pool) bound(now time.Time, targets []*target) (bound int, mean float64) {
	if pl.off.Off(mechanism.Bound) {
		return math.MaxInt32, 0
	}
	reached := slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool { return pl.unreachable(now, tg) })
	return pl.boundOf(reached, func(tg *target) int { return tg.load(now) })
}

func (pl *Pool) boundOf(targets []*target, load func(tg *target) int) (bound int, mean float64) {
	total, count := 0, 0
	for _, tg := range targets {
		if tg.usable() {
			total += load(tg)
			count++
		}
	}
	if count > 0 {
		mean = float64(total) / float64(count)
	}
	return int(mean*pl.capFactor) + boundSlack, mean
}

// spreadHeadroom is the part of the room between the mean and the bound that a popular part is planned to take at each of
// its targets; the rest takes up what the estimate misses.
const spreadHeadroom = 0.7

// spread returns the number of targets among which the requests with the part are divided. It answers a part with so
// many of the requests that its first target would be far over the bound before any count shows it.
func (pl *Pool) spread(now time.Time, ask *Request, mean float64, count int) int {
	share := pl.popularity.record(now, ask.Affinity)
	if pl.off.Off(mechanism.Spread) {
		return 1
	}
	room := spreadHeadroom * (mean*(pl.capFactor-1) + boundSlack)
	return max(1, int(math.Ceil(share*mean*float64(count)/room)))
}

// limits bounds what a target gets of the requests with one part.
type limits struct {
	// bound is the number of requests at which a target is passed over, margin the part of it below which that begins for
	// some requests.
	bound  int
	margin float64
	// spread is the number of targets among which the requests with the part are divided.
	spread int
}

// preferCached takes the first target with room in the order for the part, so that all hosts send requests with one part
// to the same few targets; with room at none it takes the least loaded.
//
// The counts of other hosts are some hundred ms old. If all hosts passed a target over at the same count, they would
// flood the next one until the counts show it, so a growing share of requests passes over a target that fills up.
//
// A popular part has several first targets, and each request begins at one of them.
func preferCached(now time.Time, ranking *ranking, ask *Request, lim *limits, suspect bool) Choice {
	soft := (1 - lim.margin) * float64(lim.bound)
	spread := min(lim.spread, len(ranking.entries))
	first := int(hashFraction(ask.ID, "") * float64(spread))
	for index := range ranking.entries {
		// The popular part's first targets are taken in turn, beginning at the request's own.
		rank := index
		if index < spread {
			rank = (first + index) % spread
		}
		tg := ranking.at(rank)
		load := tg.load(now)
		if load >= lim.bound || load >= tg.entry.Slots {
			continue
		}
		if over := float64(load) + 1 - soft; over > 0 && hashFraction(ask.ID, tg.entry.ID) < over/(float64(lim.bound)+1-soft) {
			continue
		}
		return Choice{Entry: tg.entry, Load: load, Bound: lim.bound, Preference: index, Suspect: suspect}
	}
	// All are in order here, so that of targets with the same load the one that the part prefers is taken.
	least := slices.MinFunc(ranking.entries, func(one, two weightedTarget) int {
		return cmp.Compare(one.target.load(now), two.target.load(now))
	})
	return Choice{
		Entry: least.target.entry, Load: least.target.load(now), Bound: lim.bound,
		Preference: slices.Index(ranking.entries, least), Suspect: suspect,
	}
}

// maxSelected is the number of first targets that are looked for one by one; beyond it all are sorted.
const maxSelected = 16

// ranking is the order of targets for a part: the one at which it resides, then by the part's hash. Requests go to the first few, so that only those are put in order: at
// 3,000 targets a whole sort with a hash for each comparison took a host most of its processor time.
type ranking struct {
	entries []weightedTarget
	// ordered is the number of first entries that are in order.
	ordered int
}

type weightedTarget struct {
	target *target
	weight uint64
}

func newRanking(now time.Time, targets []*target, affinity string, home *target) *ranking {
	rk := &ranking{entries: make([]weightedTarget, len(targets))}
	part := partHash(affinity)
	for index, tg := range targets {
		rk.entries[index] = weightedTarget{target: tg, weight: tg.effectiveWeight(now, part)}
		if tg == home {
			rk.entries[index].weight = stickyWeight
		}
	}
	return rk
}

// at returns the target of a rank, from 0.
func (rk *ranking) at(rank int) *target {
	for rk.ordered <= rank {
		rest := rk.entries[rk.ordered:]
		if rk.ordered >= maxSelected {
			slices.SortFunc(rest, func(one, two weightedTarget) int { return cmp.Compare(two.weight, one.weight) })
			rk.ordered = len(rk.entries)
			break
		}
		best := 0
		for index := range rest {
			if rest[index].weight > rest[best].weight {
				best = index
			}
		}
		rest[0], rest[best] = rest[best], rest[0]
		rk.ordered++
	}
	return rk.entries[rank].target
}

// top returns so many top targets.
func (rk *ranking) top(count int) []*target {
	targets := make([]*target, 0, count)
	for rank := range count {
		targets = append(targets, rk.at(rank))
	}
	return targets
}

// hashFraction returns a number from 0 to 1 for a request at a target.
func hashFraction(request chestnutroad.RequestID, id chestnutroad.TargetID) float64 {
	return float64(chestnutroad.HashID(string(request)+"/"+string(id))>>11) / (1 << 53)
}

// rendezvousWeight is the rendezvous hash of a target and the hash of a prompt part.
func rendezvousWeight(tg *target, part chestnutroad.PartHash) uint64 {
	mixed := tg.hash ^ uint64(part)
	// The finalizer of the SplitMix64 generator spreads each bit over all others.
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
