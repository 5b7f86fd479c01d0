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
	// settleTime lets views of hosts that start together agree before anything is measured. After 20 s, 340 hosts still
	// send twice what they send when quiet.
	settleTime = 40 * time.Second
	// spreadTime lets new epochs reach all hosts.
	spreadTime = 20 * time.Second
	// quietTime is the simulated time over which traffic is measured.
	quietTime = 10 * time.Second
	// deathLimit ends a run in which the deaths are not agreed on.
	deathLimit = 3 * time.Minute
	// targetHosts and targetCentres are the size that the design must allow for.
	targetHosts   = 340
	targetCentres = 7
	// targetShards is 35 models in each of the data centres.
	targetShards = 35 * targetCentres
)

var errMembership = errors.New("the simulated members did not come to agree")

func measureMembership(seed uint64) ([]Slope, error) {
	quiet := quietSlopes()
	for _, size := range []int{21, 100} {
		addQuiet(quiet, size, newNetwork(seed, size, targetCentres).measure())
	}
	// One network of the target size serves all that follows, since its start takes most of the time.
	nw := newNetwork(seed, targetHosts, targetCentres)
	addQuiet(quiet, targetHosts, nw.measure())
	epochs := slope("membership traffic, 340 hosts", "bytes/s/host", "shards with an epoch", []int{35, 105, targetShards}, nw.bytesWithEpochs)
	deaths, err := measureDeaths(nw)
	return append(quiet, epochs, deaths,
		slope("membership state", "bytes/host", "hosts", []int{21, 100, targetHosts, 1_000}, bytesOfPeer),
		slope("load summary on the wire", "bytes/message", "targets of the shard", []int{10, 100, 600}, bytesOfSummary),
		slope("load summaries, 7 data centres, 4 a second", "bytes/s/host", "shards owned", []int{1, 2, 4}, func(owned int) float64 {
			return float64(owned) * 4 * (targetCentres - 1) * bytesOfSummary(100)
		}),
		slope("placement exceptions on the wire", "bytes/chat", "chats in a message", []int{1, 5, 20}, bytesOfException),
	), err
}

func quietSlopes() []Slope {
	return []Slope{
		{Quantity: "membership traffic, quiet", Unit: "bytes/s/host", Against: "hosts"},
		{Quantity: "membership messages, quiet", Unit: "messages/s/host", Against: "hosts"},
		{Quantity: "control message with its share of ticks", Unit: "us/message", Against: "hosts"},
	}
}

func addQuiet(slopes []Slope, hosts int, run quietRun) {
	for index, value := range []float64{run.bytes, run.messages, run.microseconds} {
		slopes[index].Points = append(slopes[index].Points, Point{hosts, value})
	}
}

// measureDeaths stops more and more hosts of the network and measures the time until all others hold them dead.
func measureDeaths(nw *network) (Slope, error) {
	sl := Slope{Quantity: "until all of 340 hosts hold the dead for dead", Unit: "s", Against: "hosts that stop at once"}
	for centre, count := range []int{1, 12, 48} {
		took, agreed := nw.timeOfDeaths(centre, count)
		if !agreed {
			return sl, errors.Wrapf(errMembership, "%d deaths", count)
		}
		sl.Points = append(sl.Points, Point{count, took.Seconds()})
	}
	return sl, nil
}

// network passes messages between members in simulated time, within the control budget of each.
type network struct {
	now      time.Time
	rnd      *rand.Rand
	nodes    []*node
	byID     map[chestnutroad.HostID]*node
	queue    deliveries
	order    int
	bytes    int
	messages int
}

type node struct {
	*member.Member
	budget *member.Budget
	down   bool
}

type delivery struct {
	at       time.Time
	order    int
	from, to chestnutroad.HostID
	data     []byte
	message  member.Message
}

// deliveries is a heap of messages on their way, the next one first.
type deliveries []delivery

func (dl deliveries) Len() int { return len(dl) }

func (dl deliveries) Less(one, two int) bool {
	if dl[one].at.Equal(dl[two].at) {
		return dl[one].order < dl[two].order
	}
	return dl[one].at.Before(dl[two].at)
}

func (dl deliveries) Swap(one, two int) { dl[one], dl[two] = dl[two], dl[one] }

// Push adds a delivery.
func (dl *deliveries) Push(item any) { *dl = append(*dl, item.(delivery)) }

// Pop removes the last delivery.
func (dl *deliveries) Pop() any {
	last := (*dl)[len(*dl)-1]
	*dl = (*dl)[:len(*dl)-1]
	return last
}

func hostOf(index, centres int) member.Host {
	return member.Host{
		ID:          chestnutroad.HostID(fmt.Sprintf("host-%03d", index)),
		DataCentre:  chestnutroad.DataCentreID(fmt.Sprintf("centre-%d", index%centres)),
		PeerAddress: fmt.Sprintf("10.0.%d.%d:7946", index/250, index%250),
		Incarnation: member.IncarnationAt(start),
	}
}

