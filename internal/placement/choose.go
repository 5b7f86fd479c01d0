package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
)

// Request holds the properties of a request that determine its target.
type Request struct {
	Service chestnutroad.ServiceID
	// Affinity is the id of the prompt part that the request shares with others; empty when there is none.
	Affinity string
	// SharedTokens is the number of prompt tokens shared with other requests, MaxOutputTokens the limit on generated tokens.
	SharedTokens, MaxOutputTokens chestnutroad.Tokens
	Model                         string
	// SharedParts are the parts of the prompt that it shares with other requests, in order. Fetch holds the figures by which fetches
	// of their KV cache are judged; zero disables them.
	SharedParts []chestnutroad.PromptPart
	Fetch       kvfetch.Profile
	// Traffic is the size of the request and the expected answer.
	Traffic chestnutroad.Bytes
	// Faulty lists the targets that stalled or broke off under the request; they are not named as sources.
	Faulty []chestnutroad.TargetID
	// Restricted is true when the request is confined to targets in AllowedRegions, which may be none.
	Restricted     bool
	AllowedRegions []chestnutroad.RegionID
	// ID seeds the pseudo-random choices, so that otherwise equal requests are spread over targets.
	ID chestnutroad.RequestID
	// Excluded lists the targets that the request was already sent to.
	Excluded []chestnutroad.TargetID
	// Pinned restricts the request to targets with the SoftwareVersion.
	Pinned          bool
	SoftwareVersion chestnutroad.SoftwareVersion
	// Only restricts the request to one target, also an excluded one; empty for no restriction.
	Only chestnutroad.TargetID
	// RequireHealthy restricts the request to targets that are not suspect.
	RequireHealthy bool
	// RequireSlot restricts the request to targets with a free slot for its Rank; a lower Rank is more urgent.
	RequireSlot bool
	Rank        int
	// Precedence lowers the share of slots that the request may use within its Rank.
	Precedence admission.DropPrecedence
	// MaxEventGap is the longest mean gap between stream events that still meets the latency goal and the deadline; zero
	// for no limit.
	MaxEventGap time.Duration
}

// Choice is the outcome of Pool.Choose, including what it was based on.
type Choice struct {
	Entry chestnutroad.TargetEntry
	// Load is the estimated number of requests at the target without this one, Bound the load bound that was applied.
	Load  int
	Bound int
	// Preference is the index of the target, from 0, in the order in which targets were tried for the prompt part.
	Preference int
	// Suspect is true when every eligible target had recently failed, was unreachable or full, or refused requests of another
	// host.
	Suspect bool
	// Probe is true when the request tests whether an unreachable target or data centre is reachable again.
	Probe bool
	// NewConnection is true when the request should not reuse an idle connection.
	NewConnection bool
	// Fetch is the source from which the target should fetch a part of the prompt's KV cache.
	Fetch Fetch
	// Locality states whether the request leaves the data centre, and why.
	Locality Locality
	// Limit is the target's own limit of requests a second, and what the decision on it was based on.
	Limit ratelimit.Decision
	// LimitsReached is the number of targets that were passed over since they get as many requests a second as they take.
	LimitsReached int
	// ColdSkipped is the number of these that are cold.
	ColdSkipped int
	// Limited is true when no target was chosen because all that have a free slot get as many requests a second as they take.
	Limited bool
	// Evacuated is true when no target was chosen because all targets in allowed regions are in evacuated data centres.
	Evacuated bool
	// OutsideRegions is true when no target was chosen because none is in an allowed region.
	OutsideRegions bool
	// Full is true when no target was chosen because none of the eligible ones has a free slot.
	Full bool
	// RetryAfter is set when no target was chosen because all eligible ones refuse requests for a time; it is the shortest
	// of these times.
	RetryAfter time.Duration
}

