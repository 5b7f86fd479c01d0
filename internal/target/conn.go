package target

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// errSealed is returned to net/http when it tries to write a call that was already reported as not run.
var errSealed = errors.New("the call was given up before its first byte")

// The place of a frame's type and the type of a settings frame (RFC 9113, sections 4.1 and 6.5).
const (
	frameTypeOffset = 3
	settingsFrame   = 0x4
)

// conn records the traffic of a connection, and asks the attempt that uses it before each write.
type conn struct {
	net.Conn
	// shared is true for HTTP/2, where several calls write at the same time.
	shared   bool
	attempt  atomic.Pointer[Attempt]
	received atomic.Int64
	lastRead atomic.Int64
	failed   atomic.Bool
	// speaksHTTP2 is true once the other side's first frame was one of settings, with which each HTTP/2 server begins.
	speaksHTTP2 atomic.Bool
}

func newConn(raw net.Conn, shared bool) *conn {
	cn := &conn{Conn: raw, shared: shared}
	cn.lastRead.Store(time.Now().UnixNano())
	return cn
}

// Read records how much arrived and whether the peer or the network ended the connection.
func (cn *conn) Read(data []byte) (int, error) {
	count, err := cn.Conn.Read(data)
	if count > 0 {
		cn.checkFirstFrame(data[:count])
		cn.received.Add(int64(count))
		cn.lastRead.Store(time.Now().UnixNano())
	}
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		cn.failed.Store(true)
	}
	return count, err
}

// checkFirstFrame looks at the type of the first frame, which follows its length.
func (cn *conn) checkFirstFrame(data []byte) {
	index := frameTypeOffset - cn.received.Load()
	if cn.shared && index >= 0 && index < int64(len(data)) && data[index] == settingsFrame {
		cn.speaksHTTP2.Store(true)
	}
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

// quietFor returns the time since the last byte arrived.
func (cn *conn) quietFor() time.Duration {
	return time.Duration(time.Now().UnixNano() - cn.lastRead.Load())
}
