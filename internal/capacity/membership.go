package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/host/hostpb"
	"github.com/chestnutroad/chestnutroad/internal/member"
)

const (
	// convergenceTime lets the membership views of hosts that start together converge before a measurement. After 20 s, 340
	// hosts still send twice as much as when idle.
	convergenceTime = 40 * time.Second
	// disseminationTime lets new epochs reach all hosts.
	disseminationTime = 20 * time.Second
	// measurementTime is the simulated time over which idle traffic is measured.
	measurementTime = 10 * time.Second
	// failureDetectionTimeout is the simulated time after which a measurement of failure detection gives up.
	failureDetectionTimeout = 3 * time.Minute
	// designHosts and designCentres are the size of site that the design must support.
	designHosts   = 340
	designCentres = 7
	// designShards is the number of shards of a site with 35 models in each data centre.
	designShards = 35 * designCentres
)

var errNoConvergence = errors.New("simulated members did not converge")

func measureMembership(seed uint64) ([]Series, error) {
	idle := newIdleSeries()
	for _, size := range []int{21, 100} {
		addIdlePoints(idle, size, newNetwork(seed, size, designCentres).measureIdleCost())
	}
	// All further measurements share one network of the design size, since convergence takes most of the time.
	nw := newNetwork(seed, designHosts, designCentres)
	addIdlePoints(idle, designHosts, nw.measureIdleCost())
	epochs := measureSeries("membership traffic, 340 hosts", "bytes/s/host", "shards with an epoch",
		[]int{35, 105, designShards}, nw.trafficWithEpochs)
	detection, err := measureFailureDetection(nw)
	return append(idle, epochs, detection,
		measureSeries("membership state", "bytes/host", "hosts", []int{21, 100, designHosts, 1_000}, bytesPerMember),
		measureSeries("load summary on the wire", "bytes/message", "targets of the shard", []int{10, 100, 600}, loadSummarySize),
		measureSeries("load summaries, 7 data centres, 4 a second", "bytes/s/host", "shards owned", []int{1, 2, 4},
			func(owned int) float64 { return float64(owned) * 4 * (designCentres - 1) * loadSummarySize(100) }),
		measureSeries("placement exceptions on the wire", "bytes/chat", "chats in a message", []int{1, 5, 20}, exceptionBytesPerChat),
	), err
}

func newIdleSeries() []Series {
	return []Series{
		{Quantity: "membership traffic, quiet", Unit: "bytes/s/host", Against: "hosts"},
		{Quantity: "membership messages, quiet", Unit: "messages/s/host", Against: "hosts"},
		{Quantity: "control message with its share of ticks", Unit: "us/message", Against: "hosts"},
	}
}

func addIdlePoints(series []Series, hosts int, cost idleCost) {
	for index, value := range []float64{cost.bytes, cost.messages, cost.microseconds} {
		series[index].Points = append(series[index].Points, Point{hosts, value})
	}
}

// measureFailureDetection stops 1, 12 and 48 hosts in turn, each group in another data centre, and measures the simulated
// time until all running hosts have marked them dead.
func measureFailureDetection(nw *network) (Series, error) {
	sr := Series{Quantity: "until all of 340 hosts hold the dead for dead", Unit: "s", Against: "hosts that stop at once"}
	for centre, count := range []int{1, 12, 48} {
		elapsed, agreed := nw.timeToDetectFailures(centre, count)
		if !agreed {
			return sr, errors.Wrapf(errNoConvergence, "detect %d failed hosts", count)
		}
		sr.Points = append(sr.Points, Point{count, elapsed.Seconds()})
	}
	return sr, nil
}

// network simulates the delivery of messages between members. Each member sends within its control budget.
type network struct {
	now          time.Time
	rnd          *rand.Rand
	nodes        []*node
	byID         map[chestnutroad.HostID]*node
	queue        deliveryQueue
	lastSequence int
	bytes        int
	messages     int
}

// node is a member, its control budget and whether it has been stopped.
type node struct {
	*member.Member
	budget *member.Budget
	down   bool
}

// delivery is a message in transit. Deliveries due at the same time are ordered by sequence, so that runs are reproducible.
type delivery struct {
	at       time.Time
	sequence int
	from, to chestnutroad.HostID
	data     []byte
	message  member.Message
}

// deliveryQueue is a heap of deliveries, the next one due first.
type deliveryQueue []delivery

func (dq deliveryQueue) Len() int { return len(dq) }

