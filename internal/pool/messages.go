package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Target is one target of the shard as the host list and the settings describe it.
type Target struct {
	ID      chestnutroad.TargetID
	Leaving bool
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
}

// Summary is the load of one shard as its owner tells the owners of the pool's other shards.
type Summary struct {
	Shard   chestnutroad.ShardID
	Epoch   chestnutroad.Epoch
	Targets int
	Work    chestnutroad.WorkUnits
	Taken   time.Time
}
