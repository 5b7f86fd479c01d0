package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns follows callers' connections, so that idle ones can be closed without losing a request.
//
// A request may arrive on an idle connection while it is being closed. net/http then still runs its handler, and the
// target's answer would be lost with the connection. A connection is therefore marked before it is closed, and a
// request on a marked one is not passed on. Server.Shutdown has no such mark, so that it isn't used.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

type callerConn struct {
	state  http.ConnState
	stateSince  time.Time
	closed bool
}

type connKey struct{}

func newCallerConns() *callerConns { return &callerConns{conns: map[net.Conn]*callerConn{}} }

// connContext puts a connection into the connContext of its requests.
func (cc *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState is net/http's hook for the state of a connection.
func (cc *callerConns) connState(conn net.Conn, state http.ConnState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(cc.conns, conn)
		return
	}
	known := cc.conns[conn]
	if known == nil {
		known = &callerConn{}
		cc.conns[conn] = known
	}
	known.state, known.stateSince = state, time.Now()
}

// closing reports whether the connection of a request is being closed.
func (cc *callerConns) closing(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	known := cc.conns[conn]
	return known == nil || known.closed
}

// closeIdle closes the connections that have carried no request for longer than the limit, and returns the number of
// those that stay open.
func (cc *callerConns) closeIdle(now time.Time, limit time.Duration) int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	open := 0
	for conn, known := range cc.conns {
		if known.closed {
			continue
		}
		if known.state == http.StateActive || now.Sub(known.stateSince) <= limit {
			open++
			continue
		}
		known.closed = true
		_ = conn.Close()
	}
	return open
}
