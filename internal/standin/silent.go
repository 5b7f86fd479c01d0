package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// conn is an accepted connection that can go silent: it then neither delivers nor sends a byte and stays open.
type conn struct {
	net.Conn
	owner  *listener
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read blocks until the connection is closed once it is silent.
func (cn *conn) Read(data []byte) (int, error) {
	count, err := cn.Conn.Read(data)
	if cn.silent.Load() {
		<-cn.closed
		return 0, net.ErrClosed
	}
	return count, err
}

// Write drops the data once the connection is silent.
func (cn *conn) Write(data []byte) (int, error) {
	if cn.silent.Load() {
		return len(data), nil
	}
	return cn.Conn.Write(data)
}

// Close closes the connection; a silent one stays open until the server closes.
func (cn *conn) Close() error {
	if cn.silent.Load() {
		return nil
	}
	return cn.end()
}

func (cn *conn) end() error {
	cn.once.Do(func() { close(cn.closed) })
	cn.owner.forget(cn)
	return cn.Conn.Close()
}

// reset closes the connection so that the peer receives a TCP reset.
func (cn *conn) reset() {
	if tcp, ok := cn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = cn.Close()
}

// listener keeps the accepted connections so that all of them can go silent.
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

// Accept wraps the next connection.
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

func (ln *listener) forget(cn *conn) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	delete(ln.conns, cn)
}

func (ln *listener) open() []*conn {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	conns := make([]*conn, 0, len(ln.conns))
	for cn := range ln.conns {
		conns = append(conns, cn)
	}
	return conns
}
