package host

import (
	"maps"
	"slices"
	"sync"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/engine"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/service"
)

// listedTarget is one target of the site as the host list or a peer describes it.
type listedTarget struct {
	id      chestnutroad.TargetID
	shard   chestnutroad.ShardID
	kind    chestnutroad.ServiceKind
	address string
	leaving bool
}

// targetList holds the targets of the site. The last list stays in use while the host list can't be reached.
type targetList struct {
	mu      sync.RWMutex
	targets map[chestnutroad.TargetID]listedTarget
	pools   map[chestnutroad.ServiceID][]pool.Candidate
}

func newTargetList() *targetList {
	return &targetList{
		targets: map[chestnutroad.TargetID]listedTarget{},
		pools:   map[chestnutroad.ServiceID][]pool.Candidate{},
	}
}

// set replaces the list. A target that leaves stays out of the pools from this moment on.
func (tl *targetList) set(targets []listedTarget) {
	byID := make(map[chestnutroad.TargetID]listedTarget, len(targets))
	pools := map[chestnutroad.ServiceID][]pool.Candidate{}
	for _, listed := range targets {
		byID[listed.id] = listed
		if listed.leaving {
			continue
		}
		service := listed.shard.Pool.Service
		pools[service] = append(pools[service], pool.Candidate{ID: listed.id, Shard: listed.shard, Weight: 1})
	}
	tl.mu.Lock()
	defer tl.mu.Unlock()
	tl.targets = byID
	tl.pools = pools
}

// candidates returns the targets of a service that take new work.
func (tl *targetList) candidates(service chestnutroad.ServiceID) []pool.Candidate {
	tl.mu.RLock()
	defer tl.mu.RUnlock()
	return tl.pools[service]
}

// inShard returns the shard's targets in order of their ids, leaving ones included.
func (tl *targetList) inShard(shard chestnutroad.ShardID) []listedTarget {
	tl.mu.RLock()
	defer tl.mu.RUnlock()
	var found []listedTarget
	for _, id := range slices.Sorted(maps.Keys(tl.targets)) {
		if listed := tl.targets[id]; listed.shard == shard {
			found = append(found, listed)
		}
	}
	return found
}

// shards returns all shards that have targets, in order.
func (tl *targetList) shards() []chestnutroad.ShardID {
	tl.mu.RLock()
	defer tl.mu.RUnlock()
	seen := map[chestnutroad.ShardID]bool{}
	for _, listed := range tl.targets {
		seen[listed.shard] = true
	}
	return slices.SortedFunc(maps.Keys(seen), compareShards)
}

func compareShards(one, other chestnutroad.ShardID) int {
	return slices.Compare([]string{one.String()}, []string{other.String()})
}

// client returns a client for the target's protocol.
func (lt listedTarget) client() chestnutroad.Target {
	if lt.kind == chestnutroad.ServiceEngine {
		return engine.New(lt.address)
	}
	return service.New(lt.address)
}