func (dq deliveryQueue) Less(i, j int) bool {
	if dq[i].at.Equal(dq[j].at) {
		return dq[i].sequence < dq[j].sequence
	}
	return dq[i].at.Before(dq[j].at)
}

func (dq deliveryQueue) Swap(i, j int) { dq[i], dq[j] = dq[j], dq[i] }

// Push appends a delivery.
func (dq *deliveryQueue) Push(item any) { *dq = append(*dq, item.(delivery)) }

// Pop removes and returns the last delivery of the slice.
func (dq *deliveryQueue) Pop() any {
	last := (*dq)[len(*dq)-1]
	*dq = (*dq)[:len(*dq)-1]
	return last
}

func hostOf(index, centres int) member.Host {
	return member.Host{
		ID:          chestnutroad.HostID(fmt.Sprintf("host-%03d", index)),
		DataCentre:  chestnutroad.DataCentreID(fmt.Sprintf("centre-%d", index%centres)),
		PeerAddress: fmt.Sprintf("10.0.%d.%d:7946", index/250, index%250),
		Incarnation: member.IncarnationAt(startTime),
	}
}

// newNetwork starts the hosts with all of them as seeds and runs for convergenceTime, so that their
// views converge.
func newNetwork(seed uint64, hosts, centres int) *network {
	nw := &network{
		now: startTime, rnd: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // a measurement needs a seed
		byID: map[chestnutroad.HostID]*node{},
	}
	members := make([]member.Host, 0, hosts)
	for index := range hosts {
		members = append(members, hostOf(index, centres))
	}
	for _, host := range members {
		nd := &node{Member: member.New(host, member.WithSeeds(members...)), budget: member.NewBudget()}
		nw.nodes = append(nw.nodes, nd)
		nw.byID[host.ID] = nd
	}
	nw.runFor(convergenceTime)
	return nw
}

func shardOf(index, centres int) chestnutroad.ShardID {
	id := shard
	id.Pool.Service = chestnutroad.ServiceID(fmt.Sprintf("model-%d", index/centres))
	id.DataCentre = chestnutroad.DataCentreID(fmt.Sprintf("centre-%d", index%centres))
	return id
}

// runFor simulates the period. The ticks of the members are staggered over four steps of a tick interval.
func (nw *network) runFor(period time.Duration) {
	const step = member.TickInterval / 4
	for end := nw.now.Add(period); nw.now.Before(end); {
		nw.now = nw.now.Add(step)
		nw.deliver()
		tick := int(nw.now.UnixMilli() / step.Milliseconds())
		for index, nd := range nw.nodes {
			if !nd.down && (tick+index)%4 == 0 {
				nw.send(nd, nd.Tick(nw.now, nw.rnd))
			}
		}
	}
}

// send offers the messages to the sender's control budget, enqueues those that the budget releases and reports those that it
// drops to the sender.
func (nw *network) send(from *node, sends []member.Send) {
	for _, out := range sends {
		data, err := out.Message.Encode()
		if err != nil {
			continue
		}
		from.budget.Offer(nw.now, member.BudgetEntry{
			Priority: out.Priority, Size: wireSize(data),
			Value: delivery{from: from.Self().ID, to: out.To.ID, data: data, message: out.Message},
		})
	}
	sendable, dropped := from.budget.Take(nw.now)
	for _, entry := range dropped {
		item := entry.Value.(delivery)
		from.HandleDropped(nw.now, &item.message)
	}
	for _, entry := range sendable {
		nw.enqueue(entry.Value.(delivery))
	}
}

// wireSize returns the size of a message with the overhead of its datagram and of UDP.
func wireSize(data []byte) int { return len(data) + member.DatagramOverhead + member.UDPOverhead }

// enqueue counts the message and schedules its delivery after 0.5 to 2 ms.
func (nw *network) enqueue(item delivery) {
	nw.bytes += wireSize(item.data)
	nw.messages++
	nw.lastSequence++
	item.sequence = nw.lastSequence
	item.at = nw.now.Add(time.Duration(500+nw.rnd.IntN(1500)) * time.Microsecond)
	heap.Push(&nw.queue, item)
}

// deliver passes the messages that are due to their members. Messages to stopped members are lost.
func (nw *network) deliver() {
	for len(nw.queue) > 0 && !nw.queue[0].at.After(nw.now) {
		item := heap.Pop(&nw.queue).(delivery)
		to := nw.byID[item.to]
		if to == nil || to.down {
			continue
		}
		message, err := member.Decode(item.data)
		if err == nil {
			nw.send(to, to.Receive(nw.now, item.from, message))
		}
	}
}

