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
	// askInterval spaces the questions to owners for whose hand-over this host waits.
	askInterval = 300 * time.Millisecond
)

// ownership controls which shards this host owns.
type ownership struct {
	host *Host

	mu     sync.Mutex
	books  *member.Ownership
	shards map[chestnutroad.ShardID]*shard
	// released holds shards that this host gave up and whose running requests have not ended.
	released []*shard
	// received holds the states of a shard from before this host takes it: that of the former owner, and this host's own
	// when it owned the shard at the same time as the former owner.
	received map[chestnutroad.ShardID][][]byte
	// asked is when owners were asked last; only the ownership controller uses it.
	asked time.Time
	kept  map[chestnutroad.ShardID]*exceptionStore
}

func newOwnership(host *Host) *ownership {
	return &ownership{
		host:     host,
		books:    member.NewOwnership(host.settings.ID),
		shards:   map[chestnutroad.ShardID]*shard{},
		received: map[chestnutroad.ShardID][][]byte{},
		kept:     map[chestnutroad.ShardID]*exceptionStore{},
	}
}

// step takes over and gives up shards as membership demands.
func (ow *ownership) step(ctx context.Context) {
	di := ow.host.directory.Load()
	if di == nil {
		return
	}
	hosts := ow.host.peers.Hosts()
	ow.mu.Lock()
	known := ow.decidable()
	for _, id := range known {
		ow.books.Observe(id, ow.host.peers.Epoch(id))
	}
	decisions := ow.books.Decide(ow.host.now(), known, hosts)
	waits := ow.books.PendingHandovers()
	ow.mu.Unlock()
	ow.askFormerOwners(ctx, waits, hosts)
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

// decidable returns the listed shards and those that this host owns although their service or targets are gone, which it
// must still be able to give up. The caller holds the lock.
func (ow *ownership) decidable() []chestnutroad.ShardID {
	known := ow.host.targets.shards()
	for id := range ow.shards {
		if !slices.Contains(known, id) {
			known = append(known, id)
		}
	}
	return known
}

// askFormerOwners asks the owners for whose hand-over this host waits whether they still own the shard.
func (ow *ownership) askFormerOwners(ctx context.Context, waits []member.PendingHandover, hosts []member.HostView) {
	if now := ow.host.now(); len(waits) > 0 && now.Sub(ow.asked) >= askInterval {
		ow.asked = now
		go func() {
			for _, wait := range waits {
				ow.askFormerOwner(ctx, wait, hosts)
			}
		}()
	}
}

func (ow *ownership) askFormerOwner(ctx context.Context, wait member.PendingHandover, hosts []member.HostView) {
	former, found := findHost(hosts, wait.Former)
	if !found {
		return
	}
	inner, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	if _, err := ow.host.peers.FetchState(inner, former, stateOwner, wait.Shard); errors.Is(err, errNotOwner) {
		ow.mu.Lock()
		ow.books.Released(wait.Shard, wait.Former)
		ow.mu.Unlock()
	}
}

// takeOver starts a shard on this host, with the former owner's state where it can be had.
func (ow *ownership) takeOver(ctx context.Context, di *directory, decision member.Decision, hosts []member.HostView) {
	id := decision.Shard
	service, known := di.effective.Service(id.Pool.Service)
	if !known {
		return
	}
	sh := newShard(id, ow.host.now, ow.host.orders, ow.host.record, policy.Options(di.effective, service)...)
	sh.attach(ow.host.running)
	sh.setTargets(ow.host.targets.ofShard(id))
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

// importState reports whether the shard starts with the state of its former owner. A shard without a former owner has
// none to miss.
func (ow *ownership) importState(
	ctx context.Context, sh *shard, decision member.Decision, hosts []member.HostView,
) bool {
	ow.mu.Lock()
	states := ow.received[sh.id]
	delete(ow.received, sh.id)
	ow.mu.Unlock()
	former, found := findHost(hosts, decision.Former)
	if len(states) == 0 && decision.FormerReachable && found {
		inner, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		fetched, err := ow.host.peers.FetchState(inner, former, stateShard, sh.id)
		if err != nil {
			ow.host.logger.Warn("the former owner's state can't be fetched", "Shard", sh.id.String(), "Error", err)
			return false
		}
		states = append(states, fetched)
	}
	if len(states) == 0 {
		return decision.Former == ""
	}
	return sh.importStates(states)
}

// stepDown gives a shard up and hands its state to the next owner.
func (ow *ownership) stepDown(ctx context.Context, decision member.Decision, hosts []member.HostView) {
	ow.mu.Lock()
	sh := ow.shards[decision.Shard]
	delete(ow.shards, decision.Shard)
	if sh != nil {
		ow.released = append(ow.released, sh)
	}
	if handed := ow.received[decision.Shard]; sh != nil && len(handed) > 0 {
		ow.received[decision.Shard] = append([][]byte{sh.export()}, handed...)
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

func (ow *ownership) handOver(ctx context.Context, sh *shard, epoch chestnutroad.Epoch, successor member.HostView) {
	inner, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	defer sh.handedOver.Store(true)
	err := ow.host.peers.HandOver(inner, successor, sh.id, epoch, sh.export())
	if err != nil {
		ow.host.logger.Warn("the shard's state can't be handed over", "Shard", sh.id.String(), "Error", err)
	}
}

// take stores state that a former owner hands over. A host that owns the shard too, as both sides of a partition do,
// gives its ownership up for the higher epoch and takes the shard again at once; if it refused the state, the shard would
// have no owner until the wait for a hand-over is over.
func (ow *ownership) take(id chestnutroad.ShardID, epoch chestnutroad.Epoch, state []byte) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.books.Observe(id, epoch)
	ow.books.HandedOver(id)
	// Only the latest state is kept: a host that is named as successor by mistake never takes the shard.
	ow.received[id] = [][]byte{state}
}

// releasing reports whether a shard that this host gave up still runs requests or is being handed over.
func (ow *ownership) releasing() bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.released = slices.DeleteFunc(ow.released, func(sh *shard) bool { return sh.open() == 0 && sh.handedOver.Load() })
	return len(ow.released) > 0
}

// local returns the shard when this host owns it.
func (ow *ownership) local(id chestnutroad.ShardID) *shard {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.shards[id]
}

// owned returns all shards that this host owns.
func (ow *ownership) owned() []*shard {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	shards := make([]*shard, 0, len(ow.shards))
	for _, sh := range ow.shards {
		shards = append(shards, sh)
	}
	return shards
}

// ownerOf returns the host that owns the shard as far as this host knows.
func (ow *ownership) ownerOf(id chestnutroad.ShardID, hosts []member.HostView) (member.HostView, bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.books.Observe(id, ow.host.peers.Epoch(id))
	if holder, found := findHost(hosts, ow.books.Epoch(id).Host); found && holder.State != member.Dead {
		return holder, true
	}
	first, _ := ow.books.OwnerOf(id, hosts)
	return findHost(hosts, first)
}

// rank returns the hosts that may own the shard in rendezvous order.
func (ow *ownership) rank(id chestnutroad.ShardID, hosts []member.HostView) []chestnutroad.HostID {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.books.Rank(id, hosts)
}

// follows reports whether this host needs the order log: it owns a shard of calls that may run at most once, or is next
// in line for one.
func (ow *ownership) follows(di *directory, hosts []member.HostView) bool {
	for _, id := range ow.host.targets.shards() {
		if !di.hasOrders(id.Pool.Service) {
			continue
		}
		for place, host := range ow.rank(id, hosts) {
			if place < orderFollowers && host == ow.host.settings.ID {
				return true
			}
		}
	}
	return false
}

// orderFollowers is the number of hosts in line for a shard that follow the order log, so that the next owner is ready
// when it takes over.
const orderFollowers = 2

func findHost(hosts []member.HostView, id chestnutroad.HostID) (member.HostView, bool) {
	for _, view := range hosts {
		if view.ID == id {
			return view, true
		}
	}
	return member.HostView{}, false
}
