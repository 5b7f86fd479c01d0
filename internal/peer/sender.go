package peer

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
)

// keepAliveSize is the size of a keep-alive frame on the wire in bytes: the message, drpc's framing and the TCP headers.
const keepAliveSize = 2 + 6 + member.TCPOverhead

// Sender sends all control traffic of a host. It owns the datagram socket, authenticates and counts each message and
// enforces the control budget.
type Sender struct {
	key      []byte
	self     chestnutroad.HostID
	conn     *net.UDPConn
	clock    func() time.Time
	metrics  *metrics.Set
	counters *controlCounters

	mu        sync.Mutex
	budget    *member.Budget
	lastStamp int64
}

// outgoing is a message queued in the budget.
type outgoing struct {
	to      member.Host
	message member.Message
	data    []byte
}

// SenderOption changes a default of a Sender.
type SenderOption func(*Sender)

// WithBudget replaces the default control budget.
func WithBudget(budget *member.Budget) SenderOption { return func(sn *Sender) { sn.budget = budget } }

// WithSenderClock replaces the wall clock.
func WithSenderClock(clock func() time.Time) SenderOption {
	return func(sn *Sender) { sn.clock = clock }
}

// WithSenderMetrics sets the metrics set in which the counters are registered.
func WithSenderMetrics(set *metrics.Set) SenderOption { return func(sn *Sender) { sn.metrics = set } }

// ListenControl opens the datagram socket of the host self and returns its Sender. Other hosts use one address for the
// socket and the drpc listener, so both must have the same port.
func ListenControl(
	address string, self chestnutroad.HostID, key []byte, opts ...SenderOption,
) (*Sender, error) {
	if len(key) < minClusterKeySize {
		return nil, errShortKey
	}
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse control address")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	sender := &Sender{
		key:     key,
		self:    self,
		conn:    conn,
		clock:   time.Now,
		metrics: metrics.NewSet(),
		budget:  member.NewBudget(),
	}
	for _, opt := range opts {
		opt(sender)
	}
	sender.counters = newControlCounters(sender.metrics)
	return sender, nil
}

// Address returns the local address of the socket.
func (sn *Sender) Address() netip.AddrPort { return sn.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket.
func (sn *Sender) Close() error { return sn.conn.Close() }

// send queues the messages, sends those that the budget allows now and returns those that it dropped.
func (sn *Sender) send(sends []member.Send) []member.Message {
	sn.mu.Lock()
	defer sn.mu.Unlock()
	now := sn.clock()
	for index := range sends {
		sn.enqueue(now, &sends[index])
	}
	taken, dropped := sn.budget.Take(now)
	for _, entry := range taken {
		sn.write(now, entry.Value.(*outgoing))
	}
	unsent := make([]member.Message, 0, len(dropped))
	for _, entry := range dropped {
		unsent = append(unsent, entry.Value.(*outgoing).message)
	}
	for priority := range member.Priority(member.PriorityCount) {
		sn.counters.update(priority, sn.budget.Counts(priority))
	}
	return unsent
}

// enqueue encodes a message and offers it to the budget.
func (sn *Sender) enqueue(now time.Time, out *member.Send) {
	data, err := out.Message.Encode()
	if err != nil {
		sn.counters.unsendable.Inc()
		return
	}
	size := macSize + stampSize + len(data) + member.UDPOverhead
	value := &outgoing{to: out.To, message: out.Message, data: data}
	sn.budget.Offer(now, member.BudgetEntry{Priority: out.Priority, Size: size, Value: value})
}

// write sends a datagram. Failures are only counted, because the membership protocol tolerates lost datagrams.
func (sn *Sender) write(now time.Time, out *outgoing) {
	address, err := netip.ParseAddrPort(out.to.PeerAddress)
	if err != nil {
		sn.counters.unsendable.Inc()
		return
	}
	sn.lastStamp = max(sn.lastStamp+1, now.UnixNano())
	if _, err := sn.conn.WriteToUDPAddrPort(seal(sn.key, out.to.ID, sn.lastStamp, out.data), address); err != nil {
		sn.counters.unsendable.Inc()
	}
}

// CountKeepAlive counts a keep-alive frame on a stream and charges it to the budget. The frame itself is never delayed,
// since a missing one would break the stream. It does nothing on a nil Sender.
func (sn *Sender) CountKeepAlive() {
	if sn == nil {
		return
	}
	sn.mu.Lock()
	defer sn.mu.Unlock()
	sn.budget.Debit(sn.clock(), keepAliveSize)
	sn.counters.keepAliveBytes.Add(keepAliveSize)
}
