package targetconn

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// TestUnusedConnectionKeepsItsExpiry guards against requests on a connection that its target closes as idle just then.
func TestUnusedConnectionKeepsItsExpiry(t *testing.T) {
	t.Parallel()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	now := time.Now()
	pool := NewPool()
	pool.now = func() time.Time { return now }
	rq := &Request{Address: netip.MustParseAddrPort(listener.Addr().String())}
	first, err := pool.Connect(t.Context(), rq)
	if err != nil {
		t.Fatal(err)
	}
	first.Release()
	now = now.Add(maxIdleTime - time.Second)
	again, err := pool.Connect(t.Context(), rq)
	if err != nil {
		t.Fatal(err)
	}
	again.Release()
	now = now.Add(2 * time.Second)
	late, err := pool.Connect(t.Context(), rq)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(late.Release)
	if late.conn == first.conn {
		t.Errorf("a connection was used %s after its target had last seen a request", maxIdleTime+time.Second)
	}
}
