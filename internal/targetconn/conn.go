package targetconn

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn is one connection to a target; it carries one exchange at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	expires   time.Time
	keepAlive time.Duration
	reused    bool
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
}

func (cn *conn) close() { _ = cn.Close() }

// quiet reports whether an idle connection is open and carries no bytes that belong to no request.
func (cn *conn) quiet() bool {
	if cn.reader.Buffered() > 0 {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// keepAliveTime returns the time that a Keep-Alive header states, or zero.
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
