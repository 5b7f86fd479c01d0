package attempt

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Outcome is how an attempt to send a request to a target ended.
type Outcome int

// The outcomes.
const (
	// NotSent means that no byte reached the target.
	NotSent Outcome = iota
	// NotRun means that the target stated that it did not run the request and won't run it later.
	NotRun
	// Broken means that the request was sent but no complete answer arrived; it may have run.
	Broken
	// TargetFailed means that the target ran the request and answered with an error.
	TargetFailed
)

// Action is what the host does next.
type Action int

// The actions.
const (
	// Retry sends the request to another target.
	Retry Action = iota
	// Refuse answers that the request did not run.
	Refuse
	// Fail answers that the outcome is unknown, or breaks off a stream.
	Fail
	// Deliver passes the target's error on to the caller.
	Deliver
)

// State holds what decides about a retry after an attempt has ended.
type State struct {
	Repeat chestnutroad.Repeat
	// Sent is the number of targets that received any byte of the request, including the last one.
	Sent int
	// MaxSends is the largest number of targets that the request may be sent to.
	MaxSends int
	// Dials is the number of attempts that ended before a byte was sent.
	Dials int
	// MayHaveRun is true once a target may have run the request.
	MayHaveRun bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Returns is true when the next send goes to a target that is already counted in Sent.
	Returns bool
	// HasTargets is true if there is another target to send to.
	HasTargets bool
	// TakeRetry takes a retry from the budget and reports whether there was one; it is called last, so that no retry is
	// taken in vain.
	TakeRetry func() bool
}

const (
	// maxDials limits the attempts that end before a byte was sent, for one request.
	maxDials = 6
	// MinRemaining is the remaining time below which another attempt can't succeed; plain requests take 15 ms or more.
	MinRemaining = 20 * time.Millisecond
)

// Next returns the action after an attempt ended.
func Next(outcome Outcome, st *State) Action {
	if st.canRetry(outcome) {
		return Retry
	}
	if outcome == TargetFailed {
		return Deliver
	}
	if st.MayHaveRun || outcome == Broken {
		return Fail
	}
	return Refuse
}

func (st *State) canRetry(outcome Outcome) bool {
	if st.Remaining < MinRemaining || !st.HasTargets {
		return false
	}
	if outcome == NotSent {
		return st.Dials < maxDials
	}
	if st.Sent >= st.MaxSends && !st.Returns {
		return false
	}
	if outcome != NotRun && st.Repeat != chestnutroad.RepeatAllowed {
		return false
	}
	return st.TakeRetry()
}
