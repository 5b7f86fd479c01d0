package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Target is one target of the shard as the host list and the settings describe it.
type Target struct {
	ID      chestnutroad.TargetID
	Leaving bool
	// Slots is the most requests that the target runs at once; zero stands for the shard's setting.
	Slots int
}

// ActionType says what an action asks the host to do.
type ActionType int

// The actions.
const (
	// ActionStart asks to send the request to Target now.
	ActionStart ActionType = iota
	// ActionRefuse asks to answer the request with Refusal at once.
	ActionRefuse
	// ActionRedirect asks to send the request to the owner of Shard instead.
	ActionRedirect
	// ActionMove asks to cancel the running request on From and to resume it on Target at the next token.
	ActionMove
)

var actionNames = []string{"Start", "Refuse", "Redirect", "Move"}

// String returns the action's name in logs and traces.
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
	// Cached is the number of prompt tokens expected in the target's cache.
	Cached chestnutroad.Tokens
	// Resume is true when the request already produced part of its answer on an earlier target.
	Resume bool
	// Work is the work that the owner books on Target for the request.
	Work chestnutroad.WorkUnits
}

// Summary is the load of one shard as its owner tells the owners of the pool's other shards.
type Summary struct {
	Shard   chestnutroad.ShardID
	Epoch   chestnutroad.Epoch
	Targets int
	Work    chestnutroad.WorkUnits
	Taken   time.Time
	// Drained is the work finished since the owner started; two summaries give the drain rate.
	Drained chestnutroad.WorkUnits
	// Queued is the number of requests that wait; a shard with a queue is sent no redirects.
	Queued int
}

// FailureKind says how a target broke off a request.
type FailureKind int

// The failures.
const (
	// FailureNotRun means that no byte reached the target or that the target said it ran nothing.
	FailureNotRun FailureKind = iota
	// FailureBroken means that the connection or the stream broke after the request may have started.
	FailureBroken
	// FailureBadAnswer means that the target answered with something that can't be relayed.
	FailureBadAnswer
)