// idleCost is the membership cost while no host joins or fails: bytes and messages a second for each host, and microseconds
// of real time for each message, including its share of the ticks.
type idleCost struct{ bytes, messages, microseconds float64 }

// measureIdleCost runs the network for measurementTime.
func (nw *network) measureIdleCost() idleCost {
	nw.bytes, nw.messages = 0, 0
	started := time.Now()
	nw.runFor(measurementTime)
	elapsed := time.Since(started)
	hostSeconds := measurementTime.Seconds() * float64(len(nw.nodes))
	return idleCost{
		bytes:        float64(nw.bytes) / hostSeconds,
		messages:     float64(nw.messages) / hostSeconds,
		microseconds: float64(elapsed.Nanoseconds()) / 1000 / float64(nw.messages),
	}
}

// trafficWithEpochs sets an owner epoch for the given number of shards, lets the epochs reach all hosts and returns the idle
// traffic after that.
func (nw *network) trafficWithEpochs(shards int) float64 {
	for index := range shards {
		owner := nw.nodes[index%len(nw.nodes)]
		epoch := chestnutroad.Epoch{Millis: startTime.UnixMilli(), Host: owner.Self().ID}
		owner.ObserveEpoch(shardOf(index, designCentres), epoch)
	}
	nw.runFor(disseminationTime)
	return nw.measureIdleCost().bytes
}

// timeToDetectFailures stops hosts of one data centre at once and returns the simulated time until the failures are agreed,
// and false when that takes longer than failureDetectionTimeout.
func (nw *network) timeToDetectFailures(centre, count int) (time.Duration, bool) {
	for index := range count {
		nw.nodes[centre+index*designCentres].down = true
	}
	stoppedAt := nw.now
	for nw.now.Sub(stoppedAt) < failureDetectionTimeout {
		nw.runFor(time.Second)
		if nw.failuresAgreed() {
			return nw.now.Sub(stoppedAt), true
		}
	}
	return failureDetectionTimeout, false
}

// failuresAgreed reports whether each running host has marked exactly the stopped hosts dead.
func (nw *network) failuresAgreed() bool {
	for _, nd := range nw.nodes {
		if nd.down {
			continue
		}
		for _, other := range nw.nodes {
			view, found := nd.Host(other.Self().ID)
			if !found || (view.State == member.Dead) != other.down {
				return false
			}
		}
	}
	return true
}

// bytesPerMember returns the heap bytes that a member uses for each host of its membership view.
func bytesPerMember(hosts int) float64 {
	return heapBytesPerItem(hosts, func() any {
		seeds := make([]member.Host, 0, hosts)
		for index := range hosts {
			seeds = append(seeds, hostOf(index, designCentres))
		}
		return member.New(seeds[0], member.WithSeeds(seeds...))
	})
}

// payloadSize returns the size on the wire of a control message with the payload, or 0 when it can't be encoded.
func payloadSize(kind member.PayloadKind, payload proto.Message) float64 {
	data, err := proto.Marshal(payload)
	if err != nil {
		return 0
	}
	message := member.Message{Type: member.PayloadMessage, From: hostOf(0, designCentres), PayloadKind: kind, Payload: data}
	encoded, err := message.Encode()
	if err != nil {
		return 0
	}
	return float64(wireSize(encoded))
}

func loadSummarySize(targets int) float64 {
	return payloadSize(member.LoadSummary, &hostpb.LoadSummary{
		Service: string(shard.Pool.Service), DataCentre: string(shard.DataCentre),
		EpochMillis: startTime.UnixMilli(), EpochHost: "host-000", Targets: int64(targets), Work: int64(targets) * 1_600,
		Queued: int64(targets), Drained: int64(targets) * 1_000_000, TakenUnixNanos: startTime.UnixNano(),
	})
}

// exceptionBytesPerChat returns the size on the wire of a placement exception message, divided by its chats.
func exceptionBytesPerChat(chats int) float64 {
	message := &hostpb.PlacementExceptions{Service: string(shard.Pool.Service), DataCentre: string(shard.DataCentre)}
	for index := range chats {
		place := uint32(index % 4) //nolint:gosec // below four
		if index < 4 {
			message.Targets = append(message.Targets, string(targetID(index)))
		}
		message.Chats = append(message.Chats, uint64(index)<<40)
		message.Places = append(message.Places, place)
	}
	return payloadSize(member.PlacementException, message) / float64(chats)
}
