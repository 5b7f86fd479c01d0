package callerconn

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// hookedRawConn calls checked after each check for unread bytes, and counts the attempts to read.
type hookedRawConn struct {
	syscall.RawConn
	checked func()
	reads   atomic.Int64
}

func (hr *hookedRawConn) Control(check func(uintptr)) error {
	err := hr.RawConn.Control(check)
	hr.checked()
	return err
}

func (hr *hookedRawConn) Read(read func(uintptr) bool) error {
	return hr.RawConn.Read(func(fd uintptr) bool {
		hr.reads.Add(1)
		return read(fd)
	})
}

func (hr *hookedRawConn) awaitReads(count int64) {
	for end := time.Now().Add(5 * time.Second); hr.reads.Load() < count && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// TestBytesArriveWhileIdleConnectionIsClosed guards against a host that stops for good when a request arrives just then.
func TestBytesArriveWhileIdleConnectionIsClosed(t *testing.T) {
	t.Parallel()
	near, far := connPair(t)
	hooked := &hookedRawConn{RawConn: near.raw}
	hooked.checked = func() {
		_, _ = far.Write([]byte("POST"))
		hooked.awaitReads(2)
	}
	near.raw = hooked
	pl := NewPool()
	pl.connState(near, http.StateIdle)
	read := make(chan error, 1)
	go func() {
		_, err := near.Read(make([]byte, 4))
		read <- err
	}()
	hooked.awaitReads(1)
	closed := make(chan int, 1)
	go func() { closed <- pl.CloseIdle(time.Now().Add(time.Minute), time.Second) }()
	select {
	case open := <-closed:
		if err := <-read; open != 0 || !errors.Is(err, net.ErrClosed) {
			t.Errorf("%d connections stay open, and the read ended with %v", open, err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the connection was not closed after 10 s")
	}
}

// oneConnListener accepts one connection.
type oneConnListener struct {
	net.Listener
	conns chan net.Conn
}

func (ol *oneConnListener) Close() error { return nil }

func (ol *oneConnListener) Accept() (net.Conn, error) {
	conn, open := <-ol.conns
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// TestNoAnswerOnClosingConnection guards against a 400 to a request that arrives while its new connection is closed as idle.
func TestNoAnswerOnClosingConnection(t *testing.T) {
	t.Parallel()
	near, far := connPair(t)
	pl := NewPool()
	started := make(chan struct{}, 1)
	server := &http.Server{ReadHeaderTimeout: HeaderTimeout, ConnState: func(conn net.Conn, state http.ConnState) {
		pl.connState(conn, state)
		if state == http.StateNew {
			started <- struct{}{}
		}
	}}
	listener := &oneConnListener{conns: make(chan net.Conn, 1)}
	listener.conns <- near
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { close(listener.conns) })
	<-started
	if closed, _ := near.markClosed(time.Now().Add(time.Minute), time.Second); !closed {
		t.Fatal("the connection does not count as idle")
	}
	if _, err := far.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	_ = far.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer := make([]byte, 100)
	if count, err := far.Read(answer); count > 0 || err == nil {
		t.Errorf("got %q", answer[:count])
	}
}
