package targetconn

import (
	"bytes"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes limits each head of an answer, interim or final: a target may send bytes without end, which http.ReadResponse
	// would keep in memory. The limit for callers' requests is the same.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines of a head. Each header takes some 150 bytes of memory beside its text, so that a head of
	// maxHeadBytes with headers of three bytes would take 1 MB.
	maxHeadLines = 256
)

var errHeadTooLong = errors.New("the answer head is too long")

// headLimit reads from a connection and fails once a head exceeds maxHeadBytes or maxHeadLines.
type headLimit struct {
	conn net.Conn
	// bytes and lines are what the head may still have while limited is true.
	bytes, lines int
	limited      bool
	// rest holds bytes that were received after the last line that the head may have. They belong to the body if the head has
	// ended before.
	rest []byte
}

// begin starts to count the bytes and lines of a head; end stops the count.
func (hl *headLimit) begin() { hl.bytes, hl.lines, hl.limited = maxHeadBytes, maxHeadLines, true }

func (hl *headLimit) end() { hl.limited = false }

// Read reads from the connection; it fails with errHeadTooLong once a limit is reached.
func (hl *headLimit) Read(data []byte) (int, error) {
	if hl.limited && (hl.bytes <= 0 || hl.lines <= 0) {
		return 0, errHeadTooLong
	}
	count, err := 0, error(nil)
	if len(hl.rest) > 0 {
		count = copy(data, hl.rest)
		hl.rest = hl.rest[count:]
	} else {
		count, err = hl.conn.Read(data)
	}
	if !hl.limited {
		return count, err
	}
	allowed := hl.countLines(data[:count])
	hl.bytes -= allowed
	if allowed < count {
		hl.rest = append(bytes.Clone(data[allowed:count]), hl.rest...)
		// The connection returns its error again after the rest.
		err = nil
	}
	return allowed, err
}

// countLines counts the lines in data and returns the number of bytes up to the end of the last line that the head may have.
func (hl *headLimit) countLines(data []byte) int {
	for position := 0; ; {
		index := bytes.IndexByte(data[position:], '\n')
		if index < 0 {
			return len(data)
		}
		position += index + 1
		if hl.lines--; hl.lines <= 0 {
			return position
		}
	}
}
