package pool

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// request is what the owner keeps of one request from Submit until it ends.
type request struct {
	chestnutroad.Request
	// work is the work booked on the target, or the estimate while the request is queued.
	work chestnutroad.WorkUnits
	// sent is the number of answer tokens that the caller already has.
	sent chestnutroad.Tokens
	// resume is true when part of the answer was produced on an earlier target.
	resume bool
	// ran is true when it is not certain that no target started the request.
	ran bool
	// affinityUntil is until when a returning chat waits for the target that has its context.
	affinityUntil time.Time
	redirects     int
	attempts      int
	moves         int
	// failedTargets lists targets on which the request broke.
	failedTargets  []chestnutroad.TargetID
	target  *target
	slot    int
	started time.Time
}

// workWith estimates the remaining work on a target that has that many prompt tokens cached.
func (rq *request) workWith(cached chestnutroad.Tokens) chestnutroad.WorkUnits {
	prefill := max(0, rq.Prompt+rq.sent-cached)
	output := max(0, rq.MaxOutput-rq.sent)
	return chestnutroad.WorkOf(prefill, output)
}

// resumable says whether the request may be cancelled on one target and go on at the next token on another.
func (rq *request) resumable() bool {
	return rq.Repeat == chestnutroad.RepeatAllowed && rq.Chat != 0
}

func (rq *request) urgent() bool { return rq.Priority <= chestnutroad.PriorityLookup }

func (rq *request) excludes(id chestnutroad.TargetID) bool { return slices.Contains(rq.failedTargets, id) }

func (rq *request) expired(now time.Time) bool {
	return !rq.Deadline.IsZero() && !now.Before(rq.Deadline)
}

// refuse returns the action that gives the request up; it is "not run" exactly when no target can have started it.
func (rq *request) refuse(kind chestnutroad.Kind, message string, retryAfter time.Duration) Action {
	refusal := chestnutroad.Refuse(kind, message).After(retryAfter)
	refusal.NotRun = !rq.ran
	return Action{Type: ActionRefuse, Request: rq.ID, Refusal: refusal}
}
