package host

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// errMoved cancels an attempt whose request the owner moves to another target.
var errMoved = errors.New("the request moves to another target")

// mailbox holds the latest decision about one running request. A later decision replaces an earlier one that was not
// carried out yet, since the owner has already counted it.
type mailbox struct {
	mu      sync.Mutex
	pending *pool.Action
	ready   chan struct{}
	cancel  context.CancelCauseFunc
}

func newMailbox() *mailbox {
	return &mailbox{ready: make(chan struct{}, 1)}
}

// put stores a decision and interrupts the attempt under way when the request moves.
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

// take waits for the next decision.
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

// attemptContext returns the context of an attempt, which a move cancels. When a move has come in already, the context
// is cancelled from the start.
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
