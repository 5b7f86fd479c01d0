package targetconn

import (
	"bufio"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn is one connection to a target; it carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	head   *headLimit
	// expires is the time from which the idle connection is no longer reused.
	expires time.Time
	// keepAlive is the Keep-Alive timeout that the target stated, or zero.
	keepAlive time.Duration
	reused    bool
	// usedAt is when the last answer on the connection ended, and idleTime the time from then until its reuse.
	usedAt   time.Time
	idleTime time.Duration
	// failed are the ids of the requests on this connection that were answered with an error.
	failed []string
}

// maxFailed is the number of requests answered with an error after which a connection is not reused, which limits failed.
const maxFailed = 64

// mayRepeat reports whether a copy of an earlier answer on this connection could be taken for the answer to the request with
// the id.
func (cn *conn) mayRepeat(id string) bool { return slices.Contains(cn.failed, id) }

func newConn(raw net.Conn) *conn {
	limit := &headLimit{conn: raw}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(limit, readBufferSize), head: limit}
}

// buffered returns the number of bytes that were received and not yet read.
func (cn *conn) buffered() int { return cn.reader.Buffered() + len(cn.head.rest) }

func (cn *conn) close() { _ = cn.Close() }

// usable reports whether an idle connection is still open and has no unread bytes, which would belong to no request. A
// connection without a file descriptor counts as open.
func (cn *conn) usable() bool {
	if cn.buffered() > 0 {
		return false
	}
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// keepAliveTime returns the timeout in a Keep-Alive header, or zero without one.
func keepAliveTime(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
