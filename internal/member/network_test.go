package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// network simulates the exchange of messages between members, with faults. It encodes every message, so that the size
// limit and the byte counts are those on the wire.
type network struct {
	tb    testing.TB
	now   time.Time
	rnd   *rand.Rand
	nodes []*node
	byID  map[chestnutroad.HostID]*node
	queue deliveries
	order uint64
	opts  []Option
	loss  float64
	// delay is the maximum of a random extra latency, which reorders messages.
	delay time.Duration
	// cut reports whether messages from one node to another are lost.
	cut      func(from, to *node) bool
	messages uint64
}

type node struct {
	*Member
	down, paused bool
	budget       *Budget
	bytes        uint64
	backlog      []delivery
	centre       chestnutroad.DataCentreID
}

type delivery struct {
	at      time.Time
	order   uint64
	to      chestnutroad.HostID
	data    []byte
	message Message
}

type deliveries []delivery

func (dl deliveries) Len() int { return len(dl) }
func (dl deliveries) Less(a, b int) bool {
	return dl[a].at.Before(dl[b].at) || dl[a].at.Equal(dl[b].at) && dl[a].order < dl[b].order
}
func (dl deliveries) Swap(a, b int)  { dl[a], dl[b] = dl[b], dl[a] }
func (dl *deliveries) Push(item any) { *dl = append(*dl, item.(delivery)) }
func (dl *deliveries) Pop() any {
	last := (*dl)[len(*dl)-1]
	*dl = (*dl)[:len(*dl)-1]
	return last
}

func newNetwork(tb testing.TB, seed uint64, hosts, centres int, opts ...Option) *network {
	nw := &network{
		tb:   tb,
		now:  time.UnixMilli(1_800_000_000_000),
		rnd:  rand.New(rand.NewPCG(seed, 1)),
		byID: map[chestnutroad.HostID]*node{},
		opts: opts,
		cut:  func(_, _ *node) bool { return false },
	}
	for index := range hosts {
		nw.start(index, centres)
	}
	return nw
}

func (nw *network) host(index, centres int) Host {
	return Host{
		ID:          chestnutroad.HostID(fmt.Sprintf("host-%03d", index)),
		DataCentre:  chestnutroad.DataCentreID(fmt.Sprintf("centre-%d", index%centres)),
		PeerAddress: fmt.Sprintf("10.0.%d.%d:7946", index/250, index%250),
		Incarnation: IncarnationAt(nw.now),
	}
}

// start adds a running host that has the first three hosts as seeds. It replaces an earlier instance of the host.
func (nw *network) start(index, centres int) *node {
	host := nw.host(index, centres)
	opts := append([]Option(nil), nw.opts...)
	for seed := range 3 {
		if seed != index {
			opts = append(opts, WithSeeds(nw.host(seed, centres)))
		}
	}
	nd := &node{Member: New(host, opts...), centre: host.DataCentre, budget: NewBudget(WithRate(unlimited), WithBurst(unlimited))}
	if nw.byID[host.ID] != nil {
		nw.nodes[index] = nd
	} else {
		nw.nodes = append(nw.nodes, nd)
	}
	nw.byID[host.ID] = nd
	return nd
}

// shareRecords gives every member the records of all others and empties the gossip queues, as in a fleet that has been
// running without changes.
func (nw *network) shareRecords() {
	for _, nd := range nw.nodes {
		for _, other := range nw.nodes {
			record := other.selfRecord()
			nd.apply(nw.now, &record)
		}
		nd.queue = nil
		nd.nextJoin = nw.now
	}
}

// unlimited is the rate and burst of a budget that never delays a message, so that byte counts are those that the members
// would send.
const unlimited = 1 << 30

// enforceBudget makes each node send within the default budget.
func (nw *network) enforceBudget() {
	for _, nd := range nw.nodes {
		nd.budget = NewBudget()
	}
}

const step = TickInterval / 4

