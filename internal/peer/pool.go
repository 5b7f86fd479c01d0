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

// countingConn counts the bytes written, by which a call knows whether the peer can have seen any of it.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write writes to the connection and counts what was written.
func (cc *countingConn) Write(data []byte) (int, error) {
	count, err := cc.Conn.Write(data)
	cc.written.Add(int64(count))
	return count, err
}

// pooledConn is a connection that carries one stream at a time.
type pooledConn struct {
	*drpcconn.Conn
	transport *countingConn
	peer     *peerConns
	reused    bool
	idleSince time.Time
}

// peerConns holds the connections to one peer; slots has one item for each one in use.
type peerConns struct {
	slots chan struct{}
	idle  []*pooledConn
}

// connPool keeps connections for reuse, the latest used first, and closes those that stay unused.
type connPool struct {
	settings *settings
	class    connClass
	dial     func(ctx context.Context, address string, class connClass) (*countingConn, error)

	mu     sync.Mutex
	peers  map[string]*peerConns
	closed bool
}

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

// acquire returns an idle connection or a new one. It does not wait when the peer has as many as allowed: a queue here would
// pass over the owner's priorities and shares.
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

// release keeps the connection of a call that ended cleanly.
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

// discard closes the connection of a call that broke.
func (pl *connPool) discard(conn *pooledConn) {
	_ = conn.transport.Close()
	_ = conn.Close()
	<-conn.peer.slots
}

// dropIdle closes the idle connections to a peer, of which one broke.
func (pl *connPool) dropIdle(address string) { pl.closeIdle(pl.connsTo(address), time.Time{}) }

// expire closes connections that have been idle for too long.
func (pl *connPool) expire() {
	pl.mu.Lock()
	all := make([]*peerConns, 0, len(pl.peers))
	for _, conns := range pl.peers {
		all = append(all, conns)
	}
	pl.mu.Unlock()
	for _, conns := range all {
		pl.closeIdle(conns, time.Now().Add(-pl.settings.idleTimeout))
	}
}

// closeIdle closes the idle connections that were last used before the given time, or all of them for the zero time.
func (pl *connPool) closeIdle(conns *peerConns, before time.Time) {
	pl.mu.Lock()
	var kept, dropped []*pooledConn
	for _, conn := range conns.idle {
		if before.IsZero() || conn.idleSince.Before(before) {
			dropped = append(dropped, conn)
		} else {
			kept = append(kept, conn)
		}
	}
	conns.idle = kept
	pl.mu.Unlock()
	for _, conn := range dropped {
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
