package placement

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
	"github.com/chestnutroad/chestnutroad/internal/warmup"
)

// coldState holds what the pool knows of cold targets.
type coldState struct {
	tracker *warmup.Tracker
	// specs holds the services whose configuration states a cold rate.
	specs map[chestnutroad.ServiceID]warmup.Spec
	// updatedAt is when the limits were last updated.
	updatedAt time.Time
	// changes are the changes that TakeColdChanges has not returned yet.
	changes []ColdChange
}

func newColdState() *coldState { return &coldState{tracker: warmup.New()} }

// ColdChange is the start or the end of the cold time of a target.
type ColdChange struct {
	Entry chestnutroad.TargetEntry
	warmup.Change
}

// WithColdBound sets the bound of the requests that cold targets get in a second; an overrun of zero keeps the former bound.
func WithColdBound(overrun, tolerance float64) Option {
	return func(pl *Pool) { pl.cold.tracker.SetBound(warmup.Bound{Overrun: overrun, Tolerance: tolerance}) }
}

// SetColdStarts sets the cold times and rates of the services from the configuration.
func (pl *Pool) SetColdStarts(services []chestnutroad.ServiceSpec) {
	specs := map[chestnutroad.ServiceID]warmup.Spec{}
	for index := range services {
		if spec := (warmup.Spec{Time: services[index].ColdTime, PerSecond: services[index].ColdRate}); spec.Enabled() {
			specs[services[index].Name] = spec
		}
	}
	pl.cold.specs = specs
}

// coldSpec returns what the configuration states for the service; the zero value when its targets are never cold.
func (pl *Pool) coldSpec(service chestnutroad.ServiceID) warmup.Spec {
	if pl.disabled.Off(mechanism.ColdStart) {
		return warmup.Spec{}
	}
	return pl.cold.specs[service]
}

// RegisterCold records what the entry of a registered target tells about whether it is cold. Listed is true while the host reads its first list of targets.
func (pl *Pool) RegisterCold(now time.Time, entry *chestnutroad.TargetEntry, listed bool) {
	tg := pl.targets[entry.ID]
	if tg == nil {
		return
	}
	pl.cold.tracker.Register(now, &warmup.Registration{
		Target: tg.shortHash(), Incarnation: entry.Incarnation, Sequence: entry.Sequence, Remaining: entry.WarmUp, Listed: listed,
	}, pl.coldSpec(entry.Service))
	pl.updateCold(now)
}

// ObserveCold records the time for which an answer of a target states that it is cold, and reports whether it is plausible.
// Statements of an incarnation that is not registered are ignored.
func (pl *Pool) ObserveCold(now time.Time, entry *chestnutroad.TargetEntry, remaining time.Duration) bool {
	tg := pl.targets[entry.ID]
	if tg == nil || !tg.entry.SameIncarnation(entry) {
		return true
	}
	return pl.markCold(now, tg, warmup.Answer, remaining)
}

// MarkCold marks all targets of a data centre as cold for the cold time of their services, at the end of an evacuation.
func (pl *Pool) MarkCold(now time.Time, dataCentre chestnutroad.DataCentreID) {
	for _, tg := range pl.targets {
		if tg.entry.DataCentre == dataCentre {
			pl.cold.tracker.Mark(now, tg.shortHash(), pl.coldSpec(tg.entry.Service), warmup.Evacuation, pl.coldSpec(tg.entry.Service).Time)
		}
	}
	pl.updateCold(now)
}

func (pl *Pool) markCold(now time.Time, tg *target, source warmup.Source, remaining time.Duration) bool {
	valid := pl.cold.tracker.Mark(now, tg.shortHash(), pl.coldSpec(tg.entry.Service), source, remaining)
	pl.updateCold(now)
	return valid
}

