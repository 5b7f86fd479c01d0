package target

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
)

// errSealed is returned to net/http when it writes a call that was already reported as not run.
var errSealed = errors.New("the call was abandoned before its first byte was written")

// conn counts the bytes received on a connection and records its failure. Over HTTP/1.1 each write marks the attempt that uses
// the connection as written, and fails if the attempt is sealed.
type conn struct {
	net.Conn
	// multiplexed is true for HTTP/2, where several calls write at the same time.
	multiplexed bool
	attempt     atomic.Pointer[Attempt]
	received    atomic.Int64
	failed      atomic.Bool
	// notHTTP2 is true once the peer of a multiplexed connection has sent something other than HTTP/2.
	notHTTP2 atomic.Bool
}

func newConn(raw net.Conn, multiplexed bool) *conn {
	return &conn{Conn: raw, multiplexed: multiplexed}
}

// Read counts the received bytes and records an error caused by the peer or the network, that is, neither a local close nor
// a deadline.
func (cn *conn) Read(data []byte) (int, error) {
	count, err := cn.Conn.Read(data)
	if cn.multiplexed && cn.received.Load() == 0 && !startsHTTP2(data[:count]) {
		cn.notHTTP2.Store(true)
	}
	cn.received.Add(int64(count))
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		cn.failed.Store(true)
	}
	return count, err
}

// Write fails on a connection that is not multiplexed when it has no attempt or its attempt is sealed.
func (cn *conn) Write(data []byte) (int, error) {
	if cn.multiplexed {
		return cn.Conn.Write(data)
	}
	at := cn.attempt.Load()
	if at == nil || !at.markWritten() {
		return 0, errSealed
	}
	return cn.Conn.Write(data)
}

// The first frame from an HTTP/2 server is a SETTINGS frame; a frame starts with three bytes of length, followed by its
// type (RFC 9113, sections 3.4 and 4.1).
const (
	frameTypeIndex    = 3
	settingsFrameType = 4
)

// startsHTTP2 reports whether data, the first bytes from a server, can be HTTP/2; too few bytes to tell count as HTTP/2.
func startsHTTP2(data []byte) bool {
	return len(data) <= frameTypeIndex || data[frameTypeIndex] == settingsFrameType
}
