package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/pool/baseline"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// idleCheckInterval is the time between checks whether a draining host or target has finished its last request.
const idleCheckInterval = time.Second

// handleEvent applies an event of the trace.
func (si *simulation) handleEvent(ev *trace.Event) {
	duration := time.Duration(ev.ForMs) * time.Millisecond
	switch ev.Type {
	case trace.EventRequest:
		si.callCount++
		ca := si.newCall(ev.Request, si.callCount)
		si.openCalls[ca.index] = ca
		ca.begin()
	case trace.TargetJoin:
		si.addTarget(*ev.Target)
		si.scheduleListChange(func(tg *target) { tg.listed = true }, ev.Target.ID)
	case trace.TargetLeave:
		si.drainTarget(si.targets[ev.Target.ID])
	case trace.TargetFail:
		tg := si.targets[ev.Target.ID]
		tg.removed = true
		tg.stop()
		si.scheduleListChange(func(tg *target) { tg.listed = false }, tg.ID)
	case trace.TargetRestart, trace.TargetFlap:
		si.interruptTarget(si.targets[ev.Target.ID], duration, ev.Type == trace.TargetRestart)
	case trace.HostFail:
		si.failHost(si.hosts[ev.Host.ID])
	case trace.HostJoin:
		si.joinHost(*ev.Host)
	case trace.HostReplace:
		si.drainHost(si.hosts[ev.Replaced])
		si.joinHost(*ev.Host)
	case trace.Partition:
		si.partition(ev.DataCentre)
	case trace.Heal:
		si.heal(ev.DataCentre)
	case trace.LogDown, trace.LogUp:
		si.log.up = ev.Type == trace.LogUp
		si.scheduleReads()
	}
}

// scheduleListChange changes the target's entry in the platform's list after the time that routers take to read it.
func (si *simulation) scheduleListChange(change func(*target), id chestnutroad.TargetID) {
	lag := time.Duration(si.tr.Header.HostListLagMs) * time.Millisecond
	si.queue.after(lag, func() {
		change(si.targets[id])
		si.publishTargetList()
	})
}

// publishTargetList derives the shards and candidates from the platform's list, passes the list to all instances, and
// makes the hosts decide on ownership again.
func (si *simulation) publishTargetList() {
	si.candidates = map[chestnutroad.ServiceID][]pool.Candidate{}
	seen := map[chestnutroad.ShardID]bool{}
	si.shards = nil
	for _, tg := range si.targetOrder {
		tg.pool.dirty = true
		if !tg.listed {
			continue
		}
		if !seen[tg.shard()] {
			seen[tg.shard()] = true
			si.shards = append(si.shards, tg.shard())
		}
		if !tg.listedLeaving {
			si.candidates[tg.Service] = append(si.candidates[tg.Service], pool.Candidate{ID: tg.ID, Shard: tg.shard(), Weight: 1})
		}
	}
	slices.SortFunc(si.shards, func(a, b chestnutroad.ShardID) int { return cmp.Compare(a.String(), b.String()) })
	for _, in := range si.allInstances() {
		in.apply(in.policy.SetTargets(si.time(), si.listedTargets(in.routesTo)))
	}
	for _, ho := range si.hostOrder {
		if ho.alive {
			ho.wakeOwnership()
		}
	}
}

// routesTo reports whether the instance routes requests to the target.
func (in *instance) routesTo(tg *target) bool {
	if in.si.policyEntry.Scope == baseline.ScopeShard {
		return tg.shard() == in.shard
	}
	return tg.Service == in.service.ID
}

func (si *simulation) listedTargets(match func(*target) bool) []pool.Target {
	var listed []pool.Target
	for _, tg := range si.targetOrder {
		if tg.listed && match(tg) {
			listed = append(listed, pool.Target{ID: tg.ID, Leaving: tg.listedLeaving})
		}
	}
	return listed
}

// drainTarget marks the target as leaving, and removes it once it is idle.
func (si *simulation) drainTarget(tg *target) {
	tg.leaving = true
	si.scheduleListChange(func(tg *target) { tg.listedLeaving = true }, tg.ID)
	si.queue.after(idleCheckInterval, func() { si.removeDrainedTarget(tg) })
}

// removeDrainedTarget removes a leaving target once the routers have read that it is leaving and its last request has
// ended.
func (si *simulation) removeDrainedTarget(tg *target) {
	if tg.work > 0 || !tg.listedLeaving {
		si.queue.after(idleCheckInterval, func() { si.removeDrainedTarget(tg) })
		return
	}
	tg.removed = true
	tg.stop()
	si.scheduleListChange(func(tg *target) { tg.listed = false }, tg.ID)
}

// interruptTarget stops the target for a time. With reset, it comes back empty and with a new incarnation.
func (si *simulation) interruptTarget(tg *target, duration time.Duration, reset bool) {
	tg.stop()
	si.scheduleListChange(func(tg *target) { tg.listed = false }, tg.ID)
	si.queue.after(duration, func() {
		tg.restart(reset)
		si.scheduleListChange(func(tg *target) { tg.listed = !tg.removed }, tg.ID)
	})
}

