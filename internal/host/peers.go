package host

import (
	"context"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// peers is the host's connection to the other hosts of its site.
type peers interface {
	// Hosts returns the hosts of the site with their membership state, this one included.
	Hosts() []member.HostView
	// MachineLeaving reports whether the host list or a peer has announced that a listed machine is leaving.
	MachineLeaving(name string) bool
	// SetHostList updates membership from the platform's host list.
	SetHostList(list []chestnutroad.ListedHost)
	// ObserveEpoch gossips an epoch of a shard to the other hosts.
	ObserveEpoch(shard chestnutroad.ShardID, epoch chestnutroad.Epoch)
	// Epoch returns the highest epoch of the shard that this host has observed or received by gossip.
	Epoch(shard chestnutroad.ShardID) chestnutroad.Epoch
	// ObserveVersion gossips an accepted configuration version to the other hosts.
	ObserveVersion(version chestnutroad.Version, offset chestnutroad.Offset)
	// Version returns the highest configuration version that this host has observed or received by gossip, and its offset.
	Version() (chestnutroad.Version, chestnutroad.Offset)
	// SendSummary sends a load summary to another host within the control budget.
	SendSummary(to chestnutroad.HostID, summary pool.Summary)
	// SendExceptions sends placement exceptions to another host within the control budget.
	SendExceptions(to chestnutroad.HostID, id chestnutroad.ShardID, exceptions []pool.PlacementException)
	// Forward sends a request to the owner of its shard.
	Forward(ctx context.Context, to member.HostView, shard chestnutroad.ShardID, request *chestnutroad.Request,
		call *chestnutroad.Call, answer chestnutroad.Answer, redirects int) error
	// FetchState fetches state of the kind from a host.
	FetchState(ctx context.Context, to member.HostView, kind stateKind, shard chestnutroad.ShardID) ([]byte, error)
	// HandOver sends a shard's state to its successor.
	HandOver(ctx context.Context, to member.HostView, shard chestnutroad.ShardID, epoch chestnutroad.Epoch, state []byte) error
	// Leave announces to the other hosts that this one is leaving.
	Leave()
}

// stateKind is a kind of state that a host can fetch from another one.
type stateKind string

// The kinds of state.
const (
	stateConfiguration stateKind = "Configuration"
	stateOrders        stateKind = "Orders"
	stateShard         stateKind = "Shard"
	// stateOwner returns no state, or errNotOwner if the host does not own the shard.
	stateOwner stateKind = "Owner"
)
