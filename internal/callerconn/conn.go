package callerconn

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection of a caller that is closed as idle only while no byte of a request has arrived. net/http reports
// a connection as active only once it has read a whole head, which may take long on a slow link or a busy host.
type Conn struct {
	net.Conn
	tcp *net.TCPConn
	raw syscall.RawConn

	// mu is held while bytes are read from the socket and while the connection is found idle, after which none are read, so that a
	// request is either served or remains unread.
	mu         sync.Mutex
	state      http.ConnState
	stateSince time.Time
	// headSince is when the first byte was read since the last answer, or since the connection was accepted; zero when none was.
	headSince time.Time
	closed    bool
	// secure is the TLS connection over this one; nil without TLS.
	secure *tls.Conn
	// lingering counts the connections of the server that are closed in the background.
	lingering *atomic.Int64
}

func newConn(tcp *net.TCPConn, lingering *atomic.Int64) (*Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: tcp, tcp: tcp, raw: raw, lingering: lingering}, nil
}

// Read reads from the socket and records that bytes have arrived.
func (cn *Conn) Read(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	count := 0
	var readErr error
	err := cn.raw.Read(func(fd uintptr) bool {
		count, readErr = cn.readSocket(int(fd), data)
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, cn.readError(err)
	case readErr != nil:
		return 0, cn.readError(readErr)
	case count == 0:
		return 0, io.EOF
	}
	return count, nil
}

// readError returns an error as those of net.TCPConn. net/http answers others with 400, also on a connection that is being closed.
func (cn *Conn) readError(err error) error {
	if opError := (*net.OpError)(nil); errors.As(err, &opError) {
		err = opError.Err
	}
	if errno := syscall.Errno(0); errors.As(err, &errno) {
		err = os.NewSyscallError("read", errno)
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: cn.LocalAddr(), Addr: cn.RemoteAddr(), Err: err}
}

func (cn *Conn) readSocket(fd int, data []byte) (int, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closed {
		return 0, net.ErrClosed
	}
	for {
		count, err := syscall.Read(fd, data)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return 0, err
		}
		if count > 0 && cn.headSince.IsZero() {
			cn.headSince = time.Now()
		}
		return count, nil
	}
}

// SetReadDeadline sets the deadline of reads. The server has no IdleTimeout, so that net/http sets a deadline on an idle connection
// only once it holds the start of the next head, which may have arrived with the request before.
func (cn *Conn) SetReadDeadline(deadline time.Time) error {
	cn.mu.Lock()
	if cn.state == http.StateIdle && !deadline.IsZero() && cn.headSince.IsZero() {
		cn.headSince = time.Now()
	}
	cn.mu.Unlock()
	return cn.tcp.SetReadDeadline(deadline)
}

// CloseWrite sends the end of the data. net/http uses it to wait for the caller before it closes a connection with unread data.
func (cn *Conn) CloseWrite() error { return cn.tcp.CloseWrite() }

const (
	// lingerTime bounds the time in which the bytes of a caller are discarded before its connection is closed: enough for those
	// that were sent before the caller got the end of the answer.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds the bytes that are discarded, since a caller may send without an end.
	lingerBytes = 256 << 10
)

// Close closes the connection. If bytes have arrived that were not read, it only sends the end of the data and discards them in
// the background first: the kernel would reset the connection, and drop what it has not sent of the answer.
func (cn *Conn) Close() error {
	if !cn.hasUnread() {
		return cn.tcp.Close()
	}
	if err := cn.tcp.CloseWrite(); err != nil {
		return errors.CombineErrors(err, cn.tcp.Close())
	}
	cn.lingering.Add(1)
	go func() {
		defer cn.lingering.Add(-1)
		_ = cn.tcp.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, cn.tcp, lingerBytes)
		_ = cn.tcp.Close()
	}()
	return nil
}

func (cn *Conn) setState(state http.ConnState, now time.Time) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.state, cn.stateSince = state, now
	cn.closed = cn.closed || state == http.StateClosed
	if state == http.StateIdle {
		cn.headSince = time.Time{}
	}
}

func (cn *Conn) isClosed() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.closed
}

// closeIfIdle closes the connection if it has been without a request for longer than the limit and none arrives. It
// reports whether the connection is closed.
func (cn *Conn) closeIfIdle(now time.Time, limit time.Duration) bool {
	closed, first := cn.markClosed(now, limit)
	switch {
	case !first:
	case cn.secure != nil:
		cn.lingering.Add(1)
		go func() {
			defer cn.lingering.Add(-1)
			// A caller that doesn't read may hold up the alert that tells it of the close.
			_ = cn.secure.CloseWrite()
			_ = cn.tcp.Close()
		}()
	default:
		// Bytes that arrive now stay unread, so that the caller can tell that its request was not read. The lock is not held,
		// because Close waits for a read that waits for the lock.
		_ = cn.tcp.Close()
	}
	return closed
}

// markClosed ends all further reads if the connection is idle, and reports whether it is closed, and whether by this call. One
// that the server has closed may still send the end of an answer.
func (cn *Conn) markClosed(now time.Time, limit time.Duration) (closed, first bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closed {
		return true, false
	}
	cn.closed = cn.state != http.StateActive && !cn.hasHead(now) && now.Sub(cn.stateSince) > limit && !cn.hasUnread()
	return cn.closed, cn.closed
}

// hasHead reports whether a head is being received. net/http waits without a limit for the fourth byte of a further request, which
// never comes from a caller that ends a body with a line.
func (cn *Conn) hasHead(now time.Time) bool {
	return !cn.headSince.IsZero() && now.Sub(cn.headSince) <= HeaderTimeout
}

// hasUnread reports whether bytes have arrived that were not read from the socket, as on a host that is short of processor time.
func (cn *Conn) hasUnread() bool {
	count := 0
	err := cn.raw.Control(func(fd uintptr) {
		var one [1]byte
		count, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && count > 0
}
