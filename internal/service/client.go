package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

// Client sends calls to one instance of a plain service.
type Client struct {
	address     string
	timeouts    target.Timeouts
	bodyTimeout time.Duration
	bodyLimit   int64
	shared      *http.Transport
	exclusive   *http.Transport
}

var _ chestnutroad.Target = (*Client)(nil)

var (
	errBodyTimeout    = fmt.Errorf("no data of the body within the timeout: %w", os.ErrDeadlineExceeded)
	errUnbounded      = fmt.Errorf("%w: neither Content-Length nor chunked, so a cut-off body would look complete", target.ErrBadAnswer)
	errBodyLimit      = fmt.Errorf("%w: the body is over the size limit", target.ErrBadAnswer)
	errInvalidStatus  = fmt.Errorf("%w: the status is none of HTTP", target.ErrBadAnswer)
	errProtocolSwitch = fmt.Errorf("%w: status 101 switches the protocol", target.ErrBadAnswer)
)

// New returns a client for the instance at the address, an IP address and port.
func New(address string, options ...Option) *Client {
	cl := &Client{
		address:     address,
		timeouts:    target.Timeouts{Dial: defaultDialTimeout, Head: defaultHeadTimeout, Idle: defaultIdleTimeout},
		bodyTimeout: defaultBodyTimeout,
		bodyLimit:   defaultBodyLimit,
	}
	for _, option := range options {
		option(cl)
	}
	cl.shared = target.KeepAliveHTTP1(cl.timeouts)
	cl.exclusive = target.SingleUseHTTP1(cl.timeouts)
	return cl
}

// Close closes the shared connections that are idle.
func (cl *Client) Close() { cl.shared.CloseIdleConnections() }

// Do sends the call and passes the response to the answer until its end.
func (cl *Client) Do(ctx context.Context, call *chestnutroad.Call, answer chestnutroad.Answer) error {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	at := target.NewAttempt()
	failure := target.Failure{Call: call, Attempt: at, BrokenKind: chestnutroad.OutcomeUnknown}
	req, err := target.NewRequest(at.Context(callCtx), cl.address, call)
	if err != nil {
		return err
	}
	resp, err := cl.transport(call).RoundTrip(req)
	if err != nil {
		failure.Cause = err
		return failure.Err(ctx)
	}
	defer func() { _ = resp.Body.Close() }()
	if refusal := target.RefusalFrom(resp); refusal != nil {
		return refusal
	}
	failure.Cause = cl.checkHead(resp)
	if failure.Cause != nil {
		return failure.Err(ctx)
	}
	err = answer.Head(resp.StatusCode, target.ResponseHeader(resp))
	if err != nil {
		return err
	}
	bodyTimer := time.AfterFunc(cl.bodyTimeout, func() { cancel(errBodyTimeout) })
	defer bodyTimer.Stop()
	failure.BrokenKind = chestnutroad.StreamBroken
	failure.Cause, err = cl.copyBody(resp.Body, answer, bodyTimer)
	if failure.Cause != nil {
		return failure.Err(ctx)
	}
	return err
}

// transport returns the one that opens a connection for each call if the call must not be repeated: net/http may send a call
// again on a shared connection.
func (cl *Client) transport(call *chestnutroad.Call) *http.Transport {
	if call.Repeat == chestnutroad.RepeatNever {
		return cl.exclusive
	}
	return cl.shared
}

// checkHead returns an error for a response that can't be passed on completely.
func (cl *Client) checkHead(resp *http.Response) error {
	if !target.ValidStatus(resp.StatusCode) {
		return errInvalidStatus
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errProtocolSwitch
	}
	if resp.ContentLength > cl.bodyLimit {
		return errBodyLimit
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return errUnbounded
	}
	return nil
}

// copyBody passes the body to the answer. It returns a failure of the target apart from an error of the answer.
func (cl *Client) copyBody(body io.Reader, answer chestnutroad.Answer, bodyTimer *time.Timer) (failure, err error) {
	buffer := target.GetBuffer()
	defer target.PutBuffer(buffer)
	remaining := cl.bodyLimit
	for {
		bodyTimer.Reset(cl.bodyTimeout)
		count, readErr := body.Read(buffer[:])
		bodyTimer.Stop()
		remaining -= int64(count)
		if remaining < 0 {
			return errBodyLimit, nil
		}
		if count > 0 {
			err = answer.Chunk(buffer[:count], 0)
			if err != nil {
				return nil, err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil, nil
		}
		if readErr != nil {
			return readErr, nil
		}
	}
}
