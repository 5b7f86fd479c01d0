package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
)

// Pool holds the state of the targets of all services of an installation, as one host sees it. It is not safe for concurrent
// use.
type Pool struct {
	dataCentre   chestnutroad.DataCentreID
	capFactor    float64
	policy       Policy
	disabled     mechanism.Set
	targets      map[chestnutroad.TargetID]*target
	services     map[chestnutroad.ServiceID][]*target
	centres      map[chestnutroad.DataCentreID]*centre
	notices      map[chestnutroad.TargetID]*notice
	popularity   *popularity
	residences   *residenceTable
	locality     *poolLocality
	holders      *holderTable
	transfers    *kvfetch.Transfers
	margins      map[chestnutroad.ServiceID]*margin
	utilisations map[utilisationKey]*utilisation
	limiter      *ratelimit.Limiter
	// paces holds what was learned of the pace that each service's targets state.
	paces map[chestnutroad.ServiceID]*pacePersistence
	cold  *coldState
	// sharedTokens is the moving average of the shared tokens of each service's requests.
	sharedTokens map[chestnutroad.ServiceID]float64
	// unnamed counts the requests without an id that were tried at targets with limits.
	unnamed uint64
	// evacuated are the evacuated data centres.
	evacuated []chestnutroad.DataCentreID
	// regions holds the region of each data centre whose region is known.
	regions map[chestnutroad.DataCentreID]chestnutroad.RegionID
}

// Option configures a Pool.
type Option func(*Pool)

// WithCapFactor sets the load bound of a target as a multiple of the mean load, to which boundSlack is added.
func WithCapFactor(factor float64) Option { return func(pl *Pool) { pl.capFactor = factor } }

const (
	defaultCapFactor = 2
	// boundSlack is added to the load bound, so that at a low mean load a few more requests are allowed.
	boundSlack = 3
)

// WithoutMechanisms switches mechanisms off; by default all are on.
func WithoutMechanisms(off mechanism.Set) Option {
	return func(pl *Pool) {
		pl.disabled = off
		pl.limiter.IgnoreStated(off.Off(mechanism.TargetLimits))
	}
}

// NewPool returns an empty pool for a host of the data centre.
func NewPool(dataCentre chestnutroad.DataCentreID, opts ...Option) *Pool {
	pl := &Pool{
		dataCentre:   dataCentre,
		capFactor:    defaultCapFactor,
		policy:       Bounded,
		targets:      map[chestnutroad.TargetID]*target{},
		services:     map[chestnutroad.ServiceID][]*target{},
		centres:      map[chestnutroad.DataCentreID]*centre{},
		notices:      map[chestnutroad.TargetID]*notice{},
		popularity:   newPopularity(popularityTimeConstant),
		locality:     newPoolLocality(),
		margins:      map[chestnutroad.ServiceID]*margin{},
		utilisations: map[utilisationKey]*utilisation{},
		limiter:      ratelimit.New(),
		paces:        map[chestnutroad.ServiceID]*pacePersistence{},
		cold:         newColdState(),
		sharedTokens: map[chestnutroad.ServiceID]float64{},
	}
	pl.residences, pl.locality.residences = newResidenceTable(pl.targets), newResidenceTable(pl.targets)
	pl.holders, pl.transfers = newHolderTable(), kvfetch.NewTransfers()
	for _, opt := range opts {
		opt(pl)
	}
	return pl
}

// Configure applies options to a pool in use.
func (pl *Pool) Configure(opts ...Option) {
	for _, opt := range opts {
		opt(pl)
	}
}