// Choose returns the target for a request, or false when no target of the service may be used.
//
// Targets that failed are used when there is no other. While no target is reachable, one request at a time probes each
// target and the others are refused at once: in a data centre cut off from all targets of a service, each request would
// otherwise wait for two connection attempts before it is refused.
func (pl *Pool) Choose(now time.Time, req *Request) (Choice, bool) {
	all := pl.services[req.Service]
	usable := slices.DeleteFunc(slices.Clone(all), func(tg *target) bool {
		return !tg.usable() || !hasModel(&tg.entry, req.Model) || !pl.allowsRegion(req, tg) || !req.AllowsVersion(&tg.entry)
	})
	candidates := slices.DeleteFunc(slices.Clone(usable), func(tg *target) bool {
		return !req.allows(tg.entry.ID)
	})
	candidates, retryAfter := acceptingTargets(now, candidates)
	if len(candidates) == 0 {
		return Choice{RetryAfter: retryAfter, Evacuated: pl.AllEvacuated(req), OutsideRegions: pl.OutsideRegions(req)}, false
	}
	healthy, suspect := pl.healthy(now, candidates)
	if len(healthy) == 0 || suspect && req.RequireHealthy {
		return Choice{}, false
	}
	bound, mean := pl.bound(now, all)
	pl.margin(req.Service).adjust(now)
	group := candidateGroup{healthy: healthy, usable: usable, residences: pl.residences, count: float64(len(all))}
	choice, sticky, found := pl.chooseSide(now, req, &group, &selection{bound: bound, mean: mean, suspect: suspect})
	if !found {
		return choice, false
	}
	choice.Fetch = pl.fetchSource(now, req, pl.targets[choice.Entry.ID], sticky)
	choice.NewConnection = pl.needsNewConnection(now, pl.targets[choice.Entry.ID])
	choice.Probe = pl.probe(now, pl.targets[choice.Entry.ID])
	return choice, true
}

// candidateGroup holds the targets among which the policy chooses: all of the service, or those of one side.
type candidateGroup struct {
	// healthy are the targets that may get the request, usable those at which its shared part may be in use.
	healthy, usable []*target
	residences      *residenceTable
	// count is the number of targets with the mean load that have as many requests as those among which a popular part is spread.
	count float64
}

// selection holds what the choice of a target is based on besides the targets.
type selection struct {
	// bound and mean are the load bound and the mean load over all targets of the service.
	bound   int
	mean    float64
	suspect bool
	// confined is true when the request may use only the first targets of its ranking.
	confined bool
	// limits are set by the first group that is tried.
	limits *limits
}

// chooseFrom chooses one of the targets of the group, and returns the target at which the request's shared part is in use.
func (pl *Pool) chooseFrom(now time.Time, req *Request, group *candidateGroup, sel *selection) (Choice, *target, bool) {
	sticky := pl.stickyTarget(now, group, req)
	healthy := pl.withFreeSlots(now, group.healthy, req, sticky, sel.confined)
	if len(healthy) == 0 {
		return Choice{Full: true}, sticky, false
	}
	healthy = pl.withoutSlow(now, healthy, req)
	if sel.limits == nil {
		sel.limits = pl.limits(now, req, sel.bound, sel.mean, group.count)
	}
	choice, found := pl.chooseWithinLimits(now, healthy, req, func(targets []*target, lim *limits) Choice {
		return pl.applyPolicy(now, targets, req, sticky, lim, sel.mean, sel.suspect)
	}, sel.limits)
	if found && sticky != nil && choice.Entry.ID != sticky.entry.ID {
		group.residences.recordOverflow(now, partHash(req.Affinity), sticky, pl.targets[choice.Entry.ID])
	}
	return choice, sticky, found
}

// allows reports whether the request may be sent to the target.
func (req *Request) allows(id chestnutroad.TargetID) bool {
	if req.Only != "" {
		return id == req.Only
	}
	return !slices.Contains(req.Excluded, id)
}

// AllowsVersion reports whether the request may be sent to a target with the entry's software version.
func (req *Request) AllowsVersion(entry *chestnutroad.TargetEntry) bool {
	return !req.Pinned || entry.SoftwareVersion == req.SoftwareVersion
}

// healthy returns the targets that are not suspect. If all are suspect, it returns those not known to be unreachable and
// true, as all may have failed for one transient cause.
func (pl *Pool) healthy(now time.Time, targets []*target) (healthy []*target, suspect bool) {
	healthy = slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool { return pl.suspect(now, tg) })
	if len(healthy) > 0 {
		return healthy, false
	}
	return slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool { return pl.unreachable(now, tg) }), true
}

