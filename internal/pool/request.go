package pool

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// request is the owner's state of one request from Submit until it ends.
type request struct {
	chestnutroad.Request
	// work is the work booked on the target, or the estimate while the request is queued.
	work chestnutroad.WorkUnits
	// sent is the number of answer tokens that the caller has received.
	sent chestnutroad.Tokens
	// resume is true when part of the answer may have been produced on an earlier target.
	resume bool
	// mayHaveRun is true when a target may have started the request.
	mayHaveRun bool
	// affinityUntil is the end of a returning chat's wait for the target that holds its context.
	affinityUntil time.Time
	redirects     int
	attempts      int
	moves         int
	// failedTargets lists the targets on which the request failed; it is cleared when no other target is left.
	failedTargets []chestnutroad.TargetID
	target        *target
	// runningIndex is the request's index in its target's running list.
	runningIndex int
	started      time.Time
}

// workWith estimates the remaining work on a target with the given number of cached prompt tokens.
func (rq *request) workWith(cached chestnutroad.Tokens) chestnutroad.WorkUnits {
	prefill := max(0, rq.Prompt+rq.sent-cached)
	output := max(0, rq.MaxOutput-rq.sent)
	return chestnutroad.WorkOf(prefill, output)
}

// resumable reports whether the request may be cancelled on one target and resumed at the next token on another.
func (rq *request) resumable() bool {
	return rq.Repeat == chestnutroad.RepeatAllowed && rq.Chat != 0
}

func (rq *request) urgent() bool { return rq.Priority <= chestnutroad.PriorityLookup }

func (rq *request) excludes(id chestnutroad.TargetID) bool {
	return slices.Contains(rq.failedTargets, id)
}

func (rq *request) expired(now time.Time) bool {
	return !rq.Deadline.IsZero() && !now.Before(rq.Deadline)
}

// refuse returns the action that refuses the request. The refusal is "not run" only when no target can have started it.
func (rq *request) refuse(kind chestnutroad.Kind, message string, retryAfter time.Duration) Action {
	refusal := chestnutroad.Refuse(kind, message).WithRetryAfter(retryAfter)
	refusal.NotRun = !rq.mayHaveRun
	return Action{Type: ActionRefuse, Request: rq.ID, Refusal: refusal}
}
