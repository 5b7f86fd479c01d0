package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callerConns tracks callers' connections, so that idle ones can be closed without losing a request. Server.Shutdown closes
// connections on which the head of a request arrives and is not used.
type callerConns struct {
	mu    sync.Mutex
	conns map[*callerConn]bool
	// lingering is the number of connections that are closed in the background.
	lingering atomic.Int64
}

type connKey struct{}

func newCallerConns() *callerConns { return &callerConns{conns: map[*callerConn]bool{}} }

// connContext is the http.Server.ConnContext hook; it adds the connection to the context of its requests.
func (cc *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState is the http.Server.ConnState hook.
func (cc *callerConns) connState(conn net.Conn, state http.ConnState) {
	cn, ok := conn.(*callerConn)
	if !ok {
		return
	}
	cn.setState(state, time.Now())
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(cc.conns, cn)
		return
	}
	cc.conns[cn] = true
}

// closing reports whether the connection of a request was closed or is being closed. Its request must not be forwarded, since
// the answer would be lost.
func (cc *callerConns) closing(ctx context.Context) bool {
	cn, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && cn.isClosed()
}

// closeIdle closes the connections without a request for longer than the limit, and returns the number of those that stay
// open, or whose close goes on in the background.
func (cc *callerConns) closeIdle(now time.Time, limit time.Duration) int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	open := 0
	for cn := range cc.conns {
		if !cn.closeIfIdle(now, limit) {
			open++
		}
	}
	// Read last, since the server may be closing a connection that counts as closed above.
	return open + int(cc.lingering.Load())
}