// newNetwork starts the hosts with one another as seeds and lets their views agree.
func newNetwork(seed uint64, hosts, centres int) *network {
	nw := &network{
		now: start, rnd: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // a measurement needs a seed
		byID: map[chestnutroad.HostID]*node{},
	}
	all := make([]member.Host, 0, hosts)
	for index := range hosts {
		all = append(all, hostOf(index, centres))
	}
	for _, host := range all {
		nd := &node{Member: member.New(host, member.WithSeeds(all...)), budget: member.NewBudget()}
		nw.nodes = append(nw.nodes, nd)
		nw.byID[host.ID] = nd
	}
	nw.run(settleTime)
	return nw
}

func shardOf(index, centres int) chestnutroad.ShardID {
	id := shard
	id.Pool.Service = chestnutroad.ServiceID(fmt.Sprintf("model-%d", index/centres))
	id.DataCentre = chestnutroad.DataCentreID(fmt.Sprintf("centre-%d", index%centres))
	return id
}

func (nw *network) run(period time.Duration) {
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
	taken, dropped := from.budget.Take(nw.now)
	for _, entry := range dropped {
		item := entry.Value.(delivery)
		from.HandleDropped(nw.now, &item.message)
	}
	for _, entry := range taken {
		nw.post(entry.Value.(delivery))
	}
}

func wireSize(data []byte) int { return len(data) + member.DatagramOverhead + member.UDPOverhead }

func (nw *network) post(item delivery) {
	nw.bytes += wireSize(item.data)
	nw.messages++
	nw.order++
	item.order = nw.order
	item.at = nw.now.Add(time.Duration(500+nw.rnd.IntN(1500)) * time.Microsecond)
	heap.Push(&nw.queue, item)
}

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

// quietRun is what membership costs each host while nothing happens.
type quietRun struct{ bytes, messages, microseconds float64 }

// measure runs the network for quietTime.
func (nw *network) measure() quietRun {
	nw.bytes, nw.messages = 0, 0
	began := time.Now()
	nw.run(quietTime)
	spent := time.Since(began)
	each := quietTime.Seconds() * float64(len(nw.nodes))
	return quietRun{
		bytes:        float64(nw.bytes) / each,
		messages:     float64(nw.messages) / each,
		microseconds: float64(spent.Nanoseconds()) / 1000 / float64(nw.messages),
	}
}

// bytesWithEpochs gives the first shards an owner, lets that spread and measures the traffic after it.
func (nw *network) bytesWithEpochs(shards int) float64 {
	for index := range shards {
		owner := nw.nodes[index%len(nw.nodes)]
		epoch := chestnutroad.Epoch{Millis: start.UnixMilli(), Host: owner.Self().ID}
		owner.ObserveEpoch(shardOf(index, targetCentres), epoch)
	}
	nw.run(spreadTime)
	return nw.measure().bytes
}

// timeOfDeaths stops hosts of one data centre at once.
func (nw *network) timeOfDeaths(centre, count int) (time.Duration, bool) {
	for index := range count {
		nw.nodes[centre+index*targetCentres].down = true
	}
	began := nw.now
	for nw.now.Sub(began) < deathLimit {
		nw.run(time.Second)
		if nw.agreedDead() {
			return nw.now.Sub(began), true
		}
	}
	return deathLimit, false
}

// agreedDead reports whether each running host holds exactly the stopped ones dead.
func (nw *network) agreedDead() bool {
	for _, nd := range nw.nodes {
		if nd.down {
			continue
		}
		for _, other := range nw.nodes {
			view, known := nd.Host(other.Self().ID)
			if !known || (view.State == member.Dead) != other.down {
				return false
			}
		}
	}
	return true
}

func bytesOfPeer(hosts int) float64 {
	return bytesEach(hosts, func() any {
		seeds := make([]member.Host, 0, hosts)
		for index := range hosts {
			seeds = append(seeds, hostOf(index, targetCentres))
		}
		return member.New(seeds[0], member.WithSeeds(seeds...))
	})
}

// payloadSize returns the bytes on the wire of a control message that carries the payload.
func payloadSize(kind member.PayloadKind, payload proto.Message) float64 {
	data, err := proto.Marshal(payload)
	if err != nil {
		return 0
	}
	message := member.Message{Type: member.PayloadMessage, From: hostOf(0, targetCentres), PayloadKind: kind, Payload: data}
	encoded, err := message.Encode()
	if err != nil {
		return 0
	}
	return float64(wireSize(encoded))
}

func bytesOfSummary(targets int) float64 {
	return payloadSize(member.LoadSummary, &hostpb.LoadSummary{
		Service: string(shard.Pool.Service), DataCentre: string(shard.DataCentre),
		EpochMillis: start.UnixMilli(), EpochHost: "host-000", Targets: int64(targets), Work: int64(targets) * 1_600,
		Queued: int64(targets), Drained: int64(targets) * 1_000_000, TakenUnixNanos: start.UnixNano(),
	})
}

func bytesOfException(chats int) float64 {
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