func (si *simulation) failHost(ho *host) {
	if !ho.alive {
		return
	}
	ho.fail()
	si.gossipState(ho, member.Dead, si.failureDetectionDelay, func() bool { return true })
}

// joinHost starts a host. It and the other hosts discover each other after the delay of gossip.
func (si *simulation) joinHost(description trace.Host) {
	ho := si.newHost(description)
	si.addRouters(ho)
	ho.setView(ho, member.Alive)
	for _, other := range si.hostOrder {
		if other == ho || !other.alive || !si.net.reaches(ho.DataCentre, other.DataCentre) {
			continue
		}
		si.queue.after(si.gossipDelay(), func() { ho.exchangeState(other) })
	}
	si.gossipState(ho, member.Alive, si.gossipDelay, func() bool { return ho.alive })
}

// exchangeState applies another host's state and its epochs of the shards to this host.
func (ho *host) exchangeState(other *host) {
	if !ho.alive || !other.alive {
		return
	}
	state := member.Alive
	if other.leaving {
		state = member.Leaving
	}
	ho.setView(other, state)
	for _, shard := range ho.si.shards {
		if epoch := other.ownership.Epoch(shard); !epoch.IsZero() {
			ho.ownership.Observe(shard, epoch)
		}
	}
}

// drainHost stops a host gracefully: it hands its shards over, and stops once its last request has ended.
func (si *simulation) drainHost(ho *host) {
	ho.leaving = true
	ho.setView(ho, member.Leaving)
	si.gossipState(ho, member.Leaving, si.gossipDelay, func() bool { return true })
	si.queue.after(decideDuration, func() { si.stopDrainedHost(ho) })
}

// stopDrainedHost stops a leaving host once it owns no shard and is idle.
func (si *simulation) stopDrainedHost(ho *host) {
	if !ho.alive {
		return
	}
	if len(ho.owned) > 0 || !ho.idle() {
		si.queue.after(idleCheckInterval, func() { si.stopDrainedHost(ho) })
		return
	}
	ho.stop()
	for _, in := range ho.sortedInstances() {
		in.live = false
	}
	si.gossipState(ho, member.Dead, si.gossipDelay, func() bool { return true })
}

// partition isolates a data centre. Streams across the partition break, and the hosts on each side consider those on the
// other dead once failure detection has timed out.
func (si *simulation) partition(centre chestnutroad.DataCentreID) {
	si.net.partitioned[centre] = true
	si.markPoolsDirty()
	for _, in := range si.allInstances() {
		for _, rt := range in.sortedRoutes() {
			si.breakRoute(in, rt)
		}
	}
	si.scheduleReads()
	for _, ho := range si.hostOrder {
		if ho.alive {
			si.gossipStateTo(ho, member.Dead, si.failureDetectionDelay, func(other *host) bool {
				return !si.net.reaches(ho.DataCentre, other.DataCentre)
			})
		}
	}
}

// breakRoute ends the request if a partition separates the router from the entry host, or the attempt if it separates the
// router from the target.
func (si *simulation) breakRoute(in *instance, rt *route) {
	if !si.net.reaches(rt.call.entry.DataCentre, in.dataCentre) {
		rt.call.handleBrokenStream(rt)
		in.withdraw(rt)
		return
	}
	if at := rt.attempt; at != nil && !at.ended && !si.net.reaches(in.dataCentre, at.target.DataCentre) {
		kind := pool.FailureBroken
		if !at.target.holds(at) {
			kind = pool.FailureNotRun
		} else {
			at.target.cancel(at)
		}
		fleet := si.effective.Fleet
		si.queue.after(fleet.KeepAlive+fleet.PingTimeout, func() { in.attemptFailed(at, kind) })
	}
}

// gossipStateTo passes the state of a host to the other hosts that match, each after its own delay and only if it still
// matches then.
func (si *simulation) gossipStateTo(about *host, state member.State, delay func() time.Duration, match func(*host) bool) {
	for _, other := range si.hostOrder {
		if other == about || !other.alive || !match(other) {
			continue
		}
		si.queue.after(delay(), func() {
			if other.alive && match(other) {
				other.setView(about, state)
			}
		})
	}
}

// heal ends the partition of a data centre. The hosts on both sides discover each other and exchange their epochs.
func (si *simulation) heal(centre chestnutroad.DataCentreID) {
	delete(si.net.partitioned, centre)
	si.markPoolsDirty()
	si.scheduleReads()
	for _, ho := range si.hostOrder {
		if !ho.alive || ho.leaving {
			continue
		}
		inside := ho.DataCentre == centre
		si.gossipStateTo(ho, member.Alive, si.gossipDelay, func(other *host) bool {
			return (other.DataCentre == centre) != inside && si.net.reaches(ho.DataCentre, other.DataCentre)
		})
	}
	si.queue.after(maxGossipDelay, si.gossipAllEpochs)
}