// observeCold marks a target whose connections failed, and all targets of a data centre that was lost by it. They may be cold when they
// come back, so that the requests that test this are within the rate as well.
func (pl *Pool) observeCold(now time.Time, tg *target, outcome Outcome, change ReachabilityChange) {
	if len(pl.cold.specs) == 0 || pl.disabled.Off(mechanism.ColdStart) {
		return
	}
	if outcome != Unreachable && outcome != Replaced && !change.CentreLost && !change.TargetRecovered && !change.CentreRecovered {
		// A pass over all targets for each answer takes most of the processor time with 3,000 targets.
		return
	}
	tracker := pl.cold.tracker
	for _, other := range pl.targets {
		spec := pl.coldSpec(other.entry.Service)
		sameCentre := other.entry.DataCentre == tg.entry.DataCentre
		switch {
		case !spec.Enabled():
		case other == tg && (outcome == Unreachable || outcome == Replaced) || sameCentre && change.CentreLost:
			tracker.Mark(now, other.shortHash(), spec, warmup.Connection, warmup.MaxRemaining)
		case other == tg && change.TargetRecovered || sameCentre && change.CentreRecovered:
			tracker.MarkAnswered(now, other.shortHash(), spec)
			pl.limiter.RestartCold(now, other.shortHash())
		}
	}
	pl.updateCold(now)
}

// updateCold puts the rates of cold targets into force.
func (pl *Pool) updateCold(now time.Time) {
	if pl.cold.tracker.Active() == 0 {
		return
	}
	if pl.disabled.Off(mechanism.ColdStart) {
		for _, tg := range pl.targets {
			pl.limiter.SetCold(now, tg.shortHash(), 0)
			tg.coldUntil = time.Time{}
		}
		pl.cold.tracker.Forget()
		return
	}
	pl.cold.updatedAt = now
	byHash := make(map[chestnutroad.TargetHash]*target, len(pl.targets))
	for _, tg := range pl.targets {
		byHash[tg.shortHash()] = tg
		tg.coldUntil = time.Time{}
	}
	limits, changes := pl.cold.tracker.Update(now)
	for _, limit := range limits {
		pl.limiter.SetCold(now, limit.Target, limit.Rate)
		tg, remaining := byHash[limit.Target], pl.cold.tracker.Remaining(now, limit.Target)
		switch {
		case tg == nil:
			pl.cold.tracker.Shorten(now, limit.Target)
		case remaining > 0 && !pl.unanswered(tg):
			tg.coldUntil = now.Add(remaining)
		}
	}
	for _, change := range changes {
		if tg := byHash[change.Target]; tg != nil {
			pl.cold.changes = append(pl.cold.changes, ColdChange{Entry: tg.entry, Change: change})
		}
	}
}

// unanswered reports whether connections to the target or its data centre failed and none was answered since. Such a target keeps its
// rank: the requests that test whether it can be reached again would otherwise come only once all others are full.
func (pl *Pool) unanswered(tg *target) bool {
	cn := pl.centres[tg.entry.DataCentre]
	return tg.breaker.backoff > 0 || cn != nil && cn.breaker.backoff > 0
}

// coldUpdateInterval is the time between two updates by choices; a pass over all targets for each request would take a small host a
// noticeable part of its processor time.
const coldUpdateInterval = 20 * time.Millisecond

// refreshCold updates the rates of cold targets if the last update is coldUpdateInterval ago.
func (pl *Pool) refreshCold(now time.Time) {
	if now.Sub(pl.cold.updatedAt) >= coldUpdateInterval {
		pl.updateCold(now)
	}
}

// TakeColdChanges returns the cold times that started or ended since the last call.
func (pl *Pool) TakeColdChanges(now time.Time) []ColdChange {
	pl.updateCold(now)
	changes := pl.cold.changes
	pl.cold.changes = nil
	return changes
}

// ColdCount returns the number of cold targets.
func (pl *Pool) ColdCount(now time.Time) int { return pl.cold.tracker.Cold(now) }

