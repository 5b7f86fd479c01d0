package target

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
)

// errSealed is returned to net/http when it tries to write a call that was already reported as not run.
var errSealed = errors.New("the call was given up before its first byte")

// conn records the traffic of a connection, and asks the attempt that uses it before each write.
type conn struct {
	net.Conn
	// shared is true for HTTP/2, where several calls write at the same time.
	shared   bool
	attempt  atomic.Pointer[Attempt]
	received atomic.Int64
	failed   atomic.Bool
	// foreign is true once a peer on an HTTP/2 connection has sent something other than HTTP/2.
	foreign atomic.Bool
}

func newConn(raw net.Conn, shared bool) *conn {
	return &conn{Conn: raw, shared: shared}
}

// Read records how much arrived and whether the peer or the network ended the connection.
func (cn *conn) Read(data []byte) (int, error) {
	count, err := cn.Conn.Read(data)
	if cn.shared && cn.received.Load() == 0 && !startsHTTP2(data[:count]) {
		cn.foreign.Store(true)
	}
	cn.received.Add(int64(count))
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		cn.failed.Store(true)
	}
	return count, err
}

// Write fails on a connection of one call when no attempt owns it or the attempt was sealed.
func (cn *conn) Write(data []byte) (int, error) {
	if cn.shared {
		return cn.Conn.Write(data)
	}
	at := cn.attempt.Load()
	if at == nil || !at.begin() {
		return 0, errSealed
	}
	return cn.Conn.Write(data)
}

// The first frame of an HTTP/2 server is a SETTINGS frame; the type follows the three bytes of the length (RFC 9113,
// sections 3.4 and 4.1).
const (
	frameTypeIndex    = 3
	settingsFrameType = 4
)

// startsHTTP2 reports whether the first bytes from a server may be HTTP/2.
func startsHTTP2(data []byte) bool {
	return len(data) <= frameTypeIndex || data[frameTypeIndex] == settingsFrameType
}
