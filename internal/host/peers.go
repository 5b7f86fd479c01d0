package host

import (
	"context"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// peers is the host's connection to the other hosts of its site.
type peers interface {
	// Hosts returns all hosts as membership sees them, this one included.
	Hosts() []member.HostView
	// MachineLeaving reports whether a listed machine is known to be leaving, from the list or from a peer.
	MachineLeaving(name string) bool
	// SetHostList takes in the platform's host list.
	SetHostList(list []chestnutroad.ListedHost)
	// ObserveEpoch spreads an epoch of a shard.
	ObserveEpoch(shard chestnutroad.ShardID, epoch chestnutroad.Epoch)
	// Epoch returns the highest epoch of the shard that membership has told of.
	Epoch(shard chestnutroad.ShardID) chestnutroad.Epoch
	// ObserveVersion spreads an accepted configuration version.
	ObserveVersion(version chestnutroad.Version, offset chestnutroad.Offset)
	// Version returns the highest configuration version that membership has told of.
	Version() (chestnutroad.Version, chestnutroad.Offset)
	// SendSummary sends a load summary to another host within the control budget.
	SendSummary(to chestnutroad.HostID, summary pool.Summary)
	// SendExceptions sends placement exceptions to another host within the control budget.
	SendExceptions(to chestnutroad.HostID, id chestnutroad.ShardID, exceptions []pool.PlacementException)
	// Forward sends a request to the owner of its shard.
	Forward(ctx context.Context, to member.HostView, shard chestnutroad.ShardID, request *chestnutroad.Request,
		call *chestnutroad.Call, answer chestnutroad.Answer, redirects int) error
	// FetchState asks a host for state of the kind.
	FetchState(ctx context.Context, to member.HostView, kind stateKind, shard chestnutroad.ShardID) ([]byte, error)
	// HandOver gives a shard's state to its next owner.
	HandOver(ctx context.Context, to member.HostView, shard chestnutroad.ShardID, epoch chestnutroad.Epoch, state []byte) error
	// Leave tells the other hosts that this one is leaving.
	Leave()
}

// stateKind names the state that a host can ask another one for.
type stateKind string

// The kinds of state.
const (
	stateConfiguration stateKind = "Configuration"
	stateOrders        stateKind = "Orders"
	stateShard         stateKind = "Shard"
	// stateOwner only asks whether the host owns the shard.
	stateOwner stateKind = "Owner"
)
