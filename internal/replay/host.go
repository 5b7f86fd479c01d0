package replay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/order"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/retrybudget"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// host is an entry host with its view of the fleet and the shards that it owns.
type host struct {
	si *simulation
	trace.Host
	alive     bool
	leaving   bool
	startedAt time.Duration
	stoppedAt time.Duration
	budget    *retrybudget.Decaying
	control   controlCounter
	instances map[chestnutroad.ServiceID]*instance

	ownership *member.Ownership
	views     []member.HostView
	owned     map[chestnutroad.ShardID]*instance
	// formerInstances holds the instances of shards that the host gave up; they finish their running requests.
	formerInstances []*instance
	// receivedStates holds the states to import when this host takes a shard over: that of the former owner, preceded by
	// this host's own if both owned the shard at the same time.
	receivedStates map[chestnutroad.ShardID][][]byte
	// receivedExceptions holds the placement exceptions from owners whose shards this host would take over.
	receivedExceptions map[chestnutroad.ShardID][]pool.PlacementException
	// deciding is true while decideOwnership is scheduled.
	deciding bool
	// decideUntil is the time after which ownership can't change without new information.
	decideUntil time.Duration

	machine *order.Machine
	// orderRoutes holds the routes of the orders that the machine has not answered.
	orderRoutes   map[chestnutroad.RequestID]*route
	readsLog      bool
	readScheduled bool
	nextTickAt    time.Duration
}

func (si *simulation) newHost(description trace.Host) *host {
	fleet := si.effective.Fleet
	ho := &host{
		si: si, Host: description, alive: true, startedAt: si.queue.now,
		budget:             retrybudget.NewDecaying(fleet.RetryShare, fleet.RetryWindow, fleet.RetryFloor),
		instances:          map[chestnutroad.ServiceID]*instance{},
		ownership:          member.NewOwnership(description.ID),
		owned:              map[chestnutroad.ShardID]*instance{},
		receivedStates:     map[chestnutroad.ShardID][][]byte{},
		receivedExceptions: map[chestnutroad.ShardID][]pool.PlacementException{},
		orderRoutes:        map[chestnutroad.RequestID]*route{},
		machine: order.New(description.ID, member.IncarnationAt(si.time()),
			order.WithAppendInterval(fleet.AppendInterval), order.WithAppendBudget(fleet.AppendBudget),
			order.WithRepeatWindow(fleet.RepeatWindow), order.WithRetention(fleet.LogRetention)),
	}
	si.hosts[ho.ID] = ho
	si.hostOrder = append(si.hostOrder, ho)
	return ho
}

// randomHost returns a random host that accepts callers.
func (si *simulation) randomHost() *host {
	var ready []*host
	for _, ho := range si.hostOrder {
		if ho.alive && !ho.leaving {
			ready = append(ready, ho)
		}
	}
	return ready[si.random.IntN(len(ready))]
}

func (ho *host) incarnation() chestnutroad.Incarnation {
	return member.IncarnationAt(ho.si.start.Add(ho.startedAt))
}

// fail crashes the host: its streams break, the state of its shards is lost and its callers reconnect elsewhere.
func (ho *host) fail() {
	ho.stop()
	for _, shard := range ho.si.shards {
		if in := ho.owned[shard]; in != nil {
			in.stop()
		}
	}
	for _, in := range append(ho.sortedInstances(), ho.formerInstances...) {
		in.stop()
	}
	ho.owned = map[chestnutroad.ShardID]*instance{}
	for _, ca := range ho.si.sortedOpenCalls() {
		if ca.entry == ho {
			ca.reconnect()
		}
	}
}

func (ho *host) stop() {
	ho.alive = false
	ho.stoppedAt = ho.si.queue.now
}

func (ho *host) sortedInstances() []*instance {
	var instances []*instance
	for _, service := range ho.si.effective.Services {
		if in := ho.instances[service.ID]; in != nil {
			instances = append(instances, in)
		}
	}
	return instances
}

// idle reports whether no open call uses the host as its entry or router, and no order is unfinished.
func (ho *host) idle() bool {
	for _, ca := range ho.si.sortedOpenCalls() {
		if ca.entry == ho || (ca.route != nil && ca.route.instance.host == ho) {
			return false
		}
	}
	return !ho.machine.Busy()
}

// hashOf hashes a request ID to a rendezvous key for requests without a chat.
func hashOf(id chestnutroad.RequestID) chestnutroad.ChatID {
	return chestnutroad.ChatID(xxhash.Sum64String(string(id)))
}
