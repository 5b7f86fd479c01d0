package engine

import (
	"context"
	"errors"
	"sync/atomic"
)

var errFull = errors.New("too many requests wait")

// batch holds the slots of the sequences that run at once; further ones wait in order of arrival.
type batch struct {
	slots   chan struct{}
	waiting atomic.Int64
	limit   int64
}

func newBatch(slots, waiting int) *batch {
	return &batch{slots: make(chan struct{}, slots), limit: int64(waiting)}
}

// enter takes a slot, and fails at once when too many requests wait.
func (ba *batch) enter(ctx context.Context) error {
	select {
	case ba.slots <- struct{}{}:
		return nil
	default:
	}
	defer ba.waiting.Add(-1)
	if ba.waiting.Add(1) > ba.limit {
		return errFull
	}
	select {
	case ba.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (ba *batch) leave()       { <-ba.slots }
func (ba *batch) running() int { return len(ba.slots) }
func (ba *batch) size() int    { return cap(ba.slots) }
