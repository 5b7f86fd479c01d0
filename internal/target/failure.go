package target

import (
	"context"
	"errors"
	"fmt"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// ErrBadAnswer marks an answer that breaks the protocol on a working connection.
var ErrBadAnswer = errors.New("the answer breaks the protocol")

// Failure describes a call that ended without a complete answer.
type Failure struct {
	Call    *chestnutroad.Call
	Attempt *Attempt
	// BrokenKind is the kind of refusal for a connection that failed after the first byte of the call was written.
	BrokenKind chestnutroad.Kind
	Cause      error
}

// Err returns an error that wraps the refusal for the failure and its cause. It seals the attempt.
//
// A call that must run at most once and that was written always ends as OutcomeUnknown: neither an expired deadline nor a
// malformed answer tells whether it ran.
func (fl Failure) Err(ctx context.Context) error {
	return fmt.Errorf("%w: %w", fl.refusal(ctx), fl.Cause)
}

func (fl Failure) refusal(ctx context.Context) *chestnutroad.Refusal {
	notRun := fl.Attempt.Seal()
	switch {
	case !notRun && fl.Call.Repeat == chestnutroad.RepeatNever:
		return chestnutroad.Refuse(chestnutroad.OutcomeUnknown, "the target may have run the request")
	case ctx.Err() != nil:
		refusal := chestnutroad.Refuse(chestnutroad.DeadlineExceeded, endReason(ctx))
		refusal.NotRun = notRun
		return refusal
	case notRun && fl.Attempt.requestInvalid(fl.Cause):
		return chestnutroad.Refuse(chestnutroad.BadRequest, "the request can't be written as HTTP")
	case notRun:
		return chestnutroad.Refuse(chestnutroad.NoTarget, "the target can't be reached")
	case errors.Is(fl.Cause, ErrBadAnswer) || !fl.Attempt.connectionFailed(fl.Cause):
		return chestnutroad.Refuse(chestnutroad.BadAnswer, "the target's answer breaks the protocol")
	default:
		return chestnutroad.Refuse(fl.BrokenKind, "the connection to the target broke")
	}
}

func endReason(ctx context.Context) string {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return "the deadline passed before the target's answer was complete"
	}
	return "the caller cancelled the request"
}
