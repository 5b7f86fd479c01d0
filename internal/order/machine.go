package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Machine is the state machine that ensures that the orders of one host run at most once. It isn't safe for concurrent
// use.
//
// Each input returns the actions to perform, in order. NotRun in a refusal concerns only the refused request: an earlier
// request with the same key may have run.
type Machine struct {
	self     record.Writer
	settings settings
	table    *table
	reader   *record.Reader

	sequence    uint64
	flightCount uint64
	flights     map[Key]*flight
	// running has the flights with a pending Run by the request of the Run; keys has the key of each waiting request.
	running map[chestnutroad.RequestID]*flight
	keys    map[chestnutroad.RequestID]Key
	// outcomes and releases hold the entries that are not yet read back from the log.
	outcomes map[Key]*pendingWrite
	releases map[Key]*pendingWrite
	// dead has the latest incarnation of each host that HostDead reported.
	dead map[chestnutroad.HostID]chestnutroad.Incarnation

	queue      queue
	owners     int
	log        logHealth
	batch      *batch
	batchID    BatchID
	lastAppend time.Time
	// nextExpiry is the earliest time at which a request, claim, append or pending write may expire; zero means none.
	nextExpiry time.Time
	actions    []Action
}

// New returns the machine of a host. Each start of a host must have an incarnation of its own, since claims are identified by
// host, incarnation and a sequence number that starts anew.
func New(host chestnutroad.HostID, incarnation chestnutroad.Incarnation, opts ...Option) *Machine {
	mc := &Machine{
		self:     record.Writer{Host: host, Incarnation: incarnation},
		settings: newSettings(opts),
		table:    newTable(),
		flights:  map[Key]*flight{},
		running:  map[chestnutroad.RequestID]*flight{},
		keys:     map[chestnutroad.RequestID]Key{},
		outcomes: map[Key]*pendingWrite{},
		releases: map[Key]*pendingWrite{},
		dead:     map[chestnutroad.HostID]chestnutroad.Incarnation{},
		owners:   1,
	}
	mc.reader = record.NewReader(record.TypeOrderSnapshot, mc.table)
	mc.table.lease = mc.settings.disabled.lease
	if mc.settings.disabled.gapCheck {
		mc.reader.IgnoreGaps()
	}
	return mc
}

// NextOffset returns the offset of the orders stream to read the next batch from.
func (mc *Machine) NextOffset() chestnutroad.Offset { return mc.reader.NextOffset() }

// Ready reports whether the state is valid and has caught up with the log, so that the host knows which orders have run.
func (mc *Machine) Ready() bool { return mc.reader.Ready() }

// KeyCount returns the number of keys in the table, including expired ones that are not yet removed.
func (mc *Machine) KeyCount() int { return len(mc.table.entries) }

// Busy reports whether an order is unanswered, an append is in flight, or an outcome or release isn't confirmed to be in
// the log. A planned stop waits until it is false.
func (mc *Machine) Busy() bool {
	return len(mc.flights) > 0 || mc.batch != nil || anyUnstored(mc.outcomes) || anyUnstored(mc.releases)
}

// Configure applies options to a running machine. Claims and releases in the log keep the TTL they were written with.
func (mc *Machine) Configure(opts ...Option) {
	for _, opt := range opts {
		opt(&mc.settings)
	}
}

// Retention returns the configured time for which the log keeps records.
func (mc *Machine) Retention() time.Duration { return mc.settings.retention }

// SetOwners sets the number of hosts that own order shards and share the append budget.
func (mc *Machine) SetOwners(owners int) { mc.owners = owners }

// Tick processes expired deadlines and timeouts and starts an append if one is due. Call it at NextTick at the latest.
func (mc *Machine) Tick(now time.Time) []Action {
	mc.expire(now)
	return mc.finish(now)
}

// NextTick returns the time of the next necessary Tick, or false if only another input can change the state.
func (mc *Machine) NextTick() (time.Time, bool) {
	wake := mc.nextExpiry
	if mc.batch == nil && !mc.queue.empty() && !mc.log.unreadable {
		wake = earlier(wake, mc.nextAppend())
	}
	return wake, !wake.IsZero()
}

// finish starts an append if one is due and returns the actions of the input.
func (mc *Machine) finish(now time.Time) []Action {
	mc.flush(now)
	actions := mc.actions
	mc.actions = nil
	return actions
}

func (mc *Machine) emit(action Action) { mc.actions = append(mc.actions, action) }

// scheduleExpiry makes expire due at the given time at the latest.
func (mc *Machine) scheduleExpiry(at time.Time) { mc.nextExpiry = earlier(mc.nextExpiry, at) }

// earlier returns the earlier of two times and ignores a zero time.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (mc *Machine) newClaim() record.Claimant {
	mc.sequence++
	return record.Claimant{Host: mc.self.Host, Incarnation: mc.self.Incarnation, Sequence: mc.sequence}
}

func (mc *Machine) isOwn(claimant record.Claimant) bool {
	return claimant.Host == mc.self.Host && claimant.Incarnation == mc.self.Incarnation
}

// isDead reports whether the claimant's incarnation was reported dead or has been replaced by a later one.
func (mc *Machine) isDead(claimant record.Claimant) bool {
	if claimant.Incarnation <= mc.dead[claimant.Host] || claimant.Incarnation < mc.table.incarnations[claimant.Host] {
		return true
	}
	return claimant.Host == mc.self.Host && claimant.Incarnation < mc.self.Incarnation
}

// sortedFlights returns the flights in the order of their start, so that equal inputs yield equal actions.
func (mc *Machine) sortedFlights() []*flight {
	flights := make([]*flight, 0, len(mc.flights))
	for _, fl := range mc.flights {
		flights = append(flights, fl)
	}
	slices.SortFunc(flights, func(a, b *flight) int { return cmp.Compare(a.number, b.number) })
	return flights
}
