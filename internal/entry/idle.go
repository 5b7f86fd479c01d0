package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that have been idle for longer than the configuration in force allows;
// net/http's own limit can't change while it serves.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// changed is net/http's hook for the state of a connection.
func (ic *idleConns) changed(conn net.Conn, state http.ConnState) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if state == http.StateIdle {
		ic.since[conn] = time.Now()
		return
	}
	delete(ic.since, conn)
}

func (ic *idleConns) closeOlder(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for conn, since := range ic.since {
		if now.Sub(since) > limit {
			_ = conn.Close()
			delete(ic.since, conn)
		}
	}
}
