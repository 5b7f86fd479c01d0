package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// conn is an accepted connection that can go silent: it then stays open, but neither receives nor sends data.
type conn struct {
	net.Conn
	owner     *listener
	silent    atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read returns no data if the connection is silent, and blocks until the server is closed.
func (cn *conn) Read(data []byte) (int, error) {
	count, err := cn.Conn.Read(data)
	if cn.silent.Load() {
		<-cn.closed
		return 0, net.ErrClosed
	}
	return count, err
}

// Write discards the data if the connection is silent.
func (cn *conn) Write(data []byte) (int, error) {
	if cn.silent.Load() {
		return len(data), nil
	}
	return cn.Conn.Write(data)
}

// Close closes the connection, unless it is silent: then it stays open until the server is closed.
func (cn *conn) Close() error {
	if cn.silent.Load() {
		return nil
	}
	return cn.forceClose()
}

// forceClose closes the connection even if it is silent.
func (cn *conn) forceClose() error {
	cn.closeOnce.Do(func() { close(cn.closed) })
	cn.owner.remove(cn)
	return cn.Conn.Close()
}

// reset closes the connection with a TCP reset, unless it is silent.
func (cn *conn) reset() {
	if tcp, ok := cn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = cn.Close()
}

// listener tracks the open connections that it accepted, so that they can be made silent.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

func listen(address string) (*listener, error) {
	var config net.ListenConfig
	raw, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: raw, conns: make(map[*conn]struct{})}, nil
}

// Accept waits for the next connection and tracks it.
func (ln *listener) Accept() (net.Conn, error) {
	raw, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: raw, owner: ln, closed: make(chan struct{})}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.conns[cn] = struct{}{}
	return cn, nil
}

func (ln *listener) remove(cn *conn) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	delete(ln.conns, cn)
}

func (ln *listener) openConns() []*conn {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	conns := make([]*conn, 0, len(ln.conns))
	for cn := range ln.conns {
		conns = append(conns, cn)
	}
	return conns
}
