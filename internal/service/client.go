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

// Client runs calls on one instance of a plain service.
type Client struct {
	address     string
	limits      target.Timeouts
	bodyTimeout time.Duration
	bodyLimit   int64
	shared      *http.Transport
	own         *http.Transport
}

var _ chestnutroad.Target = (*Client)(nil)

var (
	errBodyTimeout = fmt.Errorf("the body stopped: %w", os.ErrDeadlineExceeded)
	errUnbounded   = fmt.Errorf("%w: it has neither a length nor chunks, so its end can't be told from a broken connection", target.ErrBadAnswer)
	errBodyLimit   = fmt.Errorf("%w: it is over the size limit", target.ErrBadAnswer)
	errSwitch      = fmt.Errorf("%w: it switches the protocol", target.ErrBadAnswer)
)

// New returns a client of the instance at the address, an IP number and port.
func New(address string, options ...Option) *Client {
	cl := &Client{
		address:     address,
		limits:      target.Timeouts{Dial: defaultDialTimeout, Head: defaultHeadTimeout, Idle: defaultIdleTimeout},
		bodyTimeout: defaultBodyTimeout,
		bodyLimit:   defaultBodyLimit,
	}
	for _, option := range options {
		option(cl)
	}
	cl.shared = target.KeepAliveHTTP1(cl.limits)
	cl.own = target.SingleUseHTTP1(cl.limits)
	return cl
}

// Close closes the connections that carry no call.
func (cl *Client) Close() { cl.shared.CloseIdleConnections() }

// Do runs the call to its end.
func (cl *Client) Do(ctx context.Context, call *chestnutroad.Call, answer chestnutroad.Answer) error {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	at := target.NewAttempt()
	failure := target.Failure{Call: call, Attempt: at, BrokenKind: chestnutroad.OutcomeUnknown}
	req, err := target.NewRequest(at.Context(inner), cl.address, call)
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
	gap := time.AfterFunc(cl.bodyTimeout, func() { cancel(errBodyTimeout) })
	defer gap.Stop()
	failure.BrokenKind = chestnutroad.StreamBroken
	failure.Cause, err = cl.relay(resp.Body, answer, gap)
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

func (cl *Client) checkHead(resp *http.Response) error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return errSwitch
	}
	if resp.ContentLength > cl.bodyLimit {
		return errBodyLimit
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return errUnbounded
	}
	return nil
}

// relay hands the body to the answer; it returns the target's failure and the answer's error apart.
func (cl *Client) relay(body io.Reader, answer chestnutroad.Answer, gap *time.Timer) (failure, err error) {
	buffer := target.GetBuffer()
	defer target.PutBuffer(buffer)
	left := cl.bodyLimit
	for {
		gap.Reset(cl.bodyTimeout)
		count, readErr := body.Read(buffer[:])
		gap.Stop()
		left -= int64(count)
		if left < 0 {
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
