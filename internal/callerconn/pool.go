package callerconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Pool tracks callers' connections, so that idle ones can be closed without losing a request. Server.Shutdown closes
// connections on which the head of a request arrives and is not used.
type Pool struct {
	mu    sync.Mutex
	conns map[*Conn]bool
	// lingering is the number of connections that are closed in the background.
	lingering atomic.Int64
}

const (
	// HeaderTimeout bounds the time of a request's head, which may be slow or endless.
	HeaderTimeout = 10 * time.Second
	// DrainIdleTimeout is how long a connection may be idle during a drain, so that callers that send one request after the other
	// keep theirs until an answer carries Connection: close.
	DrainIdleTimeout = 300 * time.Millisecond
	// DrainInterval is the pause between two checks of the connections during a drain.
	DrainInterval = 50 * time.Millisecond
)

type connKey struct{}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{conns: map[*Conn]bool{}} }

// Attach makes a server that serves a Listener register its connections. The server must not close idle ones itself.
func (pl *Pool) Attach(server *http.Server) {
	server.ReadHeaderTimeout = HeaderTimeout
	server.IdleTimeout = 0
	server.ConnState = pl.connState
	server.ConnContext = pl.connContext
}

// connOf returns the connection of a caller, also of one that uses TLS.
func connOf(conn net.Conn) (*Conn, bool) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	cn, ok := conn.(*Conn)
	return cn, ok
}

// connContext is the http.Server.ConnContext hook; it adds the connection to the context of its requests.
func (pl *Pool) connContext(ctx context.Context, conn net.Conn) context.Context {
	cn, _ := connOf(conn)
	return context.WithValue(ctx, connKey{}, cn)
}

// connState is the http.Server.ConnState hook.
func (pl *Pool) connState(conn net.Conn, state http.ConnState) {
	cn, ok := connOf(conn)
	if !ok {
		return
	}
	if secure, ok := conn.(*tls.Conn); ok && state == http.StateNew {
		cn.secure = secure
	}
	cn.setState(state, time.Now())
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(pl.conns, cn)
		return
	}
	pl.conns[cn] = true
}

// Closing reports whether the connection of a request was closed or is being closed. Its request must not be forwarded, since
// the answer would be lost.
func (pl *Pool) Closing(ctx context.Context) bool {
	cn, ok := ctx.Value(connKey{}).(*Conn)
	return ok && cn != nil && cn.isClosed()
}

// CloseIdle closes the connections without a request for longer than the limit, and returns the number of those that stay
// open, or whose close goes on in the background.
func (pl *Pool) CloseIdle(now time.Time, limit time.Duration) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	open := 0
	for cn := range pl.conns {
		if !cn.closeIfIdle(now, limit) {
			open++
		}
	}
	// Read last, since the server may be closing a connection that counts as closed above.
	return open + int(pl.lingering.Load())
}
