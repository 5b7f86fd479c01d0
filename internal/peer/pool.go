package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

var errPeerLimit = errors.New("all connections to the host are in use")

// countingConn counts the bytes written, so that a call can tell whether the peer may have received any of it.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write writes to the connection and adds the bytes written to the count.
func (cc *countingConn) Write(data []byte) (int, error) {
	count, err := cc.Conn.Write(data)
	cc.written.Add(int64(count))
	return count, err
}

// pooledConn is a connection that carries one stream at a time.
type pooledConn struct {
	*drpcconn.Conn
	transport *countingConn
	peer      *peerConns
	reused    bool
	idleSince time.Time
}

// peerConns holds the idle connections to one peer; slots has one item for each connection in use and bounds them.
type peerConns struct {
	slots chan struct{}
	idle  []*pooledConn
}

// connPool keeps idle connections for reuse, most recently used first, and closes those that stay idle for too long.
type connPool struct {
	settings *settings
	class    connClass
	dial     func(ctx context.Context, address string, class connClass) (*countingConn, error)

	mu     sync.Mutex
	peers  map[string]*peerConns
	closed bool
}

// connsTo returns the connections to the peer at the address.
func (pl *connPool) connsTo(address string) *peerConns {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	conns := pl.peers[address]
	if conns == nil {
		conns = &peerConns{slots: make(chan struct{}, pl.settings.peerLimit)}
		pl.peers[address] = conns
	}
	return conns
}

// acquire returns an idle connection or dials a new one. At the peer limit it fails at once with errPeerLimit, because
// waiting here would bypass the priorities and shares that the owner applies in its queue.
func (pl *connPool) acquire(ctx context.Context, address string) (*pooledConn, error) {
	conns := pl.connsTo(address)
	select {
	case conns.slots <- struct{}{}:
	default:
		return nil, errPeerLimit
	}
	if conn := pl.popIdle(conns); conn != nil {
		conn.reused = true
		return conn, nil
	}
	transport, err := pl.dial(ctx, address, pl.class)
	if err != nil {
		<-conns.slots
		return nil, err
	}
	return pl.open(transport, conns), nil
}

func (pl *connPool) open(transport *countingConn, conns *peerConns) *pooledConn {
	limit := maxFrame
	if pl.class == classState {
		limit = pl.settings.maxState
	}
	conn := drpcconn.NewWithOptions(transport, drpcconn.Options{Manager: managerOptions(limit)})
	return &pooledConn{Conn: conn, transport: transport, peer: conns}
}

func managerOptions(limit int) drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: drpcWriteBuffer,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: limit},
		Stream:           drpcstream.Options{MaximumBufferSize: drpcStreamBuffer},
	}
}

// popIdle returns the most recently used idle connection that is still open, or nil.
func (pl *connPool) popIdle(conns *peerConns) *pooledConn {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for len(conns.idle) > 0 {
		conn := conns.idle[len(conns.idle)-1]
		conns.idle = conns.idle[:len(conns.idle)-1]
		select {
		case <-conn.Closed():
		default:
			return conn
		}
	}
	return nil
}

// release returns the connection of a call that ended cleanly to the pool, or closes it if enough are idle.
func (pl *connPool) release(conn *pooledConn) {
	<-conn.peer.slots
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.closed || len(conn.peer.idle) >= defaultIdleLimit {
		go func() { _ = conn.Close() }()
		return
	}
	conn.idleSince = time.Now()
	conn.peer.idle = append(conn.peer.idle, conn)
}

// discard closes the connection of a call that failed and frees its slot.
func (pl *connPool) discard(conn *pooledConn) {
	_ = conn.transport.Close()
	_ = conn.Close()
	<-conn.peer.slots
}

// dropIdle closes the idle connections to a peer after another connection to it broke.
func (pl *connPool) dropIdle(address string) { pl.closeIdle(pl.connsTo(address), time.Time{}) }

// expire closes connections that have been idle for longer than the idle timeout.
func (pl *connPool) expire() {
	pl.mu.Lock()
	peers := make([]*peerConns, 0, len(pl.peers))
	for _, conns := range pl.peers {
		peers = append(peers, conns)
	}
	pl.mu.Unlock()
	for _, conns := range peers {
		pl.closeIdle(conns, time.Now().Add(-pl.settings.idleTimeout))
	}
}

// closeIdle closes the idle connections that have been idle since before the given time, or all of them if it is zero.
func (pl *connPool) closeIdle(conns *peerConns, before time.Time) {
	pl.mu.Lock()
	var remaining, expired []*pooledConn
	for _, conn := range conns.idle {
		if before.IsZero() || conn.idleSince.Before(before) {
			expired = append(expired, conn)
		} else {
			remaining = append(remaining, conn)
		}
	}
	conns.idle = remaining
	pl.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

func (pl *connPool) close() {
	pl.mu.Lock()
	pl.closed = true
	pl.mu.Unlock()
	for _, conns := range pl.peers {
		pl.closeIdle(conns, time.Time{})
	}
}
