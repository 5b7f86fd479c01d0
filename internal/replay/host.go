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
	born      time.Duration
	died      time.Duration
	budget    *retrybudget.Decaying
	control   controlCounter
	instances map[chestnutroad.ServiceID]*instance

	books *member.Ownership
	views []member.HostView
	owned map[chestnutroad.ShardID]*instance
	// former holds the instances of shards that the host gave up, which end what they still run.
	former   []*instance
	received map[chestnutroad.ShardID][][]byte
	// kept holds what the owners of shards tell the next in line about chats away from their first target.
	kept     map[chestnutroad.ShardID][]pool.PlacementException
	deciding bool
	// decideUntil is when the books need no more decisions if nothing new is learnt.
	decideUntil time.Duration

	machine *order.Machine
	// orders holds the routes of the orders that the machine decides on.
	orders  map[chestnutroad.RequestID]*route
	follows bool
	readDue bool
	wakeAt  time.Duration
}

func (si *simulation) newHost(description trace.Host) *host {
	fleet := si.effective.Fleet
	ho := &host{
		si: si, Host: description, alive: true, born: si.queue.now,
		budget:    retrybudget.NewDecaying(fleet.RetryShare, fleet.RetryWindow, fleet.RetryFloor),
		instances: map[chestnutroad.ServiceID]*instance{},
		books:     member.NewOwnership(description.ID),
		owned:     map[chestnutroad.ShardID]*instance{},
		received:  map[chestnutroad.ShardID][][]byte{},
		kept:      map[chestnutroad.ShardID][]pool.PlacementException{},
		orders:    map[chestnutroad.RequestID]*route{},
		machine: order.New(description.ID, member.IncarnationAt(si.time()),
			order.WithAppendInterval(fleet.AppendInterval), order.WithAppendBudget(fleet.AppendBudget),
			order.WithRepeatWindow(fleet.RepeatWindow), order.WithRetention(fleet.LogRetention)),
	}
	si.hosts[ho.ID] = ho
	si.hostOrder = append(si.hostOrder, ho)
	return ho
}

// anyHost picks a host that takes callers.
func (si *simulation) anyHost() *host {
	var ready []*host
	for _, ho := range si.hostOrder {
		if ho.alive && !ho.leaving {
			ready = append(ready, ho)
		}
	}
	return ready[si.random.IntN(len(ready))]
}

func (ho *host) incarnation() chestnutroad.Incarnation {
	return member.IncarnationAt(ho.si.start.Add(ho.born))
}

// fail stops the host without notice: its streams break, and what it knew is lost.
func (ho *host) fail() {
	ho.stop()
	for _, shard := range ho.si.shards {
		if in := ho.owned[shard]; in != nil {
			in.stop()
		}
	}
	for _, in := range append(ho.sortedInstances(), ho.former...) {
		in.stop()
	}
	ho.owned = map[chestnutroad.ShardID]*instance{}
	for _, ca := range ho.si.openCalls() {
		if ca.entry == ho {
			ca.reenter()
		}
	}
}

func (ho *host) stop() {
	ho.alive = false
	ho.died = ho.si.queue.now
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
	for _, ca := range ho.si.openCalls() {
		if ca.entry == ho || (ca.route != nil && ca.route.instance.host == ho) {
			return false
		}
	}
	return !ho.machine.Busy()
}

func hashOf(id chestnutroad.RequestID) chestnutroad.ChatID {
	return chestnutroad.ChatID(xxhash.Sum64String(string(id)))
}