// Set registers or updates a target and reports whether it is a new target or incarnation, which starts with no state but
// an earlier notice of the same incarnation.
func (pl *Pool) Set(entry *chestnutroad.TargetEntry) bool {
	existing := pl.targets[entry.ID]
	if existing != nil && existing.entry.SameIncarnation(entry) {
		existing.entry = *entry
		existing.removed = false
		pl.updateEvacuated(existing)
		return false
	}
	pl.Remove(entry.ID)
	tg := &target{entry: *entry, hash: chestnutroad.HashID(string(entry.ID))}
	pl.updateEvacuated(tg)
	pl.attachNotice(tg)
	pl.limiter.Register(tg.shortHash(), entry.Incarnation)
	pl.targets[entry.ID] = tg
	pl.services[entry.Service] = append(pl.services[entry.Service], tg)
	slices.SortFunc(pl.services[entry.Service], func(a, b *target) int {
		return cmp.Compare(a.entry.ID, b.entry.ID)
	})
	return true
}

// Remove unregisters a target.
func (pl *Pool) Remove(id chestnutroad.TargetID) {
	removed := pl.targets[id]
	if removed == nil {
		return
	}
	removed.removed = true
	delete(pl.targets, id)
	service := removed.entry.Service
	pl.services[service] = slices.DeleteFunc(pl.services[service], func(tg *target) bool { return tg == removed })
}

// Entry returns the entry of a target, or false when it is not registered.
func (pl *Pool) Entry(id chestnutroad.TargetID) (chestnutroad.TargetEntry, bool) {
	tg := pl.targets[id]
	if tg == nil {
		return chestnutroad.TargetEntry{}, false
	}
	return tg.entry, true
}

