package targetconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/target"
)

// maxInlineBody limits the body that is sent before the answer is read. A larger one is sent concurrently, since a target
// may answer before it has read the whole body.
const maxInlineBody = 4 << 10

const (
	// maxAnswerHeads limits the heads that are read for one request: those of interim answers, of discarded answers to other
	// requests, and its own.
	maxAnswerHeads = 4
	// maxDiscardedBody limits the body of a discarded answer; reading a longer one costs more than a new connection.
	maxDiscardedBody = 64 << 10
)

// Request is one request to a target.
type Request struct {
	Address netip.AddrPort
	// ID is the id that answers state. A connection on which a request with the same id was answered with an error, such as a
	// refusal, is not reused: the target may send that answer once more.
	ID     string
	Method string
	// URI is the path and query exactly as the caller sent them.
	URI  string
	Host string
	// Header must not contain hop-by-hop headers.
	Header http.Header
	Body   []byte
	// HasBody is true when the caller sent a body, even an empty one.
	HasBody bool
	// Connection is the connection to send the request on; without one, Exchange uses an idle one or opens one.
	Connection *Connection
	// Fresh asks for a new connection, SingleUse for a new one that is not reused after this request either.
	Fresh     bool
	SingleUse bool
	// DialTimeout limits the time to connect if it is shorter than the pool's limit; zero leaves the pool's.
	DialTimeout time.Duration
	// Matches reports whether an answer is to this request; other answers are discarded.
	Matches func(status int, header http.Header) bool
}

// NotSentError is the failure of a request of which no byte was sent.
type NotSentError struct{ Cause error }

// Error returns the text of the cause after "not sent: ".
func (er *NotSentError) Error() string { return "not sent: " + er.Cause.Error() }

// Unwrap returns the cause.
func (er *NotSentError) Unwrap() error { return er.Cause }

// ErrBadAnswer is returned when the target sent something other than a valid answer to the request.
var ErrBadAnswer = errors.New("the target sent no valid answer")

// ErrStaleConn marks the failure of a request that was sent on a reused connection which ended before an answer: the
// network between the two ends may have lost the state of this connection, and of others.
var ErrStaleConn = errors.New("the reused connection had ended")

// ErrActiveConn marks the failure of a request that was sent on a reused connection which had been idle for less than activeTime: it
// is hardly one that had ended as idle before.
var ErrActiveConn = errors.New("a connection in use has ended")

// activeTime is the idle time of a connection below which no target closes it as idle; Keep-Alive timeouts are whole seconds.
const activeTime = time.Second

// Answer is a target's answer; it must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only when the answer is complete.
	Body io.Reader
	// Framed is true when the answer states its length or comes in chunks; any other one ends with the connection.
	Framed bool
	// Reused is true when the answer came on a reused connection.
	Reused bool

	pool    *Pool
	address netip.AddrPort
	conn    *conn
	// written receives the error, or nil, once the request was written.
	written  chan error
	response *http.Response
	// id is the id of the request.
	id string
	// mismatched is true once an answer to another request has arrived.
	mismatched bool
	singleUse  bool
	// stop keeps the end of the context from closing the connection; it returns false when the context has ended before.
	stop func() bool
	// done is true once the answer was released or closed.
	done bool
}

// Exchange sends a request and returns its answer once the head has arrived. When ctx ends, the connection is closed, which
// most targets treat as a cancellation.
func (pl *Pool) Exchange(ctx context.Context, rq *Request) (*Answer, error) {
	if rq.Connection == nil {
		var err error
		if rq.Connection, err = pl.Connect(ctx, rq); err != nil {
			return nil, err
		}
	}
	cn := rq.Connection.conn
	if ctx.Err() != nil {
		cn.close()
		return nil, &NotSentError{Cause: ctx.Err()}
	}
	an := &Answer{
		pool: pl, address: rq.Address, id: rq.ID, conn: cn, Reused: cn.reused, singleUse: rq.SingleUse, written: make(chan error, 1),
		stop: context.AfterFunc(ctx, cn.close),
	}
	head, err := rq.head()
	if err != nil {
		an.Close()
		return nil, &NotSentError{Cause: err}
	}
	if err := an.send(head, rq.Body); err != nil {
		an.Close()
		return nil, err
	}
	if err := an.readHead(rq); err != nil {
		an.Close()
		if an.Reused && ctx.Err() == nil && !errors.Is(err, ErrBadAnswer) {
			pl.CloseIdle(rq.Address)
			err = errors.Mark(err, ErrStaleConn)
			if cn.idleTime < activeTime {
				err = errors.Mark(err, ErrActiveConn)
			}
		}
		return nil, err
	}
	return an, nil
}

