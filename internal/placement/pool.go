package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

// Pool holds the targets of all services of an installation. It is not safe for concurrent use.
type Pool struct {
	dataCentre chestnutroad.DataCentreID
	capFactor  float64
	policy     Policy
	off        mechanism.Set
	targets    map[chestnutroad.TargetID]*target
	services   map[chestnutroad.ServiceID][]*target
	centres    map[chestnutroad.DataCentreID]*centre
	notices    map[chestnutroad.TargetID]*notice
	popularity    *popularity
	residences  *residenceTable
	margins    map[chestnutroad.ServiceID]*margin
	utilisations       map[chestnutroad.ServiceID]*utilisation
}

// Option changes a default of a Pool.
type Option func(*Pool)

// WithCapFactor sets the multiple of the mean load that no target should exceed.
func WithCapFactor(factor float64) Option { return func(pl *Pool) { pl.capFactor = factor } }

const (
	// defaultCapFactor applies where the installation's settings state none.
	defaultCapFactor = 2
	// boundSlack allows small pools a few requests above the mean.
	boundSlack = 3
)

// WithoutMechanisms switches mechanisms off; the default has all on.
func WithoutMechanisms(off mechanism.Set) Option { return func(pl *Pool) { pl.off = off } }

// NewPool returns an empty pool for a host of the data centre.
func NewPool(dataCentre chestnutroad.DataCentreID, opts ...Option) *Pool {
	pl := &Pool{
		dataCentre: dataCentre,
		capFactor:  defaultCapFactor,
		policy:     Bounded,
		targets:    map[chestnutroad.TargetID]*target{},
		services:   map[chestnutroad.ServiceID][]*target{},
		centres:    map[chestnutroad.DataCentreID]*centre{},
		notices:    map[chestnutroad.TargetID]*notice{},
		popularity:    newPopularity(),
		margins:    map[chestnutroad.ServiceID]*margin{},
		utilisations:       map[chestnutroad.ServiceID]*utilisation{},
	}
	pl.residences = newResidenceTable(pl.targets)
	for _, opt := range opts {
		opt(pl)
	}
	return pl
}

// Configure changes settings of the pool.
func (pl *Pool) Configure(opts ...Option) {
	for _, opt := range opts {
		opt(pl)
	}
}

// Set takes in a target's entry and reports whether it is a new life of the target or a new target.
func (pl *Pool) Set(entry *chestnutroad.TargetEntry) bool {
	known := pl.targets[entry.ID]
	if known != nil && known.entry.SameLife(entry) {
		known.entry = *entry
		known.removed = false
		return false
	}
	pl.Remove(entry.ID)
	tg := &target{entry: *entry, hash: chestnutroad.HashID(string(entry.ID))}
	pl.attachNotice(tg)
	pl.targets[entry.ID] = tg
	pl.services[entry.Service] = append(pl.services[entry.Service], tg)
	slices.SortFunc(pl.services[entry.Service], func(one, two *target) int {
		return cmp.Compare(one.entry.ID, two.entry.ID)
	})
	return true
}

// Remove takes out a target whose entry is gone.
func (pl *Pool) Remove(id chestnutroad.TargetID) {
	known := pl.targets[id]
	if known == nil {
		return
	}
	known.removed = true
	delete(pl.targets, id)
	service := known.entry.Service
	pl.services[service] = slices.DeleteFunc(pl.services[service], func(tg *target) bool { return tg == known })
}

// Entry returns the entry of a target.
func (pl *Pool) Entry(id chestnutroad.TargetID) (chestnutroad.TargetEntry, bool) {
	known := pl.targets[id]
	if known == nil {
		return chestnutroad.TargetEntry{}, false
	}
	return known.entry, true
}

// Entries returns all entries in order of their ids.
func (pl *Pool) Entries() []chestnutroad.TargetEntry {
	entries := make([]chestnutroad.TargetEntry, 0, len(pl.targets))
	for _, tg := range pl.targets {
		entries = append(entries, tg.entry)
	}
	slices.SortFunc(entries, func(one, two chestnutroad.TargetEntry) int { return cmp.Compare(one.ID, two.ID) })
	return entries
}

// States counts the targets that are ready, that leave, that turned requests away for a time, that can't be reached, and
// that are passed over since they failed.
func (pl *Pool) States(now time.Time) map[string]int {
	counts := map[string]int{}
	for _, tg := range pl.targets {
		switch {
		case tg.leaving():
			counts["Leaving"]++
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

// SetPeerCounts takes in the number of requests of all other hosts at a target.
func (pl *Pool) SetPeerCounts(counts map[chestnutroad.TargetID]int) {
	for id, tg := range pl.targets {
		tg.peerCount = counts[id]
		if pl.off.Off(mechanism.PeerCounts) {
			tg.peerCount = 0
		}
		tg.smoothedCount += loadGain * (float64(tg.ownCount+tg.peerCount) - tg.smoothedCount)
	}
	for service, targets := range pl.services {
		bound, _ := pl.boundOf(targets, func(tg *target) int { return tg.ownCount + tg.peerCount })
		pl.margin(service).observeCounts(targets, bound)
	}
}

// Start counts a request that is sent to a target.
func (pl *Pool) Start(id chestnutroad.TargetID) {
	if tg := pl.targets[id]; tg != nil {
		tg.ownCount++
	}
}

// Finish counts the end of a request at a target.
func (pl *Pool) Finish(id chestnutroad.TargetID) {
	if tg := pl.targets[id]; tg != nil && tg.ownCount > 0 {
		tg.ownCount--
	}
}

// SetReportedLoad takes in a target's own count of its requests.
func (pl *Pool) SetReportedLoad(now time.Time, id chestnutroad.TargetID, running, waiting int) {
	if tg := pl.targets[id]; tg != nil {
		tg.reportedExcess = max(0, running+waiting-tg.ownCount)
		tg.reportedAt = now
	}
}

// Outcome says how a request at a target ended.
type Outcome int

// The outcomes.
const (
	// Served means that the target answered, if only with a failure of the request's own.
	Served Outcome = iota
	// Failed means that the target broke off, answered with bytes that are no answer, or failed the request.
	Failed
	// StaleConnection means that a kept connection had ended when the request was sent on it.
	StaleConnection
	// Unreachable means that no connection to the target could be opened, or that it went silent.
	Unreachable
	// Replaced means that another target answered at the address.
	Replaced
	// Shed means that the target was full and did not run the request.
	Shed
	// Unknown tells nothing of the target, as when the caller left first.
	Unknown
)

// shedPause is how long a target that was full is passed over.
const shedPause = 100 * time.Millisecond

// Observe takes in how a request at a target ended and returns how that changed what is believed of connections.
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
			// A target with free places has no reason to turn requests away.
			tg.failures++
		}
	case Unknown:
	}
	return change
}

// TargetCounts counts the targets of a service by why they may not be used.
type TargetCounts struct {
	// Total are all targets that have an entry; Leaving ones get no new requests; Held ones turned requests away for a time
	// that is not over; Unreachable ones can't be reached.
	Total, Leaving, Held, Unreachable int
}

// CountTargets counts the targets of a service.
func (pl *Pool) CountTargets(now time.Time, service chestnutroad.ServiceID) TargetCounts {
	count := TargetCounts{Total: len(pl.services[service])}
	for _, tg := range pl.services[service] {
		switch {
		case tg.leaving():
			count.Leaving++
		case tg.notice.retryAfter(now) > 0:
			count.Held++
		case pl.unreachable(now, tg):
			count.Unreachable++
		}
	}
	return count
}
