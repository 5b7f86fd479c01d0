package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/policy"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

const (
	ownershipInterval = 100 * time.Millisecond
	stateTimeout      = 2 * time.Second
	// ownerQueryInterval is the minimum time between queries to owners whose handover this host waits for.
	ownerQueryInterval = 300 * time.Millisecond
)

// ownership takes over and gives up shards for this host.
type ownership struct {
	host *Host

	mu     sync.Mutex
	table  *member.Ownership
	shards map[chestnutroad.ShardID]*ownedShard
	// released holds shards that this host gave up and that still run requests or are being handed over.
	released []*ownedShard
	// receivedStates holds the states to import when this host takes a shard over: that of the former owner, preceded by
	// this host's own if both owned the shard at the same time.
	receivedStates map[chestnutroad.ShardID][][]byte
	// lastQuery is when former owners were queried last; only the ownership controller uses it.
	lastQuery time.Time
	// exceptions holds the placement exceptions of shards that other hosts own.
	exceptions map[chestnutroad.ShardID]*exceptionStore
}

func newOwnership(host *Host) *ownership {
	return &ownership{
		host:           host,
		table:          member.NewOwnership(host.settings.ID),
		shards:         map[chestnutroad.ShardID]*ownedShard{},
		receivedStates: map[chestnutroad.ShardID][][]byte{},
		exceptions:     map[chestnutroad.ShardID]*exceptionStore{},
	}
}

// reconcile takes over and gives up shards according to the current membership.
func (ow *ownership) reconcile(ctx context.Context) {
	di := ow.host.directory.Load()
	if di == nil {
		return
	}
	hosts := ow.host.peers.Hosts()
	ow.mu.Lock()
	ids := ow.shardsToDecide()
	for _, id := range ids {
		ow.table.Observe(id, ow.host.peers.Epoch(id))
	}
	decisions := ow.table.Decide(ow.host.now(), ids, hosts)
	pending := ow.table.PendingHandovers()
	ow.mu.Unlock()
	ow.queryFormerOwners(ctx, pending, hosts)
	for _, decision := range decisions {
		switch decision.Type {
		case member.TakeOver:
			ow.takeOver(ctx, di, decision, hosts)
		case member.StepDown:
			ow.stepDown(ctx, decision, hosts)
		case member.Keep:
		}
	}
}

// shardsToDecide returns the listed shards and the owned ones that are no longer listed, since their service or targets
// are gone; this host must still be able to give those up. The caller holds the lock.
func (ow *ownership) shardsToDecide() []chestnutroad.ShardID {
	ids := ow.host.targets.shards()
	for id := range ow.shards {
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// queryFormerOwners asks the owners whose handover this host waits for whether they still own the shard, at most once
// every ownerQueryInterval.
func (ow *ownership) queryFormerOwners(ctx context.Context, pending []member.PendingHandover, hosts []member.HostView) {
	if now := ow.host.now(); len(pending) > 0 && now.Sub(ow.lastQuery) >= ownerQueryInterval {
		ow.lastQuery = now
		go func() {
			for _, handover := range pending {
				ow.queryFormerOwner(ctx, handover, hosts)
			}
		}()
	}
}

// queryFormerOwner marks the shard as given up if the host that this one waits for answers that it does not own it.
func (ow *ownership) queryFormerOwner(ctx context.Context, handover member.PendingHandover, hosts []member.HostView) {
	former, found := findHost(hosts, handover.Former)
	if !found {
		return
	}
	inner, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	if _, err := ow.host.peers.FetchState(inner, former, stateOwner, handover.Shard); errors.Is(err, errNotOwner) {
		ow.mu.Lock()
		ow.table.Released(handover.Shard, handover.Former)
		ow.mu.Unlock()
	}
}

// takeOver starts the shard on this host, with the former owner's state if it is available.
func (ow *ownership) takeOver(ctx context.Context, di *directory, decision member.Decision, hosts []member.HostView) {
	id := decision.Shard
	service, found := di.effective.Service(id.Pool.Service)
	if !found {
		return
	}
	sh := newOwnedShard(id, ow.host.now, ow.host.orders, ow.host.record, policy.Options(di.effective, service)...)
	sh.start(ow.host.ctx)
	sh.setTargets(ow.host.targets.inShard(id))
	ow.host.peers.ObserveEpoch(id, decision.Epoch)
	fetched := ow.importState(ctx, sh, decision, hosts)
	ow.applyExceptions(sh, fetched)
	sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action {
		return owner.TakeOver(now, decision.Epoch, fetched)
	})
	ow.mu.Lock()
	ow.shards[id] = sh
	ow.mu.Unlock()
	ow.host.logger.Info("took over a shard", "Shard", id.String(), "Former", decision.Former, "StateFetched", fetched)
	ow.host.record(timeline.Event{Type: timeline.OwnerChanged, Shard: id.String(), Detail: "took over"})
}

// importState imports the states handed over for the shard, or else one fetched from its former owner, and reports whether
// at least one could be read. It also returns true if there is none because the shard has no former owner.
func (ow *ownership) importState(
	ctx context.Context, sh *ownedShard, decision member.Decision, hosts []member.HostView,
) bool {
	ow.mu.Lock()
	states := ow.receivedStates[sh.id]
	delete(ow.receivedStates, sh.id)
	ow.mu.Unlock()
	former, found := findHost(hosts, decision.Former)
	if len(states) == 0 && decision.FormerReachable && found {
		inner, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		fetched, err := ow.host.peers.FetchState(inner, former, stateShard, sh.id)
		if err != nil {
			ow.host.logger.Warn("failed to fetch the former owner's state", "Shard", sh.id.String(), "Error", err)
			return false
		}
		states = append(states, fetched)
	}
	if len(states) == 0 {
		return decision.Former == ""
	}
	return sh.importStates(states)
}

// stepDown gives the shard up and hands its state to the successor. If another owner has handed its own state to this
// host, the shard's state is stored with it, for this host to import when it takes the shard again.
func (ow *ownership) stepDown(ctx context.Context, decision member.Decision, hosts []member.HostView) {
	ow.mu.Lock()
	sh := ow.shards[decision.Shard]
	delete(ow.shards, decision.Shard)
	if sh != nil {
		ow.released = append(ow.released, sh)
	}
	if received := ow.receivedStates[decision.Shard]; sh != nil && len(received) > 0 {
		ow.receivedStates[decision.Shard] = append([][]byte{sh.export()}, received...)
	}
	ow.mu.Unlock()
	if sh == nil {
		return
	}
	sh.release()
	ow.host.logger.Info("gave up a shard", "Shard", sh.id.String(), "Successor", decision.Successor)
	ow.host.record(timeline.Event{Type: timeline.OwnerChanged, Shard: sh.id.String(), Detail: "stepped down"})
	successor, found := findHost(hosts, decision.Successor)
	if !found || successor.ID == ow.host.settings.ID {
		sh.handedOver.Store(true)
		return
	}
	go ow.handOver(context.WithoutCancel(ctx), sh, decision.Epoch, successor)
}

// handOver sends the state of a released shard to its successor.
func (ow *ownership) handOver(ctx context.Context, sh *ownedShard, epoch chestnutroad.Epoch, successor member.HostView) {
	inner, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	defer sh.handedOver.Store(true)
	err := ow.host.peers.HandOver(inner, successor, sh.id, epoch, sh.export())
	if err != nil {
		ow.host.logger.Warn("failed to hand over the shard's state", "Shard", sh.id.String(), "Error", err)
	}
}

// receiveState stores the state that a former owner hands over. If this host owns the shard too, as happens after a
// partition, it steps down for the higher epoch and takes the shard over again at once. If it refused the state instead,
// the shard would have no owner until the takeover delay has passed.
func (ow *ownership) receiveState(id chestnutroad.ShardID, epoch chestnutroad.Epoch, state []byte) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.table.Observe(id, epoch)
	ow.table.HandedOver(id)
	// A host that is named as successor by mistake never takes the shard, so states must not accumulate: only the latest
	// is kept.
	ow.receivedStates[id] = [][]byte{state}
}

