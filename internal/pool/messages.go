package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Target describes one target of the shard, from the host list and the settings.
type Target struct {
	ID      chestnutroad.TargetID
	Leaving bool
	// Slots is the number of requests that the target runs at once; zero means the shard's setting.
	Slots int
}

// ActionType is the kind of an action that the host has to carry out.
type ActionType int

// The actions.
const (
	// ActionStart sends the request to Target.
	ActionStart ActionType = iota
	// ActionRefuse answers the request with Refusal.
	ActionRefuse
	// ActionRedirect sends the request to the owner of Shard instead.
	ActionRedirect
	// ActionMove cancels the running request on From and resumes it on Target at the next token.
	ActionMove
)

var actionNames = []string{"Start", "Refuse", "Redirect", "Move"}

// String returns the action's name for logs and traces.
func (at ActionType) String() string {
	if at < 0 || int(at) >= len(actionNames) {
		return "Unknown"
	}
	return actionNames[at]
}

// Action is one decision of a shard's owner.
type Action struct {
	Type    ActionType
	Request chestnutroad.RequestID
	Target  chestnutroad.TargetID
	From    chestnutroad.TargetID
	Shard   chestnutroad.ShardID
	Refusal *chestnutroad.Refusal
	// Cached is the number of prompt tokens expected in the target's prefix cache.
	Cached chestnutroad.Tokens
	// Resume is true when part of the answer may already have been produced on an earlier target.
	Resume bool
	// Work is the work that the owner books on Target for the request.
	Work chestnutroad.WorkUnits
}

// Summary is the load of one shard; its owner sends it to the owners of the pool's other shards.
type Summary struct {
	Shard   chestnutroad.ShardID
	Epoch   chestnutroad.Epoch
	Targets int
	Work    chestnutroad.WorkUnits
	Taken   time.Time
	// Drained is the work finished since the owner started; the difference between two summaries gives the drain rate.
	Drained chestnutroad.WorkUnits
	// Queued is the number of waiting requests; a shard with a queue receives no redirects.
	Queued int
}

// FailureKind is the way in which an attempt on a target failed.
type FailureKind int

// The failures.
const (
	// FailureNotRun means that no byte reached the target or that the target answered that it ran nothing.
	FailureNotRun FailureKind = iota
	// FailureBroken means that the connection or the stream broke after the request may have started.
	FailureBroken
	// FailureBadAnswer means that the target sent an answer that can't be relayed.
	FailureBadAnswer
)
