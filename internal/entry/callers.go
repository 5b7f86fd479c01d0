package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks callers' connections, so that idle ones can be closed without losing a request.
//
// A request may arrive on an idle connection while it is being closed. net/http then still runs its handler, and the
// target's answer would be lost with the connection. A connection is therefore marked before it is closed, and a
// request on a marked connection is not forwarded. Server.Shutdown has no such mark and is not used.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

type callerConn struct {
	state      http.ConnState
	stateSince time.Time
	closed     bool
}

type connKey struct{}

func newCallerConns() *callerConns { return &callerConns{conns: map[net.Conn]*callerConn{}} }

// connContext is the http.Server.ConnContext hook; it adds the connection to the context of its requests.
func (cc *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState is the http.Server.ConnState hook.
func (cc *callerConns) connState(conn net.Conn, state http.ConnState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(cc.conns, conn)
		return
	}
	entry := cc.conns[conn]
	if entry == nil {
		entry = &callerConn{}
		cc.conns[conn] = entry
	}
	entry.state, entry.stateSince = state, time.Now()
}

// closing reports whether the connection of a request was closed or is being closed.
func (cc *callerConns) closing(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	entry := cc.conns[conn]
	return entry == nil || entry.closed
}

// closeIdle closes the connections without a request for longer than the limit, and returns the number of those that stay
// open.
func (cc *callerConns) closeIdle(now time.Time, limit time.Duration) int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	open := 0
	for conn, entry := range cc.conns {
		if entry.closed {
			continue
		}
		if entry.state == http.StateActive || now.Sub(entry.stateSince) <= limit {
			open++
			continue
		}
		entry.closed = true
		_ = conn.Close()
	}
	return open
}
