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

// host is one entry host, with the shards that it owns.
type host struct {
	si *simulation
	trace.Host
	alive     bool
	leaving   bool
	startedAt      time.Duration
	stoppedAt      time.Duration
	budget    *retrybudget.Decaying
	control   controlCounter
	instances map[chestnutroad.ServiceID]*instance

	ownership *member.Ownership
	views []member.HostView
	owned map[chestnutroad.ShardID]*instance
	// formerInstances holds the instances of shards that the host gave up, which end what they still run.
	formerInstances   []*instance
	receivedStates map[chestnutroad.ShardID][][]byte
	// receivedExceptions holds what the owners of shards tell the next in line about chats away from their first target.
	receivedExceptions     map[chestnutroad.ShardID][]pool.PlacementException
	deciding bool
	// decideUntil is when the books need no more decisions if nothing new is learnt.
	decideUntil time.Duration

	machine *order.Machine
	// orderRoutes holds the routes of the orderRoutes that the machine decides on.
	orderRoutes  map[chestnutroad.RequestID]*route
	readsLog bool
	readScheduled bool
	nextTickAt  time.Duration
}

func (si *simulation) newHost(description trace.Host) *host {
	fleet := si.effective.Fleet
	ho := &host{
		si: si, Host: description, alive: true, startedAt: si.queue.now,
		budget:    retrybudget.NewDecaying(fleet.RetryShare, fleet.RetryWindow, fleet.RetryFloor),
		instances: map[chestnutroad.ServiceID]*instance{},
		ownership:     member.NewOwnership(description.ID),
		owned:     map[chestnutroad.ShardID]*instance{},
		receivedStates:  map[chestnutroad.ShardID][][]byte{},
		receivedExceptions:      map[chestnutroad.ShardID][]pool.PlacementException{},
		orderRoutes:    map[chestnutroad.RequestID]*route{},
		machine: order.New(description.ID, member.IncarnationAt(si.time()),
			order.WithAppendInterval(fleet.AppendInterval), order.WithAppendBudget(fleet.AppendBudget),
			order.WithRepeatWindow(fleet.RepeatWindow), order.WithRetention(fleet.LogRetention)),
	}
	si.hosts[ho.ID] = ho
	si.hostOrder = append(si.hostOrder, ho)
	return ho
}

// randomHost picks a host that takes callers.
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

// fail stops the host without notice: its streams break, and what it knew is lost.
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

// idle reports whether nothing runs through the host any more.
func (ho *host) idle() bool {
	for _, ca := range ho.si.sortedOpenCalls() {
		if ca.entry == ho || (ca.route != nil && ca.route.instance.host == ho) {
			return false
		}
	}
	return !ho.machine.Busy()
}

func hashOf(id chestnutroad.RequestID) chestnutroad.ChatID {
	return chestnutroad.ChatID(xxhash.Sum64String(string(id)))
}
