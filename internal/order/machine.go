package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Machine makes the orders that one host handles run at most once. It isn't safe for concurrent use.
//
// Each input returns the actions to take, in order. "Not run" speaks of the refused request: an earlier request with the
// same key may have run.
type Machine struct {
	self   record.Writer
	set    settings
	table  *table
	reader *record.Reader

	sequence    uint64
	flightCount uint64
	flights     map[Key]*flight
	running     map[chestnutroad.RequestID]*flight
	keys        map[chestnutroad.RequestID]Key
	// outcomes and releases have the entries that must get into the log, until they are read back.
	outcomes map[Key]*write
	releases map[Key]*write
	dead     map[chestnutroad.HostID]chestnutroad.Incarnation

	queue      queue
	owners     int
	log        logHealth
	batch      *batch
	batchID    BatchID
	lastAppend time.Time
	// nextExpiry is the earliest time at which something may have to be given up.
	nextExpiry time.Time
	actions    []Action
}

// New returns the machine of one life of a host; no two lives may have the same host id and incarnation.
func New(host chestnutroad.HostID, incarnation chestnutroad.Incarnation, opts ...Option) *Machine {
	mc := &Machine{
		self:     record.Writer{Host: host, Incarnation: incarnation},
		set:      newSettings(opts),
		table:    newTable(),
		flights:  map[Key]*flight{},
		running:  map[chestnutroad.RequestID]*flight{},
		keys:     map[chestnutroad.RequestID]Key{},
		outcomes: map[Key]*write{},
		releases: map[Key]*write{},
		dead:     map[chestnutroad.HostID]chestnutroad.Incarnation{},
		owners:   1,
	}
	mc.reader = record.NewReader(record.TypeOrderSnapshot, mc.table)
	mc.table.lease = mc.set.disabled.lease
	if mc.set.disabled.gapCheck {
		mc.reader.IgnoreGaps()
	}
	return mc
}

// NextOffset returns the offset from which the next batch of the orders stream is to be read.
func (mc *Machine) NextOffset() chestnutroad.Offset { return mc.reader.NextOffset() }

// Ready reports whether the host knows which orders have run.
func (mc *Machine) Ready() bool { return mc.reader.Ready() }

// KeyCount returns the number of keys that the host knows from the log.
func (mc *Machine) KeyCount() int { return len(mc.table.entries) }

// Busy reports whether an order, outcome or release is not yet in the log or not yet answered; a planned stop waits
// until it is false.
func (mc *Machine) Busy() bool {
	return len(mc.flights) > 0 || mc.batch != nil || anyUnstored(mc.outcomes) || anyUnstored(mc.releases)
}

// Configure applies options to a running machine; records keep the times with which they were written.
func (mc *Machine) Configure(opts ...Option) {
	for _, opt := range opts {
		opt(&mc.set)
	}
}

// Retention returns the time for which the log is taken to keep records.
func (mc *Machine) Retention() time.Duration { return mc.set.retention }

// SetOwners tells how many hosts own order shards and share the append budget.
func (mc *Machine) SetOwners(owners int) { mc.owners = owners }

// Tick gives up what is too late and appends what is due. It is needed at Wake at the latest.
func (mc *Machine) Tick(now time.Time) []Action {
	mc.expire(now)
	return mc.finish(now)
}

// NextTick returns the time at which Tick is next needed, and false when only another input can change anything.
func (mc *Machine) NextTick() (time.Time, bool) {
	wake := mc.nextExpiry
	if mc.batch == nil && !mc.queue.empty() && !mc.log.unreadable {
		wake = earlier(wake, mc.nextAppend())
	}
	return wake, !wake.IsZero()
}

// finish appends what is due and returns the actions of the input.
func (mc *Machine) finish(now time.Time) []Action {
	mc.flush(now)
	actions := mc.actions
	mc.actions = nil
	return actions
}

func (mc *Machine) emit(action Action) { mc.actions = append(mc.actions, action) }

// scheduleExpiry makes expire look again at that time.
func (mc *Machine) scheduleExpiry(at time.Time) { mc.nextExpiry = earlier(mc.nextExpiry, at) }

// earlier returns the earlier of two times, of which a zero one doesn't count.
func earlier(one, other time.Time) time.Time {
	if one.IsZero() || !other.IsZero() && other.Before(one) {
		return other
	}
	return one
}

func (mc *Machine) newClaim() record.Claimant {
	mc.sequence++
	return record.Claimant{Host: mc.self.Host, Incarnation: mc.self.Incarnation, Sequence: mc.sequence}
}

func (mc *Machine) isOwn(claimant record.Claimant) bool {
	return claimant.Host == mc.self.Host && claimant.Incarnation == mc.self.Incarnation
}

// isDead reports whether the life of the host that claimed has ended, as far as is known.
func (mc *Machine) isDead(claimant record.Claimant) bool {
	if claimant.Incarnation <= mc.dead[claimant.Host] || claimant.Incarnation < mc.table.incarnations[claimant.Host] {
		return true
	}
	return claimant.Host == mc.self.Host && claimant.Incarnation < mc.self.Incarnation
}

// sortedFlights returns the flights in a fixed order, so that equal inputs give equal actions.
func (mc *Machine) sortedFlights() []*flight {
	flights := make([]*flight, 0, len(mc.flights))
	for _, fl := range mc.flights {
		flights = append(flights, fl)
	}
	slices.SortFunc(flights, func(one, other *flight) int { return cmp.Compare(one.number, other.number) })
	return flights
}
