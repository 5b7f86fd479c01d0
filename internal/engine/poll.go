package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

// Load is an engine's load report together with the number of sequences that it can run at once.
type Load struct {
	chestnutroad.LoadReport
	BatchSlots int
}

// Events holds the cache events of one poll.
type Events struct {
	// Incarnation is the engine's current one; it is set even if Events is empty.
	Incarnation chestnutroad.Incarnation
	Events      []chestnutroad.CacheEvent
}

// maxPollBytes limits the body of any response that is read by exchange.
const maxPollBytes = 4 << 20

// Load fetches the engine's latest load report.
func (cl *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := cl.exchange(ctx, http.MethodGet, "/v1/load", nil, &load)
	return load, err
}

// CacheEvents fetches the cache events that the engine still holds and whose sequence number is higher than after; some may be
// missing.
func (cl *Client) CacheEvents(ctx context.Context, after uint64) (Events, error) {
	var events Events
	err := cl.exchange(ctx, http.MethodGet, "/v1/cache-events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, err
}

// Health returns nil if the engine answers its health check with status 200.
func (cl *Client) Health(ctx context.Context) error {
	return cl.exchange(ctx, http.MethodGet, "/v1/health", nil, nil)
}

// Order sends an order. A refusal of kind TargetRefused means that the engine has accepted a higher fencing number before, or
// that it did not run the order.
func (cl *Client) Order(ctx context.Context, order chestnutroad.EngineOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode engine order: %w", err)
	}
	return cl.exchange(ctx, http.MethodPost, "/v1/orders", body, nil)
}

// PollLoad fetches a load report immediately and then once per interval, and passes each result to handle, until the context
// ends.
func (cl *Client) PollLoad(ctx context.Context, interval time.Duration, handle func(Load, error)) {
	poll(ctx, interval, func() { handle(cl.Load(ctx)) })
}

// PollCacheEvents fetches new cache events immediately and then once per interval, and passes each result to handle, until the
// context ends. When the engine's incarnation changes, it resets its position, since a restarted engine numbers its events from
// the beginning.
func (cl *Client) PollCacheEvents(ctx context.Context, interval time.Duration, handle func(Events, error)) {
	var cursor eventCursor
	poll(ctx, interval, func() {
		events, err := cl.CacheEvents(ctx, cursor.after)
		if err == nil {
			cursor.advance(events)
		}
		handle(events, err)
	})
}

// eventCursor is the position up to which the cache events of an incarnation have been read.
type eventCursor struct {
	incarnation chestnutroad.Incarnation
	after       uint64
}

func (cu *eventCursor) advance(events Events) {
	if cu.incarnation != events.Incarnation {
		*cu = eventCursor{incarnation: events.Incarnation}
	}
	for _, event := range events.Events {
		cu.after = max(cu.after, event.Sequence)
	}
}

func poll(ctx context.Context, interval time.Duration, request func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		request()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// exchange sends a request with a JSON body and decodes the JSON response into the value, unless it is nil.
func (cl *Client) exchange(ctx context.Context, method, path string, body []byte, into any) error {
	callCtx, cancel := context.WithTimeout(ctx, cl.pollTimeout)
	defer cancel()
	at := target.NewAttempt()
	call := &chestnutroad.Call{Method: method, Path: path, Body: body, Repeat: chestnutroad.RepeatAllowed}
	failure := target.Failure{Call: call, Attempt: at, BrokenKind: chestnutroad.OutcomeUnknown}
	req, err := target.NewRequest(at.Context(callCtx), cl.address, call)
	if err != nil {
		return err
	}
	resp, err := cl.shared.RoundTrip(req)
	if err != nil {
		failure.Cause = err
		return failure.Err(callCtx)
	}
	defer func() { _ = resp.Body.Close() }()
	failure.Cause = decode(resp, into)
	if failure.Cause != nil {
		return failure.Err(callCtx)
	}
	return statusError(resp, path)
}

// decode reads the whole body and, if the status is 200, decodes it into the value.
func decode(resp *http.Response, into any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPollBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxPollBytes {
		return errAnswerTooLong
	}
	if resp.StatusCode != http.StatusOK || into == nil {
		return nil
	}
	err = json.NewDecoder(bytes.NewReader(data)).Decode(into)
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrBadAnswer, err)
	}
	return nil
}

// statusError returns nil for status 200, and the refusal for any other.
func statusError(resp *http.Response, path string) error {
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	if refusal := target.RefusalFrom(resp); refusal != nil {
		return refusal
	}
	kind := chestnutroad.BadAnswer
	if resp.StatusCode == http.StatusConflict {
		kind = chestnutroad.TargetRefused
	}
	return chestnutroad.Refuse(kind, "the engine answered "+path+" with "+resp.Status)
}
