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

// listedTarget is one target of the site from the host list; leaving is also set if a peer announces it.
type listedTarget struct {
	id      chestnutroad.TargetID
	shard   chestnutroad.ShardID
	kind    chestnutroad.ServiceKind
	address string
	leaving bool
}

// targetList holds the targets of the site, indexed by ID and by service.
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

// set replaces the list. Targets that are leaving are not added to the pools, so they get no new work.
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

// candidates returns the targets of a service that accept new work.
func (tl *targetList) candidates(service chestnutroad.ServiceID) []pool.Candidate {
	tl.mu.RLock()
	defer tl.mu.RUnlock()
	return tl.pools[service]
}

// inShard returns the shard's targets ordered by ID, including those that are leaving.
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

// shards returns the shards that have targets, ordered by name.
func (tl *targetList) shards() []chestnutroad.ShardID {
	tl.mu.RLock()
	defer tl.mu.RUnlock()
	seen := map[chestnutroad.ShardID]bool{}
	for _, listed := range tl.targets {
		seen[listed.shard] = true
	}
	return slices.SortedFunc(maps.Keys(seen), compareShards)
}

func compareShards(a, b chestnutroad.ShardID) int {
	return slices.Compare([]string{a.String()}, []string{b.String()})
}

// client returns a client for the target's protocol.
func (lt listedTarget) client() chestnutroad.Target {
	if lt.kind == chestnutroad.ServiceEngine {
		return engine.New(lt.address)
	}
	return service.New(lt.address)
}
