package engine

import (
	"context"
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

// Client sends calls, polls and orders to one engine.
type Client struct {
	address     string
	limits      target.Timeouts
	pingAfter   time.Duration
	pingTimeout time.Duration
	pollTimeout time.Duration
	eventLimit  int
	answerLimit int64
	shared      *http.Transport
	exclusive   *http.Transport
}

var _ chestnutroad.Target = (*Client)(nil)

var (
	errWrongRequest  = fmt.Errorf("%w: it carries the id of another request", target.ErrBadAnswer)
	errInvalidStatus = fmt.Errorf("%w: the status is none of HTTP", target.ErrBadAnswer)
	errNotResumed    = fmt.Errorf("%w: the engine did not resume at the requested token", target.ErrBadAnswer)
)

// New returns a client for the engine at the address, an IP address and port.
func New(address string, options ...Option) *Client {
	cl := &Client{
		address:     address,
		limits:      target.Timeouts{Dial: defaultDialTimeout, Idle: defaultIdleTimeout},
		pingAfter:   defaultPingAfter,
		pingTimeout: defaultPingTimeout,
		pollTimeout: defaultPollTimeout,
		eventLimit:  defaultEventLimit,
		answerLimit: defaultAnswerLimit,
	}
	for _, option := range options {
		option(cl)
	}
	cl.shared = target.MultiplexedHTTP2(cl.limits, cl.pingAfter, cl.pingTimeout)
	cl.exclusive = target.SingleUseHTTP1(cl.limits)
	return cl
}

// Close closes the shared connections that are idle.
func (cl *Client) Close() { cl.shared.CloseIdleConnections() }

// Do sends the call and passes the response to the answer until its end. A response whose connection breaks is refused as
// StreamBroken; a stream can then be resumed with Call.ResumeAt.
func (cl *Client) Do(ctx context.Context, call *chestnutroad.Call, answer chestnutroad.Answer) error {
	// When the answer returns an error, cancelling the request makes the engine stop its work.
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	at := target.NewAttempt()
	failure := target.Failure{Call: call, Attempt: at, BrokenKind: chestnutroad.StreamBroken}
	req, err := target.NewRequest(at.Context(callCtx), cl.address, call)
	if err != nil {
		return err
	}
	// The client parses the events and does not decompress them.
	req.Header.Del("Accept-Encoding")
	resp, err := cl.transport(call).RoundTrip(req)
	if err != nil {
		failure.Cause = err
		return failure.Err(ctx)
	}
	defer func() { _ = resp.Body.Close() }()
	if refusal := target.RefusalFrom(resp); refusal != nil {
		return refusal
	}
	failure.Cause, err = cl.relay(resp, call, answer)
	if failure.Cause != nil {
		return failure.Err(ctx)
	}
	return err
}

// transport returns the shared transport, or for a call that must not be repeated the exclusive one, which opens a connection
// for each call: net/http may send a call again on a shared connection.
func (cl *Client) transport(call *chestnutroad.Call) *http.Transport {
	if call.Repeat == chestnutroad.RepeatNever {
		return cl.exclusive
	}
	return cl.shared
}

// relay passes the response to the answer. It returns the engine's failure separately from the error of the answer.
func (cl *Client) relay(resp *http.Response, call *chestnutroad.Call, answer chestnutroad.Answer) (failure, err error) {
	if !target.ValidStatus(resp.StatusCode) {
		return errInvalidStatus, nil
	}
	echo := resp.Header.Get(target.HeaderRequest)
	if echo != "" && echo != string(call.Request) {
		return errWrongRequest, nil
	}
	if call.ResumeAt > 0 && !resumesAt(resp, call.ResumeAt) {
		return errNotResumed, nil
	}
	if !isEventStream(resp) {
		return cl.relayBuffered(resp, answer)
	}
	return cl.relayEvents(resp, answer)
}

// resumesAt reports whether the response is a stream that resumes at the token. Any other answer, such as an error, would end
// up in the middle of the caller's stream.
func resumesAt(resp *http.Response, at chestnutroad.Tokens) bool {
	return isEventStream(resp) && resp.Header.Get(target.HeaderResumeAt) == strconv.FormatInt(int64(at), 10)
}

func isEventStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && resp.StatusCode == http.StatusOK
}
