package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// proxy forwards connections to one address and can delay, reset or silence them.
type proxy struct {
	listener net.Listener
	to       netip.AddrPort

	mu     sync.Mutex
	delay  time.Duration
	silent bool
	conns  map[net.Conn]bool
}

func newProxy(to netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The listener ends with close.
	if err != nil {
		return nil, err
	}
	px := &proxy{listener: listener, to: to, conns: map[net.Conn]bool{}}
	go px.accept()
	return px, nil
}

func (px *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(px.listener.Addr().String())
}

func (px *proxy) accept() {
	for {
		near, err := px.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.DialTimeout("tcp", px.to.String(), time.Second) //nolint:noctx // Bounded by its own timeout.
		if err != nil {
			_ = near.Close()
			continue
		}
		px.mu.Lock()
		px.conns[near], px.conns[far] = true, true
		px.mu.Unlock()
		go px.pipe(near, far)
		go px.pipe(far, near)
	}
}

// pipe copies one direction; both end together.
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

// set changes how the connections are disturbed.
func (px *proxy) set(delay time.Duration, silent bool) {
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