// withCold adds the times for which targets are cold to the rates for other hosts.
func (pl *Pool) withCold(now time.Time, rates []chestnutroad.TargetRate) []chestnutroad.TargetRate {
	for index := range rates {
		rates[index] = ratelimit.WithCold(rates[index], pl.cold.tracker.Told(now, rates[index].Target))
	}
	return rates
}

// mergeCold records that another host told of a cold target.
func (pl *Pool) mergeCold(now time.Time, tg *target, rate *chestnutroad.TargetRate) {
	if remaining := ratelimit.ColdRemaining(rate); remaining > 0 {
		pl.markCold(now, tg, warmup.Hosts, remaining)
	}
}

// minPartShare is the least share of the cold rate that a popular part may add at each of its targets. With less, a part would be
// read at most targets of an installation whose usual rate is near the cold one.
const minPartShare = 0.4

// coldSpread returns the number of targets over which a part must be spread so that none of them, of count, exceeds the cold rate of
// the service by it. It is 1 for services without a cold rate.
func (pl *Pool) coldSpread(req *Request, count int) int {
	spec := pl.coldSpec(req.Service)
	if !spec.Enabled() || count == 0 {
		return 1
	}
	rate, total := pl.popularity.rates(req.Affinity)
	hosts := float64(pl.limiter.HostCount())
	safe := float64(pl.cold.tracker.SafeRate(spec))
	room := max(minPartShare*safe, safe-total*hosts/float64(count))
	return min(count, int(math.Ceil(rate*hosts/room)))
}

// minColdMargin is the least load, as a multiple of the mean, from which a growing share of requests skips a target because its rate would
// be too high for a cold one. With less, many targets of a site with random arrivals would be skipped.
const minColdMargin = 1.5

// maxColdCeiling is the rate, as a multiple of that of a cold target, that stands for the load from which all requests skip a target.
const maxColdCeiling = 1.5

// coldCeiling returns the load from which a target of a service with a cold rate is skipped while others have less. The load bound alone
// allows twice the mean rate, at which a target that becomes cold gets too many requests until hosts know it.
func (pl *Pool) coldCeiling(req *Request, bound int, mean float64, count int) int {
	meanRate, enabled := pl.meanRate(req, mean, count)
	if !enabled {
		return bound
	}
	rateShare := maxColdCeiling * float64(pl.cold.tracker.SafeRate(pl.coldSpec(req.Service))) / meanRate
	return min(bound, int(mean*max(minColdMargin, rateShare))+boundSlack)
}

// meanRate returns the estimated requests a second of a target of the service from all hosts, and false when its targets are never cold or
// nothing is known yet.
func (pl *Pool) meanRate(req *Request, mean float64, count int) (float64, bool) {
	_, total := pl.popularity.rates(req.Affinity)
	if !pl.coldSpec(req.Service).Enabled() || total <= 0 || mean <= 0 || count == 0 || pl.disabled.Off(mechanism.Bound) {
		return 0, false
	}
	return total * float64(pl.limiter.HostCount()) / float64(count), true
}

// coldMargin returns the fraction of the load bound in which a growing share of requests skips a target of a service with a cold rate: it
// starts at the load that stands for the rate of a cold target, as the mean load does for the mean rate. Hosts that got no request with
// a popular part lately don't know that it is popular, and its first target gets all of theirs.
func (pl *Pool) coldMargin(req *Request, bound int, mean float64, count int) float64 {
	meanRate, enabled := pl.meanRate(req, mean, count)
	if !enabled {
		return 0
	}
	safeLoad := mean * max(minColdMargin, float64(pl.cold.tracker.SafeRate(pl.coldSpec(req.Service)))/meanRate)
	return max(0, 1-safeLoad/float64(bound))
}

// withColdTargets adds the cold targets of the ranking to its first ones.
func withColdTargets(now time.Time, rk *ranking, first []*target) []*target {
	for _, ranked := range rk.entries[len(first):] {
		if now.Before(ranked.target.coldUntil) {
			first = append(first, ranked.target)
		}
	}
	return first
}
