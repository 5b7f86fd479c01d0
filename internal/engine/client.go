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

// Client runs calls on one engine.
type Client struct {
	address     string
	limits      target.Timeouts
	sendPing    time.Duration
	ping        time.Duration
	pollTimeout time.Duration
	eventLimit  int
	answerLimit int64
	shared      *http.Transport
	own         *http.Transport
}

var _ chestnutroad.Target = (*Client)(nil)

var (
	errOtherRequest = fmt.Errorf("%w: it belongs to another request", target.ErrBadAnswer)
	errNoResume     = fmt.Errorf("%w: the engine did not resume at the token asked for", target.ErrBadAnswer)
)

// New returns a client of the engine at the address, an IP number and port.
func New(address string, options ...Option) *Client {
	cl := &Client{
		address:     address,
		limits:      target.Timeouts{Dial: defaultDialTimeout, Idle: defaultIdleTimeout},
		sendPing:    defaultSendPingTimeout,
		ping:        defaultPingTimeout,
		pollTimeout: defaultPollTimeout,
		eventLimit:  defaultEventLimit,
		answerLimit: defaultAnswerLimit,
	}
	for _, option := range options {
		option(cl)
	}
	cl.shared = target.MultiplexedHTTP2(cl.limits, cl.sendPing, cl.ping)
	cl.own = target.SingleUseHTTP1(cl.limits)
	return cl
}

// Close closes the connections that carry no call.
func (cl *Client) Close() { cl.shared.CloseIdleConnections() }

// Do runs the call to its end; a stream that broke ends as StreamBroken and may be resumed with ResumeAt.
func (cl *Client) Do(ctx context.Context, call *chestnutroad.Call, answer chestnutroad.Answer) error {
	// The inner context cancels the engine's work when the answer returns an error.
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	at := target.NewAttempt()
	failure := target.Failure{Call: call, Attempt: at, BrokenKind: chestnutroad.StreamBroken}
	req, err := target.NewRequest(at.Context(inner), cl.address, call)
	if err != nil {
		return err
	}
	// The client reads the events, so the engine must not compress them.
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

func (cl *Client) transport(call *chestnutroad.Call) *http.Transport {
	if call.Repeat == chestnutroad.RepeatNever {
		return cl.own
	}
	return cl.shared
}

// relay hands the response to the answer; it returns the engine's failure and the answer's error apart.
func (cl *Client) relay(resp *http.Response, call *chestnutroad.Call, answer chestnutroad.Answer) (failure, err error) {
	echo := resp.Header.Get(target.HeaderRequest)
	if echo != "" && echo != string(call.Request) {
		return errOtherRequest, nil
	}
	if !isEventStream(resp) {
		return cl.relayWhole(resp, answer)
	}
	if call.ResumeAt > 0 && resp.Header.Get(target.HeaderResumeAt) != strconv.FormatInt(int64(call.ResumeAt), 10) {
		return errNoResume, nil
	}
	return cl.relayEvents(resp, answer)
}

func isEventStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && resp.StatusCode == http.StatusOK
}
