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

// readBuffer is larger than a datagram may be, so that oversize ones are seen as such.
const readBuffer = 2 * member.MaxDatagram

// Peer runs a member over a Sender's socket. It is safe for concurrent use.
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

// PeerOption changes a default of a Peer.
type PeerOption func(*Peer)

// WithClock replaces the wall clock and the ticker.
func WithClock(clock func() time.Time, ticks <-chan time.Time) PeerOption {
	return func(pr *Peer) {
		pr.clock = clock
		pr.ticks = ticks
	}
}

// WithOnChange names a function to call, without a lock held, after hosts, leaving machines, epochs or the version
// changed.
func WithOnChange(notify func()) PeerOption { return func(pr *Peer) { pr.onChange = notify } }

// WithOnPayload names a function to call, without a lock held, for each payload that arrives.
func WithOnPayload(receive func(from chestnutroad.HostID, kind member.PayloadKind, data []byte)) PeerOption {
	return func(pr *Peer) { pr.onPayload = receive }
}

// NewPeer returns a peer that runs the member, which must not be used elsewhere from then on.
func NewPeer(mb *member.Member, sender *Sender, opts ...PeerOption) *Peer {
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

// Run drives the member until ctx ends, then closes the socket.
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

func (pr *Peer) read() {
	buffer := make([]byte, readBuffer)
	for {
		count, _, err := pr.sender.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An ICMP error for an earlier datagram to a stopped host shows up here and concerns no other host.
			continue
		}
		pr.receive(buffer[:count])
	}
}

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

// update runs a step of the member, sends what it asks for and reports a change.
func (pr *Peer) update(run func(mb *member.Member, now time.Time) []member.Send) {
	pr.mu.Lock()
	now := pr.clock()
	sends := run(pr.member, now)
	for _, message := range pr.sender.send(sends) {
		pr.member.Unsent(now, &message)
	}
	changed := pr.generation != pr.member.Generation()
	pr.generation = pr.member.Generation()
	pr.mu.Unlock()
	if changed {
		pr.onChange()
	}
}

// Hosts returns all known hosts in order of their ids.
func (pr *Peer) Hosts() []member.HostView {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.Hosts(pr.clock())
}

// Alive returns the hosts of the data centre that may own shards.
func (pr *Peer) Alive(dataCentre chestnutroad.DataCentreID) []chestnutroad.HostID {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.Alive(dataCentre)
}

// Host returns the host of the id.
func (pr *Peer) Host(id chestnutroad.HostID) (member.HostView, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.Host(id)
}

// SetHostList takes in the platform's host list.
func (pr *Peer) SetHostList(list []chestnutroad.ListedHost) {
	pr.update(func(mb *member.Member, now time.Time) []member.Send {
		mb.SetHostList(now, list)
		return nil
	})
}

// Leave announces that this host is leaving.
func (pr *Peer) Leave() {
	pr.update(func(mb *member.Member, now time.Time) []member.Send { return mb.Leave(now) })
}

// AnnounceLeaving tells all hosts that a machine is leaving or no longer leaving.
func (pr *Peer) AnnounceLeaving(name string, leaving bool) {
	pr.update(func(mb *member.Member, now time.Time) []member.Send {
		mb.AnnounceLeaving(now, name, leaving)
		return nil
	})
}

// LeavingMachines returns the names of all machines that are known to be leaving.
func (pr *Peer) LeavingMachines() []string {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.LeavingMachines()
}

// ObserveEpoch takes in and spreads an epoch of a shard.
func (pr *Peer) ObserveEpoch(shard chestnutroad.ShardID, epoch chestnutroad.Epoch) {
	pr.update(func(mb *member.Member, _ time.Time) []member.Send {
		mb.ObserveEpoch(shard, epoch)
		return nil
	})
}

// Epoch returns the highest known epoch of the shard.
func (pr *Peer) Epoch(shard chestnutroad.ShardID) chestnutroad.Epoch {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.Epoch(shard)
}

// ObserveVersion takes in and spreads an accepted configuration version.
func (pr *Peer) ObserveVersion(version chestnutroad.Version, offset chestnutroad.Offset) {
	pr.update(func(mb *member.Member, _ time.Time) []member.Send {
		mb.ObserveVersion(version, offset)
		return nil
	})
}

// Version returns the highest known configuration version and its offset.
func (pr *Peer) Version() (chestnutroad.Version, chestnutroad.Offset) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.member.Version()
}

// SendPayload sends a payload to a host, as far as the budget allows.
func (pr *Peer) SendPayload(to chestnutroad.HostID, kind member.PayloadKind, data []byte) {
	pr.update(func(mb *member.Member, _ time.Time) []member.Send { return mb.Payload(to, kind, data) })
}
