package soak

import (
	"net"
	"net/netip"
	"sync"
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
}

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
		go px.pipe(downstream, upstream)
		go px.pipe(upstream, downstream)
	}
}

// pipe copies one direction of a connection. It closes both sides when either of them ends, which ends the other direction too.
func (px *proxy) pipe(from, to net.Conn) {
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
