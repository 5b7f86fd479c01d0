package target

import (
	"context"
	"errors"
	"fmt"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// ErrBadAnswer marks an answer that breaks the protocol although the connection works.
var ErrBadAnswer = errors.New("the answer breaks the protocol")

// Failure says how a call ended without a whole answer.
type Failure struct {
	Call    *chestnutroad.Call
	Attempt *Attempt
	// BrokenKind is the kind for a connection that failed after the first byte was written.
	BrokenKind chestnutroad.Kind
	Cause  error
}

// Err returns the failure as an error that wraps the refusal and the cause.
//
// A call that must not be repeated and was written always ends as OutcomeUnknown: neither a passed deadline nor an
// answer that makes no sense says whether it ran.
func (fl Failure) Err(ctx context.Context) error {
	return fmt.Errorf("%w: %w", fl.refusal(ctx), fl.Cause)
}

func (fl Failure) refusal(ctx context.Context) *chestnutroad.Refusal {
	notRun := fl.Attempt.Seal()
	switch {
	case !notRun && fl.Call.Repeat == chestnutroad.RepeatNever:
		return chestnutroad.Refuse(chestnutroad.OutcomeUnknown, "the target may have run the request")
	case ctx.Err() != nil:
		refusal := chestnutroad.Refuse(chestnutroad.DeadlineExceeded, ended(ctx))
		refusal.NotRun = notRun
		return refusal
	case notRun && fl.Attempt.invalid(fl.Cause):
		return chestnutroad.Refuse(chestnutroad.BadRequest, "the request can't be written as HTTP")
	case notRun:
		return chestnutroad.Refuse(chestnutroad.NoTarget, "the target can't be reached")
	case errors.Is(fl.Cause, ErrBadAnswer) || !fl.Attempt.broke(fl.Cause):
		return chestnutroad.Refuse(chestnutroad.BadAnswer, "the target's answer breaks the protocol")
	default:
		return chestnutroad.Refuse(fl.BrokenKind, "the connection to the target broke")
	}
}

func ended(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "the deadline passed before the target's answer was complete"
	}
	return "the caller cancelled the request"
}
