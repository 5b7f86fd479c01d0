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
)

// smallBody is sent before the answer is read; a larger one is sent beside it, since a target may answer before it has
// read all of a body.
const smallBody = 4 << 10

const (
	// maxStrayAnswers bounds the answers to other requests that are passed over on one connection.
	maxStrayAnswers = 4
	// maxStrayBody bounds the body of an answer that is passed over; a longer one costs more than a new connection.
	maxStrayBody = 64 << 10
)

// Request is one request to a target.
type Request struct {
	Address netip.AddrPort
	Method  string
	// URI is the path and query exactly as the caller sent them.
	URI  string
	Host string
	// Header holds no headers that concern one connection only.
	Header http.Header
	Body   []byte
	// HasBody is true when the caller sent a body, if an empty one.
	HasBody bool
	// Fresh asks for a new connection, Alone for one that carries no other request either before or after this one.
	Fresh bool
	SingleUse bool
	// DialTimeout bounds the time to connect when it is shorter than the pool's; zero leaves that.
	DialTimeout time.Duration
	// Matches reports whether an answer is to this request; others are passed over.
	Matches func(status int, header http.Header) bool
}

// NotSentError says that no byte of the request was sent.
type NotSentError struct{ Cause error }

// Error returns the cause.
func (er *NotSentError) Error() string { return "not sent: " + er.Cause.Error() }

// Unwrap returns the cause.
func (er *NotSentError) Unwrap() error { return er.Cause }

// ErrBadAnswer says that the target sent bytes that are no answer to the request.
var ErrBadAnswer = errors.New("the target sent bytes that are no answer")

// ErrStaleConn marks the failure of a request that was sent on a kept connection which ended before an answer: something
// between the two ends may have lost track of it, and of others.
var ErrStaleConn = errors.New("the kept connection had ended")

// Answer is a target's answer; it must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only when the answer is complete.
	Body io.Reader
	// Reused is true when the answer came on a kept connection.
	Reused bool

	pool     *Pool
	address  netip.AddrPort
	conn     *conn
	written  chan error
	response *http.Response
	stray    bool
	alone    bool
	stop     func() bool
	ended    bool
}

// Exchange sends a request and returns the head of its answer. The end of ctx closes the connection, which most targets
// take as a cancellation.
func (pl *Pool) Exchange(ctx context.Context, rq *Request) (*Answer, error) {
	cn, err := pl.take(ctx, rq)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if ctx.Err() != nil {
		cn.close()
		return nil, &NotSentError{Cause: ctx.Err()}
	}
	an := &Answer{
		pool: pl, address: rq.Address, conn: cn, Reused: cn.reused, alone: rq.SingleUse, written: make(chan error, 1),
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
		}
		return nil, err
	}
	return an, nil
}

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

// send writes the request. The first bytes of a small request go out in one write, so that an error before it means
// that nothing was sent.
func (an *Answer) send(head, body []byte) error {
	if len(body) > smallBody {
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
	// After a partial write the target may still answer, as with a refusal before it has read the body.
	return nil
}

func (an *Answer) readHead(rq *Request) error {
	asked := &http.Request{Method: rq.Method}
	for range maxStrayAnswers {
		an.conn.head.begin()
		resp, err := http.ReadResponse(an.conn.reader, asked) //nolint:bodyclose // Finish or Close ends the connection.
		an.conn.head.end()
		if errors.Is(err, errHeadTooLong) {
			return errors.WithSecondaryError(ErrBadAnswer, err)
		}
		if err != nil {
			return errors.Wrap(err, "answer head")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if rq.Matches(resp.StatusCode, resp.Header) {
			an.response = resp
			an.Status, an.Header, an.Body = resp.StatusCode, resp.Header, resp.Body
			return nil
		}
		// A late second answer to an earlier request stands where this request's answer is due.
		an.stray = true
		_, err = io.CopyN(io.Discard, resp.Body, maxStrayBody)
		if !errors.Is(err, io.EOF) || resp.Close {
			return errors.Wrap(ErrBadAnswer, "an answer to another request")
		}
	}
	return errors.Wrap(ErrBadAnswer, "answers to other requests")
}

// Release keeps the connection for later requests when the answer was read to its end and nothing speaks against it.
func (an *Answer) Release() {
	if an.ended {
		return
	}
	an.ended = true
	if !an.reusable() || !an.stop() {
		an.stop()
		an.conn.close()
		return
	}
	an.conn.keepAlive = keepAliveTime(an.Header.Get("Keep-Alive"))
	an.pool.put(an.address, an.conn)
}

func (an *Answer) reusable() bool {
	select {
	case err := <-an.written:
		if err != nil {
			return false
		}
	default:
		// The target answered before it has read the body; what is sent later on would be taken for the body's rest.
		return false
	}
	return !an.stray && !an.alone && !an.response.Close && an.conn.reader.Buffered() == 0
}

// Close closes the connection.
func (an *Answer) Close() {
	if an.ended {
		return
	}
	an.ended = true
	an.stop()
	an.conn.close()
}