// stickyTarget returns the target at which the request's shared part is in use. It is nil without a shared part, under a
// baseline policy and with the mechanism off. A retry only looks the target up and does not count as another use.
func (pl *Pool) stickyTarget(now time.Time, group *candidateGroup, req *Request) *target {
	if req.Affinity == "" || baselines[pl.policy] != nil || pl.disabled.Off(mechanism.Residence) {
		return nil
	}
	var sticky *target
	if len(req.Excluded) > 0 {
		sticky = group.residences.lookup(now, partHash(req.Affinity))
	} else {
		sticky = group.residences.resolve(now, group.usable, req)
	}
	if sticky != nil && !pl.allowsRegion(req, sticky) {
		// Requests that may not follow the part go by its hash and don't move it.
		return nil
	}
	return sticky
}

// limits returns the limits for a request; count is the number of targets, or that of the group. It counts a use of the request's
// shared part.
func (pl *Pool) limits(now time.Time, req *Request, bound int, mean, count float64) *limits {
	lim := &limits{bound: bound, ceiling: bound}
	if baselines[pl.policy] == nil && req.Affinity != "" && !pl.disabled.Off(mechanism.Affinity) {
		lim.spread = pl.spread(now, req, mean, count)
		if !pl.disabled.Off(mechanism.Margin) {
			all := len(pl.services[req.Service])
			lim.ceiling = pl.coldCeiling(req, bound, mean, all)
			lim.margin = max(pl.margin(req.Service).width, pl.coldMargin(req, lim.ceiling, mean, all))
		}
	}
	return lim
}

// applyPolicy selects one of the healthy targets.
func (pl *Pool) applyPolicy(
	now time.Time, healthy []*target, req *Request, sticky *target, lim *limits, mean float64, suspect bool,
) Choice {
	if choose := baselines[pl.policy]; choose != nil {
		tg := choose(now, healthy, req)
		return Choice{Entry: tg.entry, Load: tg.load(now), Bound: lim.bound, Suspect: suspect}
	}
	if req.Affinity != "" && !pl.disabled.Off(mechanism.Affinity) {
		return preferCached(now, newRanking(now, healthy, req.Affinity, sticky), req, lim, suspect)
	}
	if pl.localityOn() {
		return pl.withinSide(now, healthy, req, lim.bound, suspect)
	}
	return pl.preferNear(now, healthy, req, lim.bound, mean, suspect)
}

func hasModel(entry *chestnutroad.TargetEntry, model string) bool {
	return model == "" || len(entry.Models) == 0 || slices.Contains(entry.Models, model)
}

// bound returns the load bound of a target and the mean load. Unreachable targets are left out: in a data centre that is
// cut off they would lower the mean, and with it the bound of the targets that have to take over their load.
func (pl *Pool) bound(now time.Time, targets []*target) (bound int, mean float64) {
	if pl.disabled.Off(mechanism.Bound) {
		return math.MaxInt32, 0
	}
	reachable := slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool { return pl.unreachable(now, tg) })
	return pl.boundOf(reachable, func(tg *target) int { return tg.load(now) })
}

// boundOf computes the load bound and the mean load of the usable targets and those of evacuated data centres. The mean that a target
// must not exceed by more than the factor is that of the whole service, to which evacuated targets belong although they get no
// requests.
func (pl *Pool) boundOf(targets []*target, load func(tg *target) int) (bound int, mean float64) {
	total, count := 0, 0
	for _, tg := range targets {
		if tg.usable() || tg.evacuated && !tg.removed && !tg.leaving() {
			total += load(tg)
			count++
		}
	}
	if count > 0 {
		mean = float64(total) / float64(count)
	}
	return int(mean*pl.capFactor) + boundSlack, mean
}

// spreadHeadroom is the share of the headroom between the mean and the bound that a popular part may use at each of its
// targets; the rest absorbs errors of the estimate.
const spreadHeadroom = 0.7

// spread returns the number of targets over which the requests with the part are divided. A part with a large share of
// the requests would otherwise push its first target far over the bound before any count shows it.
func (pl *Pool) spread(now time.Time, req *Request, mean, count float64) int {
	share := pl.popularity.record(now, req.Affinity)
	if pl.disabled.Off(mechanism.Spread) {
		return 1
	}
	headroom := pl.spreadShare(req) * (mean*(pl.capFactor-1) + boundSlack)
	return max(1, int(math.Ceil(share*mean*count/headroom)), pl.coldSpread(req, len(pl.services[req.Service])))
}

