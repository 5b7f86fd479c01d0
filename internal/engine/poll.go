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

// Load is an engine's load report with the number of sequences that it batches.
type Load struct {
	chestnutroad.LoadReport
	BatchSlots int
}

// Events is an answer to a poll of cache events.
type Events struct {
	// Incarnation is the engine's present life, also when there is no event.
	Incarnation chestnutroad.Incarnation
	Events      []chestnutroad.CacheEvent
}

// pollLimit bounds the size of a load report or a list of cache events.
const pollLimit = 4 << 20

// Load returns the engine's present load report.
func (cl *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := cl.ask(ctx, http.MethodGet, "/v1/load", nil, &load)
	return load, err
}

// CacheEvents returns the events after the sequence number that the engine still has; some may be missing.
func (cl *Client) CacheEvents(ctx context.Context, after uint64) (Events, error) {
	var events Events
	err := cl.ask(ctx, http.MethodGet, "/v1/cache-events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, err
}

// Health returns nil when the engine says that it can serve.
func (cl *Client) Health(ctx context.Context) error {
	return cl.ask(ctx, http.MethodGet, "/v1/health", nil, nil)
}

// Order sends an order; a TargetRefused refusal says that the engine has seen a higher fencing number.
func (cl *Client) Order(ctx context.Context, order chestnutroad.EngineOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encode engine order: %w", err)
	}
	return cl.ask(ctx, http.MethodPost, "/v1/orders", body, nil)
}

// PollLoad asks for a load report at once and then at each interval until the context ends.
func (cl *Client) PollLoad(ctx context.Context, interval time.Duration, handle func(Load, error)) {
	poll(ctx, interval, func() { handle(cl.Load(ctx)) })
}

// PollCacheEvents asks for new cache events at once and then at each interval until the context ends. It starts over
// when the engine's incarnation changes, since a restarted engine counts its events from the beginning.
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

// eventCursor is the position in one incarnation's cache events.
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

func poll(ctx context.Context, interval time.Duration, once func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		once()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// ask exchanges one JSON message with the engine.
func (cl *Client) ask(ctx context.Context, method, path string, body []byte, into any) error {
	inner, cancel := context.WithTimeout(ctx, cl.pollTimeout)
	defer cancel()
	at := target.NewAttempt()
	call := &chestnutroad.Call{Method: method, Path: path, Body: body, Repeat: chestnutroad.RepeatAllowed}
	failure := target.Failure{Call: call, Attempt: at, BrokenKind: chestnutroad.OutcomeUnknown}
	req, err := target.NewRequest(at.Context(inner), cl.address, call)
	if err != nil {
		return err
	}
	resp, err := cl.shared.RoundTrip(req)
	if err != nil {
		failure.Cause = err
		return failure.Err(inner)
	}
	defer func() { _ = resp.Body.Close() }()
	failure.Cause = decode(resp, into)
	if failure.Cause != nil {
		return failure.Err(inner)
	}
	return statusError(resp, path)
}

func decode(resp *http.Response, into any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, pollLimit+1))
	if err != nil {
		return err
	}
	if len(data) > pollLimit {
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
