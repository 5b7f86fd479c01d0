package soak

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// proxy forwards TCP connections to one address, and can delay the data, discard it or reset the connections.
type proxy struct {
	listener net.Listener
	upstream netip.AddrPort

	mu     sync.Mutex
	delay  time.Duration
	silent bool
	conns  map[net.Conn]bool
	// listReadAt is when the last answer to a read of the list of targets was forwarded.
	listReadAt time.Time
}

// listRead is part of the request line of each read of the list of targets.
var listRead = []byte("topic=keyed.servers")

// newProxy starts a proxy on a free loopback port.
func newProxy(upstream netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The close method closes the listener.
	if err != nil {
		return nil, err
	}
	px := &proxy{listener: listener, upstream: upstream, conns: map[net.Conn]bool{}}
	go px.accept()
	return px, nil
}

func (px *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(px.listener.Addr().String())
}

func (px *proxy) accept() {
	for {
		downstream, err := px.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.DialTimeout("tcp", px.upstream.String(), time.Second) //nolint:noctx // Bounded by its own timeout.
		if err != nil {
			_ = downstream.Close()
			continue
		}
		px.mu.Lock()
		px.conns[downstream], px.conns[upstream] = true, true
		px.mu.Unlock()
		readsList := &atomic.Bool{}
		go px.pipe(downstream, upstream, func(data []byte) {
			if bytes.Contains(data, listRead) {
				readsList.Store(true)
			}
		})
		go px.pipe(upstream, downstream, func([]byte) {
			if readsList.Swap(false) {
				px.mu.Lock()
				px.listReadAt = time.Now()
				px.mu.Unlock()
			}
		})
	}
}

// awaitListRead waits for the next answer to a read of the list of targets, and returns false if none comes within the limit.
func (px *proxy) awaitListRead(limit time.Duration) bool {
	started := time.Now()
	for end := started.Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		px.mu.Lock()
		at := px.listReadAt
		px.mu.Unlock()
		if at.After(started) {
			return true
		}
	}
	return false
}

// pipe copies one direction of a connection and calls forwarded with the data. It closes both sides when either of them ends, which
// ends the other direction too. Once data was discarded, no later data of the connection arrives, as TCP delivers in order.
func (px *proxy) pipe(from, to net.Conn, forwarded func(data []byte)) {
	buffer := make([]byte, 4<<10)
	discarded := false
	for {
		count, err := from.Read(buffer)
		px.mu.Lock()
		delay := px.delay
		discarded = discarded || px.silent && count > 0
		px.mu.Unlock()
		time.Sleep(delay)
		if count > 0 && !discarded {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				break
			}
			forwarded(buffer[:count])
		}
		if err != nil {
			break
		}
	}
	px.mu.Lock()
	defer px.mu.Unlock()
	for _, conn := range []net.Conn{from, to} {
		_ = conn.Close()
		delete(px.conns, conn)
	}
}

// setFaults sets the delay before each write, and whether all data is discarded; both apply to open and new connections.
func (px *proxy) setFaults(delay time.Duration, silent bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.delay, px.silent = delay, silent
}

// reset resets all open connections.
func (px *proxy) reset() {
	px.mu.Lock()
	defer px.mu.Unlock()
	for conn := range px.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (px *proxy) close() {
	_ = px.listener.Close()
	px.reset()
}

// TestProxyDeliversInOrder guards against a proxy that forwards data after it has discarded earlier data of the connection, which looks like
// a host that loses a part of an answer.
func TestProxyDeliversInOrder(t *testing.T) {
	t.Parallel()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	px, err := newProxy(netip.MustParseAddrPort(listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(px.close)
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", px.address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	upstream, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = upstream.Close() })
	for _, part := range []struct {
		text   string
		silent bool
	}{{"a", false}, {"b", true}, {"c", false}} {
		px.setFaults(0, part.silent)
		if _, err := io.WriteString(upstream, part.text); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	_ = upstream.Close()
	if got, _ := io.ReadAll(caller); string(got) != "a" {
		t.Errorf("got %q, want %q", got, "a")
	}
}