// releasing reports whether a shard that this host gave up still runs requests or is being handed over. It forgets the
// others.
func (ow *ownership) releasing() bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.released = slices.DeleteFunc(ow.released, func(sh *ownedShard) bool { return sh.openRequests() == 0 && sh.handedOver.Load() })
	return len(ow.released) > 0
}

// localShard returns the shard if this host owns it, or nil.
func (ow *ownership) localShard(id chestnutroad.ShardID) *ownedShard {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.shards[id]
}

// ownedShards returns all shards that this host owns.
func (ow *ownership) ownedShards() []*ownedShard {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	shards := make([]*ownedShard, 0, len(ow.shards))
	for _, sh := range ow.shards {
		shards = append(shards, sh)
	}
	return shards
}

// ownerOf returns the host that owns the shard as far as this host knows: the holder of the highest epoch, or the first
// host in rendezvous order if the holder is dead or not a member.
func (ow *ownership) ownerOf(id chestnutroad.ShardID, hosts []member.HostView) (member.HostView, bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.table.Observe(id, ow.host.peers.Epoch(id))
	if holder, found := findHost(hosts, ow.table.Epoch(id).Host); found && holder.State != member.Dead {
		return holder, true
	}
	owner, _ := ow.table.OwnerOf(id, hosts)
	return findHost(hosts, owner)
}

// rank returns the hosts that may own the shard in rendezvous order.
func (ow *ownership) rank(id chestnutroad.ShardID, hosts []member.HostView) []chestnutroad.HostID {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.table.Rank(id, hosts)
}

// needsOrderLog reports whether this host is among the first orderFollowers hosts in rendezvous order for a shard whose
// calls may run at most once.
func (ow *ownership) needsOrderLog(di *directory, hosts []member.HostView) bool {
	for _, id := range ow.host.targets.shards() {
		if !di.hasOrders(id.Pool.Service) {
			continue
		}
		for position, host := range ow.rank(id, hosts) {
			if position < orderFollowers && host == ow.host.settings.ID {
				return true
			}
		}
	}
	return false
}

// orderFollowers is the number of hosts that follow the order log for each shard: the owner and the next one, so that the
// latter is ready when it takes over.
const orderFollowers = 2

func findHost(hosts []member.HostView, id chestnutroad.HostID) (member.HostView, bool) {
	for _, view := range hosts {
		if view.ID == id {
			return view, true
		}
	}
	return member.HostView{}, false
}