// Entries returns the entries of all targets, sorted by id.
func (pl *Pool) Entries() []chestnutroad.TargetEntry {
	entries := make([]chestnutroad.TargetEntry, 0, len(pl.targets))
	for _, tg := range pl.targets {
		entries = append(entries, tg.entry)
	}
	slices.SortFunc(entries, func(a, b chestnutroad.TargetEntry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// EachVersion calls visit with the service and the software version of each target.
func (pl *Pool) EachVersion(visit func(service chestnutroad.ServiceID, version chestnutroad.SoftwareVersion)) {
	for _, tg := range pl.targets {
		visit(tg.entry.Service, tg.entry.SoftwareVersion)
	}
}

// ServiceIDs returns the services that have had targets, in order.
func (pl *Pool) ServiceIDs() []chestnutroad.ServiceID { return slices.Sorted(maps.Keys(pl.services)) }

// States counts the targets of all services by state: Leaving, Evacuated, Held (refusing this host's requests for a time), Unreachable,
// Suspect (used only when there is no other) or Ready.
func (pl *Pool) States(now time.Time) map[string]int {
	counts := map[string]int{}
	for _, tg := range pl.targets {
		switch {
		case tg.leaving():
			counts["Leaving"]++
		case tg.evacuated:
			counts["Evacuated"]++
		case tg.notice.retryAfter(now) > 0:
			counts["Held"]++
		case pl.unreachable(now, tg):
			counts["Unreachable"]++
		case pl.suspect(now, tg):
			counts["Suspect"]++
		default:
			counts["Ready"]++
		}
	}
	return counts
}

// OwnCounts returns the number of this host's requests at each target that has some.
func (pl *Pool) OwnCounts() map[chestnutroad.TargetID]int {
	counts := map[chestnutroad.TargetID]int{}
	for id, tg := range pl.targets {
		if tg.ownCount > 0 {
			counts[id] = tg.ownCount
		}
	}
	return counts
}

// SetPeerCounts replaces the numbers of requests that other hosts have at the targets, and updates what is derived from them:
// the smoothed counts, and the arrivals by which the margins are adjusted.
func (pl *Pool) SetPeerCounts(counts map[chestnutroad.TargetID]int) {
	for id, tg := range pl.targets {
		tg.peerCount = counts[id]
		if pl.disabled.Off(mechanism.PeerCounts) {
			tg.peerCount = 0
		}
		tg.smoothedCount += loadGain * (float64(tg.ownCount+tg.peerCount) - tg.smoothedCount)
	}
	for service, targets := range pl.services {
		bound, _ := pl.boundOf(targets, func(tg *target) int { return tg.ownCount + tg.peerCount })
		pl.margin(service).observeCounts(targets, bound)
	}
}

// Start counts a request as running at a target.
func (pl *Pool) Start(id chestnutroad.TargetID) {
	if tg := pl.targets[id]; tg != nil {
		tg.ownCount++
	}
}

// Finish removes a request that Start counted from the running ones.
func (pl *Pool) Finish(id chestnutroad.TargetID) {
	if tg := pl.targets[id]; tg != nil && tg.ownCount > 0 {
		tg.ownCount--
	}
}

// SetReportedLoad records a target's own report of its running and waiting requests.
func (pl *Pool) SetReportedLoad(now time.Time, id chestnutroad.TargetID, running, waiting int) {
	if tg := pl.targets[id]; tg != nil {
		tg.reportedExcess = max(0, running+waiting-tg.ownCount)
		tg.reportedAt = now
	}
}

// Outcome is the result of sending a request to a target.
type Outcome int

// The outcomes.
const (
	// Served means that the target answered, possibly with an error that the request itself caused.
	Served Outcome = iota
	// Failed means that the target broke off its answer, sent an invalid one, or failed the request.
	Failed
	// StaleConnection means that the request was sent on an idle connection that had already ended.
	StaleConnection
	// Unreachable means that no connection to the target could be opened, or that the target stopped responding.
	Unreachable
	// Replaced means that another target answered at the target's address.
	Replaced
	// Shed means that the target was full and did not run the request.
	Shed
	// Unknown says nothing about the target, for example when the caller cancelled first.
	Unknown
)

// shedPause is how long a target that was full is avoided.
const shedPause = 100 * time.Millisecond

// Observe records the outcome of a request at a target and returns how it changed what is reachable.
func (pl *Pool) Observe(now time.Time, id chestnutroad.TargetID, outcome Outcome) ReachabilityChange {
	tg := pl.targets[id]
	if tg == nil {
		return ReachabilityChange{}
	}
	tg.decayOutcomes(now)
	change := ReachabilityChange{}
	switch outcome {
	case Served:
		tg.successes++
		change = pl.recordAnswer(tg)
	case StaleConnection:
		tg.failures++
		pl.centre(tg.entry.DataCentre).markStale(now)
	case Failed:
		tg.failures++
		change.TargetRecovered = tg.breaker.backoff > 0
		tg.breaker = breaker{}
	case Unreachable:
		tg.failures++
		change.TargetLost = tg.breaker.recordFailure(now)
		change.CentreLost = pl.centre(tg.entry.DataCentre).recordFailure(now, id)
	case Replaced:
		change = pl.recordAnswer(tg)
		tg.failures++
		change.TargetRecovered, change.TargetLost = false, tg.breaker.recordFailure(now)
	case Shed:
		change = pl.recordAnswer(tg)
		tg.shedUntil = now.Add(shedPause)
		if tg.load(now) < tg.entry.Slots {
			// A target with free slots should not refuse requests.
			tg.failures++
		}
	case Unknown:
	}
	pl.observeCold(now, tg, outcome, change)
	return change
}

// TargetCounts holds the number of targets of a service, in total and by the reason why they get no requests.
type TargetCounts struct {
	// Total counts the registered targets, Leaving those that are shutting down, Evacuated those in evacuated data centres, Held
	// those that refuse this host's requests for a time, and Unreachable those whose breaker, or whose data centre's, is open.
	Total, Leaving, Evacuated, Held, Unreachable int
}

// CountTargets counts the targets of a service; each is counted under the first reason that applies.
func (pl *Pool) CountTargets(now time.Time, service chestnutroad.ServiceID) TargetCounts {
	count := TargetCounts{Total: len(pl.services[service])}
	for _, tg := range pl.services[service] {
		switch {
		case tg.leaving():
			count.Leaving++
		case tg.evacuated:
			count.Evacuated++
		case tg.notice.retryAfter(now) > 0:
			count.Held++
		case pl.unreachable(now, tg):
			count.Unreachable++
		}
	}
	return count
}
