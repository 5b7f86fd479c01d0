package callerconn

import (
	"net"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// AcceptTimeout bounds the time for which a draining host goes on to accept the connections that wait in its queue.
	AcceptTimeout = 500 * time.Millisecond
	// acceptPoll is the pause between two checks of the queue, in which the server accepts what waits.
	acceptPoll = time.Millisecond
)

// Listener accepts connections as Conn.
type Listener struct {
	net.Listener
	raw  syscall.RawConn
	pool *Pool
}

// NewListener returns a listener that accepts the connections of a TCP listener for the pool.
func NewListener(listener net.Listener, pool *Pool, logger *log.Logger) (*Listener, error) {
	sc, ok := listener.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("a %T has no file descriptor", listener)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: NewRetryListener(listener, logger), raw: raw, pool: pool}, nil
}

// Accept waits for the next connection.
func (cl *Listener) Accept() (net.Conn, error) {
	conn, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, errors.Newf("a connection is a %T, want TCP", conn)
	}
	return newConn(tcp, &cl.pool.lingering)
}

// CloseWhenEmpty closes the listener once no connection waits to be accepted, or the limit has passed. The kernel resets
// connections that wait when a listener is closed, with the requests that they carry.
func (cl *Listener) CloseWhenEmpty(limit time.Duration) {
	for end := time.Now().Add(limit); cl.hasWaiting() && time.Now().Before(end); {
		time.Sleep(acceptPoll)
	}
	_ = cl.Close()
}

// hasWaiting reports whether a connection waits to be accepted.
func (cl *Listener) hasWaiting() bool {
	count := 0
	err := cl.raw.Control(func(fd uintptr) {
		count, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && count > 0
}