// head returns the request line and the headers as they are sent.
func (rq *Request) head() ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(1 << 10)
	buffer.WriteString(rq.Method + " " + rq.URI + " HTTP/1.1\r\nHost: " + rq.Host + "\r\n")
	if rq.HasBody || len(rq.Body) > 0 {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(rq.Body)) + "\r\n")
	}
	if err := rq.Header.Write(&buffer); err != nil {
		return nil, errors.Wrap(err, "request head")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes(), nil
}

// send writes the request. One with a small body goes out in a single write, so that an error with no byte written means that
// nothing was sent.
func (an *Answer) send(head, body []byte) error {
	if len(body) > maxInlineBody {
		go func() {
			_, err := an.conn.Write(head)
			if err == nil {
				_, err = an.conn.Write(body)
			}
			an.written <- err
		}()
		return nil
	}
	count, err := an.conn.Write(append(head, body...))
	an.written <- err
	if err != nil && count == 0 {
		return &NotSentError{Cause: err}
	}
	// After a partial write the target may still answer, for example refuse the request before it has read the body.
	return nil
}

// readHead reads heads until one belongs to a final answer to the request.
func (an *Answer) readHead(rq *Request) error {
	request := &http.Request{Method: rq.Method}
	for range maxAnswerHeads {
		an.conn.head.begin()
		resp, err := http.ReadResponse(an.conn.reader, request) //nolint:bodyclose // Release and Close deal with the connection.
		an.conn.head.end()
		if errors.Is(err, errHeadTooLong) {
			return errors.WithSecondaryError(ErrBadAnswer, err)
		}
		if err != nil {
			return errors.Wrap(err, "answer head")
		}
		if !target.ValidStatus(resp.StatusCode) {
			return errors.Wrapf(ErrBadAnswer, "status %03d", resp.StatusCode)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if rq.Matches(resp.StatusCode, resp.Header) {
			an.response = resp
			an.Status, an.Header, an.Body = resp.StatusCode, resp.Header, resp.Body
			an.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			if !an.Framed {
				an.Body = &unframedBody{answer: an}
			}
			return nil
		}
		// A late second answer to an earlier request arrives before the answer to this one.
		an.mismatched = true
		_, err = io.CopyN(io.Discard, resp.Body, maxDiscardedBody)
		if !errors.Is(err, io.EOF) || resp.Close {
			return errors.Wrap(ErrBadAnswer, "an answer to another request")
		}
	}
	return errors.Wrap(ErrBadAnswer, "answers to other requests")
}

// unframedBody is the body of an answer that ends with its connection.
type unframedBody struct {
	answer *Answer
}

// errResetDuringUpload is the end of an answer without a length whose request was not written to its end.
var errResetDuringUpload = errors.New("the connection ended while the request was being written")

// Read returns io.EOF only once the request has been written. When the target resets the connection, the kernel reports that once: if a
// write of the request gets the error, the read gets an end of the data.
func (ub *unframedBody) Read(data []byte) (int, error) {
	count, err := ub.answer.response.Body.Read(data)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	written := <-ub.answer.written
	ub.answer.written <- written
	if written != nil {
		return count, errors.WithSecondaryError(errResetDuringUpload, written)
	}
	return count, io.EOF
}

// Release returns the connection to the pool if it can be reused, and closes it otherwise. Call it only after the body was
// read to its end.
func (an *Answer) Release() {
	if an.done {
		return
	}
	an.done = true
	if !an.reusable() || !an.stop() {
		an.stop()
		an.conn.close()
		return
	}
	an.conn.keepAlive = keepAliveTime(an.Header.Get("Keep-Alive"))
	if an.Status >= http.StatusBadRequest {
		an.conn.failed = append(an.conn.failed, an.id)
	}
	an.pool.put(an.address, an.conn)
}

func (an *Answer) reusable() bool {
	select {
	case err := <-an.written:
		if err != nil {
			return false
		}
	default:
		// The target answered before the whole body was sent, and would take a later request for the rest of the body.
		return false
	}
	return len(an.conn.failed) < maxFailed && !an.mismatched && !an.singleUse && !an.response.Close && an.conn.buffered() == 0
}

// Close closes the connection, unless it was released.
func (an *Answer) Close() {
	if an.done {
		return
	}
	an.done = true
	an.stop()
	an.conn.close()
}
