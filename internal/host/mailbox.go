package host

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// errMoved is the cause with which an attempt is cancelled when the owner moves its request to another target.
var errMoved = errors.New("the request was moved to another target")

// mailbox holds the owner's latest action for one running request. A later action replaces one that was not taken yet,
// since the owner's state already reflects the later one.
type mailbox struct {
	mu      sync.Mutex
	pending *pool.Action
	ready   chan struct{}
	cancel  context.CancelCauseFunc
}

func newMailbox() *mailbox {
	return &mailbox{ready: make(chan struct{}, 1)}
}

// put stores an action. If it moves the request, the running attempt is cancelled.
func (mb *mailbox) put(action pool.Action) {
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.pending = &action
	if action.Type == pool.ActionMove && mb.cancel != nil {
		mb.cancel(errMoved)
	}
	select {
	case mb.ready <- struct{}{}:
	default:
	}
}

// take waits for the next action and removes it.
func (mb *mailbox) take(ctx context.Context) (pool.Action, error) {
	for {
		select {
		case <-ctx.Done():
			return pool.Action{}, context.Cause(ctx)
		case <-mb.ready:
		}
		mb.mu.Lock()
		next := mb.pending
		mb.pending = nil
		mb.mu.Unlock()
		if next != nil {
			return *next, nil
		}
	}
}

// attemptContext returns the context of an attempt, which a move cancels. If a move is already pending, the context is
// returned cancelled.
func (mb *mailbox) attemptContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	inner, cancel := context.WithCancelCause(ctx)
	mb.mu.Lock()
	defer mb.mu.Unlock()
	mb.cancel = cancel
	if mb.pending != nil && mb.pending.Type == pool.ActionMove {
		cancel(errMoved)
	}
	return inner, cancel
}
