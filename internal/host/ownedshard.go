package host

import (
	"context"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/engine"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

const (
	shardTickInterval = 50 * time.Millisecond
	// loadPollInterval and eventPollInterval keep the polling of two engines per host within the control budget.
	loadPollInterval  = time.Second
	eventPollInterval = 4 * time.Second
)

// start starts the owner's ticks and sets the context of the polling of engines; both end with ctx.
func (sh *ownedShard) start(ctx context.Context) {
	sh.ctx, sh.stop = context.WithCancel(ctx)
	go every(sh.ctx, shardTickInterval, func() {
		sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action { return owner.Tick(now) })
	})
}

// setTargets replaces the shard's targets: it connects to new ones and stops polling removed ones.
func (sh *ownedShard) setTargets(listed []listedTarget) {
	targets := make([]pool.Target, 0, len(listed))
	present := map[chestnutroad.TargetID]bool{}
	sh.mu.Lock()
	for _, lt := range listed {
		present[lt.id] = true
		targets = append(targets, pool.Target{ID: lt.id, Leaving: lt.leaving})
		sh.connectTarget(lt)
	}
	for id, link := range sh.links {
		if !present[id] {
			link.stop()
			delete(sh.links, id)
		}
	}
	sh.mu.Unlock()
	sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action { return owner.SetTargets(now, targets) })
}

// targetLink holds the client of one target; stop ends the polling of an engine.
type targetLink struct {
	address string
	client  chestnutroad.Target
	stop    context.CancelFunc
}

// connectTarget creates a client for the target, unless there is one for its address, and polls it if it is an engine.
// The caller holds the lock.
func (sh *ownedShard) connectTarget(lt listedTarget) {
	current, found := sh.links[lt.id]
	if found && current.address == lt.address {
		return
	}
	if found {
		current.stop()
	}
	ctx, stop := context.WithCancel(sh.ctx)
	client := lt.client()
	sh.links[lt.id] = &targetLink{address: lt.address, client: client, stop: stop}
	if reporting, isEngine := client.(*engine.Client); isEngine {
		go sh.pollLoad(ctx, reporting, lt.id)
		go sh.pollEvents(ctx, reporting, lt.id)
	}
}

func (sh *ownedShard) pollLoad(ctx context.Context, client *engine.Client, id chestnutroad.TargetID) {
	client.PollLoad(ctx, loadPollInterval, func(load engine.Load, err error) {
		if err != nil {
			return
		}
		report := load.LoadReport
		report.Target = id
		sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action { return owner.Report(now, report) })
	})
}

func (sh *ownedShard) pollEvents(ctx context.Context, client *engine.Client, id chestnutroad.TargetID) {
	client.PollCacheEvents(ctx, eventPollInterval, func(events engine.Events, err error) {
		if err != nil {
			return
		}
		for _, event := range events.Events {
			event.Target = id
			sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action { return owner.CacheEvent(now, event) })
		}
	})
}

// release gives the shard up: queued requests go to the next owner, running ones finish on this host.
func (sh *ownedShard) release() {
	sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action { return owner.StepDown(now) })
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.released = true
	sh.stop()
}

// openRequests returns the number of requests that the shard has not finished.
func (sh *ownedShard) openRequests() int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return len(sh.mailboxes)
}

// importStates imports the states of former owners and reports whether at least one could be read. If two of them place
// the same chat, the first placement is kept.
func (sh *ownedShard) importStates(states [][]byte) bool {
	imported := false
	sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action {
		for _, state := range states {
			if owner.Import(now, state) == nil {
				imported = true
			}
		}
		return nil
	})
	return imported
}

// export returns the shard's state for its successor.
func (sh *ownedShard) export() []byte {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.owner.Export()
}

// dueSummary returns the shard's load for the owners of the pool's other shards, and whether it is due to be sent. A due
// summary counts as sent.
func (sh *ownedShard) dueSummary() (pool.Summary, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	summary := sh.owner.Summary(sh.now())
	if !summary.Due(sh.lastSummary) {
		return summary, false
	}
	sh.lastSummary = summary
	return summary, true
}

// receiveSummary passes the load of another shard of the pool to the owner.
func (sh *ownedShard) receiveSummary(summary pool.Summary) {
	sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action { return owner.PeerSummary(now, summary) })
}

// status returns the owner's state for operators.
func (sh *ownedShard) status() pool.Status {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.owner.Status(sh.now())
}
