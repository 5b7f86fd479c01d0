package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
)

// readBuffer is larger than the maximum datagram in bytes, so that oversize datagrams are detected rather than truncated.
const readBuffer = 2 * member.MaxDatagram

// Peer runs the membership protocol of a host over a Sender's socket. It is safe for concurrent use.
type Peer struct {
	sender    *Sender
	clock     func() time.Time
	ticks     <-chan time.Time
	onChange  func()
	onPayload func(from chestnutroad.HostID, kind member.PayloadKind, data []byte)

	mu         sync.Mutex
	member     *member.Member
	rnd        *rand.Rand
	opener     opener
	generation uint64
}

// RunOption changes a default of a Peer.
type RunOption func(*Peer)

// WithClock replaces the wall clock and the ticker that drives the member.
func WithClock(clock func() time.Time, ticks <-chan time.Time) RunOption {
	return func(pr *Peer) {
		pr.clock = clock
		pr.ticks = ticks
	}
}

// WithOnChange sets a function that is called, without a lock held, after a change of hosts, leaving machines, epochs or
// the configuration version.
func WithOnChange(notify func()) RunOption { return func(pr *Peer) { pr.onChange = notify } }

// WithOnPayload sets a function that is called, without a lock held, for each payload received.
func WithOnPayload(receive func(from chestnutroad.HostID, kind member.PayloadKind, data []byte)) RunOption {
	return func(pr *Peer) { pr.onPayload = receive }
}

// NewPeer returns a peer that runs the member. The caller must not use the member afterwards.
func NewPeer(mb *member.Member, sender *Sender, opts ...RunOption) *Peer {
	peer := &Peer{
		sender:    sender,
		clock:     time.Now,
		onChange:  func() {},
		onPayload: func(chestnutroad.HostID, member.PayloadKind, []byte) {},
		member:    mb,
		rnd:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		opener:    opener{key: sender.key, self: mb.Self().ID, seen: map[chestnutroad.HostID]*stampWindow{}},
	}
	for _, opt := range opts {
		opt(peer)
	}
	return peer
}

// Run runs the member until ctx ends, then closes the socket. It returns an error if the socket is closed before that.
func (pr *Peer) Run(ctx context.Context) error {
	ticks := pr.ticks
	if ticks == nil {
		ticker := time.NewTicker(member.TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		pr.read()
	}()
	for {
		select {
		case <-ticks:
			pr.update(func(mb *member.Member, now time.Time) []member.Send { return mb.Tick(now, pr.rnd) })
		case <-closed:
			return errors.Wrap(net.ErrClosed, "control socket")
		case <-ctx.Done():
			err := pr.sender.Close()
			<-closed
			return errors.Wrap(err, "control socket")
		}
	}
}

// read receives datagrams until the socket is closed.
func (pr *Peer) read() {
	buffer := make([]byte, readBuffer)
	for {
		count, _, err := pr.sender.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The socket reports ICMP errors for earlier datagrams to a stopped host here; other hosts are not affected.
			continue
		}
		pr.receive(buffer[:count])
	}
}

// receive verifies a datagram and passes its message to the member, and a payload also to onPayload.
func (pr *Peer) receive(datagram []byte) {
	pr.mu.Lock()
	message, rejected := pr.opener.open(pr.clock(), datagram)
	pr.mu.Unlock()
	if rejected != "" {
		pr.sender.counters.rejected[rejected].Inc()
		return
	}
	pr.sender.counters.received.Inc()
	pr.update(func(mb *member.Member, now time.Time) []member.Send {
		return mb.Receive(now, message.From.ID, message)
	})
	if message.Type == member.PayloadMessage {
		pr.onPayload(message.From.ID, message.PayloadKind, message.Payload)
	}
}

// update runs one step of the member, sends the resulting messages and calls onChange if the member's state changed.
func (pr *Peer) update(run func(mb *member.Member, now time.Time) []member.Send) {
	pr.mu.Lock()
	now := pr.clock()
	sends := run(pr.member, now)
	for _, message := range pr.sender.send(sends) {
		pr.member.HandleDropped(now, &message)
	}
	changed := pr.generation != pr.member.Generation()
	pr.generation = pr.member.Generation()
	pr.mu.Unlock()
	if changed {
		pr.onChange()
	}
}

// Hosts returns all hosts in the membership, sorted by id.
func (pr *Peer) Hosts() []member.HostView {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.Hosts(pr.clock())
}

// EligibleOwners returns the ids of the hosts in the data centre that may own shards.
func (pr *Peer) EligibleOwners(dataCentre chestnutroad.DataCentreID) []chestnutroad.HostID {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.EligibleOwners(dataCentre)
}

// Host returns the host with the id, and whether the membership has it.
func (pr *Peer) Host(id chestnutroad.HostID) (member.HostView, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.Host(id)
}

// SetHostList updates the membership from the platform's host list.
func (pr *Peer) SetHostList(list []chestnutroad.ListedHost) {
	pr.update(func(mb *member.Member, now time.Time) []member.Send {
		mb.SetHostList(now, list)
		return nil
	})
}

// Leave announces to the other hosts that this host is leaving.
func (pr *Peer) Leave() {
	pr.update(func(mb *member.Member, now time.Time) []member.Send { return mb.Leave(now) })
}

// AnnounceLeaving announces to all hosts whether the named machine is leaving.
func (pr *Peer) AnnounceLeaving(name string, leaving bool) {
	pr.update(func(mb *member.Member, now time.Time) []member.Send {
		mb.AnnounceLeaving(now, name, leaving)
		return nil
	})
}

// LeavingMachines returns the names of the machines that were announced as leaving.
func (pr *Peer) LeavingMachines() []string {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.LeavingMachines()
}

// ObserveEpoch records an epoch of a shard and gossips it to the other hosts.
func (pr *Peer) ObserveEpoch(shard chestnutroad.ShardID, epoch chestnutroad.Epoch) {
	pr.update(func(mb *member.Member, _ time.Time) []member.Send {
		mb.ObserveEpoch(shard, epoch)
		return nil
	})
}

// Epoch returns the highest epoch of the shard observed here or received from other hosts.
func (pr *Peer) Epoch(shard chestnutroad.ShardID) chestnutroad.Epoch {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.Epoch(shard)
}

// ObserveVersion records an accepted configuration version and gossips it to the other hosts.
func (pr *Peer) ObserveVersion(version chestnutroad.Version, offset chestnutroad.Offset) {
	pr.update(func(mb *member.Member, _ time.Time) []member.Send {
		mb.ObserveVersion(version, offset)
		return nil
	})
}

// Version returns the highest configuration version observed here or received from other hosts, and its log offset.
func (pr *Peer) Version() (chestnutroad.Version, chestnutroad.Offset) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.Version()
}

// SendPayload sends a payload to a host; the control budget may delay or drop it.
func (pr *Peer) SendPayload(to chestnutroad.HostID, kind member.PayloadKind, data []byte) {
	pr.update(func(mb *member.Member, _ time.Time) []member.Send { return mb.Payload(to, kind, data) })
}