// run advances the simulated time; each node ticks every TickInterval.
func (nw *network) run(period time.Duration) {
	for end := nw.now.Add(period); nw.now.Before(end); {
		nw.now = nw.now.Add(step)
		nw.deliver()
		tick := int(nw.now.UnixMilli() / step.Milliseconds())
		for index, nd := range nw.nodes {
			if nd.down || nd.paused || (tick+index)%4 != 0 {
				continue
			}
			nw.send(nd, nd.Tick(nw.now, nw.rnd))
		}
	}
}

func (nw *network) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := nw.now
	for nw.now.Sub(start) < limit {
		if done() {
			return nw.now.Sub(start), true
		}
		nw.run(TickInterval)
	}
	return limit, done()
}

func (nw *network) send(from *node, sends []Send) {
	for _, out := range sends {
		data, err := out.Message.Encode()
		if err != nil {
			nw.tb.Fatalf("message of type %d: %v", out.Message.Type, err)
		}
		size := len(data) + DatagramOverhead + UDPOverhead
		from.budget.Offer(nw.now, BudgetEntry{Priority: out.Priority, Size: size, Value: delivery{to: out.To.ID, data: data, message: out.Message}})
	}
	taken, dropped := from.budget.Take(nw.now)
	for _, entry := range dropped {
		item := entry.Value.(delivery)
		from.HandleDropped(nw.now, &item.message)
	}
	for _, entry := range taken {
		from.bytes += uint64(entry.Size)
		nw.transmit(from, entry.Value.(delivery))
	}
}

func (nw *network) transmit(from *node, item delivery) {
	nw.messages++
	to := nw.byID[item.to]
	if to == nil || nw.cut(from, to) || nw.rnd.Float64() < nw.loss {
		return
	}
	nw.order++
	item.order = nw.order
	item.at = nw.now.Add(time.Duration(500+nw.rnd.IntN(1500)) * time.Microsecond)
	if nw.delay > 0 {
		item.at = item.at.Add(time.Duration(nw.rnd.Int64N(int64(nw.delay))))
	}
	heap.Push(&nw.queue, item)
}

func (nw *network) deliver() {
	for len(nw.queue) > 0 && !nw.queue[0].at.After(nw.now) {
		item := heap.Pop(&nw.queue).(delivery)
		to := nw.byID[item.to]
		if to.paused {
			to.backlog = append(to.backlog, item)
		} else if !to.down {
			nw.receive(to, item)
		}
	}
}

func (nw *network) receive(to *node, item delivery) {
	message, err := Decode(item.data)
	if err != nil {
		nw.tb.Fatal(err)
	}
	nw.send(to, to.Receive(nw.now, message.From.ID, message))
}

// unpause ends a pause. Datagrams that arrived during the pause are received before the next tick.
func (nw *network) unpause(nd *node) {
	nd.paused = false
	for _, item := range nd.backlog {
		nw.receive(nd, item)
	}
	nd.backlog = nil
}

func (nw *network) state(of, about *node) State {
	view, found := of.Host(about.Self().ID)
	if !found {
		return Dead
	}
	return view.State
}

// converged reports whether every running node considers every running node alive or leaving and every stopped one dead, and
// whether all have the same epochs, version and leaving machines.
func (nw *network) converged() bool {
	first := nw.firstRunning()
	for _, nd := range nw.nodes {
		if nd.down {
			continue
		}
		for _, other := range nw.nodes {
			if (nw.state(nd, other) == Dead) != other.down || nw.state(nd, other) == Suspect {
				return false
			}
		}
		if nd.version != first.version || fmt.Sprint(nd.LeavingMachines()) != fmt.Sprint(first.LeavingMachines()) {
			return false
		}
		for shard := range first.epochs {
			if nd.Epoch(shard) != first.Epoch(shard) {
				return false
			}
		}
	}
	return true
}

func (nw *network) firstRunning() *node {
	for _, nd := range nw.nodes {
		if !nd.down {
			return nd
		}
	}
	return nil
}

// falseDeadPairs counts the ordered pairs of running nodes in which the first considers the second dead. A paused node does
// not count as the second.
func (nw *network) falseDeadPairs() int {
	count := 0
	for _, nd := range nw.nodes {
		for _, other := range nw.nodes {
			if !nd.down && !other.down && !other.paused && nw.state(nd, other) == Dead {
				count++
			}
		}
	}
	return count
}