// limits restricts how many requests with one part a target gets.
type limits struct {
	// bound is the load from which a target is skipped; margin is the fraction of it, below the bound, in which a target
	// is skipped by a growing share of requests.
	bound  int
	margin float64
	// ceiling is the load, at most the bound, from which a target is skipped while others have less.
	ceiling int
	// spread is the number of targets over which the requests with the part are divided.
	spread int
}

// preferCached takes the first target of the part's ranking that is below its limits, so that all hosts send requests with
// one part to the same few targets. If there is none, it takes the least loaded target.
//
// The counts of other hosts are a few hundred milliseconds old. If all hosts skipped a target at the same count, they
// would overload the next one before the counts show it, so the share of requests that skip a target grows with its load.
//
// The requests with a popular part start at different ones of its first targets.
func preferCached(now time.Time, ranking *ranking, req *Request, lim *limits, suspect bool) Choice {
	softBound := (1 - lim.margin) * float64(lim.ceiling)
	spread := min(lim.spread, len(ranking.entries))
	first := int(hashFraction(req.ID, "") * float64(spread))
	for index := range ranking.entries {
		// The first spread targets are tried in cyclic order, starting at the request's own.
		rank := index
		if index < spread {
			rank = (first + index) % spread
		}
		tg := ranking.at(rank)
		load := tg.load(now)
		if load >= lim.ceiling || load >= tg.entry.Slots {
			continue
		}
		if over := float64(load) + 1 - softBound; over > 0 && hashFraction(req.ID, tg.entry.ID) < over/(float64(lim.ceiling)+1-softBound) {
			continue
		}
		return Choice{Entry: tg.entry, Load: load, Bound: lim.bound, Preference: index, Suspect: suspect}
	}
	// The loop has sorted all entries, so that among equally loaded targets the first in the ranking is taken.
	least := slices.MinFunc(ranking.entries, func(a, b weightedTarget) int {
		return cmp.Compare(a.target.load(now), b.target.load(now))
	})
	return Choice{
		Entry: least.target.entry, Load: least.target.load(now), Bound: lim.bound,
		Preference: slices.Index(ranking.entries, least), Suspect: suspect,
	}
}

// maxSelected is the number of leading targets that are found by selection; beyond it the rest is sorted.
const maxSelected = 16

// ranking orders targets for a part, the sticky target first and the others by rendezvous weight. It is sorted lazily,
// since most requests need only the first few targets: with 3,000 targets, a full sort that hashed in each comparison took
// most of a host's processor time.
type ranking struct {
	entries []weightedTarget
	// ordered is the number of leading entries that are in order.
	ordered int
}

type weightedTarget struct {
	target *target
	weight uint64
}

func newRanking(now time.Time, targets []*target, affinity string, sticky *target) *ranking {
	rk := &ranking{entries: make([]weightedTarget, len(targets))}
	part := partHash(affinity)
	for index, tg := range targets {
		rk.entries[index] = weightedTarget{target: tg, weight: tg.effectiveWeight(now, part)}
		if tg == sticky {
			rk.entries[index].weight = stickyWeight
		}
	}
	return rk
}

// at returns the target at a rank, from 0.
func (rk *ranking) at(rank int) *target {
	for rk.ordered <= rank {
		rest := rk.entries[rk.ordered:]
		if rk.ordered >= maxSelected {
			slices.SortFunc(rest, func(a, b weightedTarget) int { return cmp.Compare(b.weight, a.weight) })
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

// top returns the first count targets; count must not exceed the number of entries.
func (rk *ranking) top(count int) []*target {
	targets := make([]*target, 0, count)
	for rank := range count {
		targets = append(targets, rk.at(rank))
	}
	return targets
}

// hashFraction returns a pseudo-random number in [0, 1) that is fixed for a request and a target.
func hashFraction(request chestnutroad.RequestID, id chestnutroad.TargetID) float64 {
	return float64(chestnutroad.HashID(string(request)+"/"+string(id))>>11) / (1 << 53)
}

// rendezvousWeight is the rendezvous hash of a target and a prompt part.
func rendezvousWeight(tg *target, part chestnutroad.PartHash) uint64 {
	mixed := tg.hash ^ uint64(part)
	// The finalizer of the SplitMix64 generator makes each input bit affect all output bits.
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
