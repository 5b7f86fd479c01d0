package soak

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
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
// ends the other direction too.
func (px *proxy) pipe(from, to net.Conn, forwarded func(data []byte)) {
	buffer := make([]byte, 4<<10)
	for {
		count, err := from.Read(buffer)
		px.mu.Lock()
		delay, silent := px.delay, px.silent
		px.mu.Unlock()
		time.Sleep(delay)
		if count > 0 && !silent {
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
