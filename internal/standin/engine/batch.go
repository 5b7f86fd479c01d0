package engine

import (
	"context"
	"errors"
	"sync/atomic"
)

var errQueueFull = errors.New("too many requests are waiting for a batch slot")

// batch limits the number of sequences that run at once; further ones wait for a slot in order of arrival.
type batch struct {
	slots      chan struct{}
	waiting    atomic.Int64
	maxWaiting int64
}

func newBatch(slots, maxWaiting int) *batch {
	return &batch{slots: make(chan struct{}, slots), maxWaiting: int64(maxWaiting)}
}

// acquire takes a slot or waits for one. It fails without waiting when maxWaiting requests are waiting already.
func (ba *batch) acquire(ctx context.Context) error {
	select {
	case ba.slots <- struct{}{}:
		return nil
	default:
	}
	defer ba.waiting.Add(-1)
	if ba.waiting.Add(1) > ba.maxWaiting {
		return errQueueFull
	}
	select {
	case ba.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (ba *batch) release()     { <-ba.slots }
func (ba *batch) running() int { return len(ba.slots) }
func (ba *batch) size() int    { return cap(ba.slots) }
