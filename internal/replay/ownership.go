package replay

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/policy"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/pool/baseline"
)

const (
	// decideInterval is the time between decisions on the ownership of shards, as in internal/host.
	decideInterval = 100 * time.Millisecond
	// decideDuration is how long a host keeps deciding after a change; it is longer than any wait in member.Ownership.
	decideDuration = 7 * time.Second
	// Membership gossip reaches a host after a random delay between these bounds.
	minGossipDelay = 100 * time.Millisecond
	maxGossipDelay = 1500 * time.Millisecond
	// tickInterval is the longest time between ticks that pool.Owner allows.
	tickInterval = 100 * time.Millisecond
)

// gossipDelay returns a random time until gossip reaches a host. Hosts have different views until then.
func (si *simulation) gossipDelay() time.Duration {
	return minGossipDelay + time.Duration(si.random.Int64N(int64(maxGossipDelay-minGossipDelay)))
}

// failureDetectionDelay returns a random time until a host considers an unresponsive one dead.
func (si *simulation) failureDetectionDelay() time.Duration {
	fleet := si.effective.Fleet
	probe := time.Duration(si.random.Int64N(int64(fleet.ProbeInterval)))
	return probe + fleet.ProbeTimeout + fleet.SuspectTimeout + si.gossipDelay()
}

// gossipState passes the state of a host to all other hosts, each after its own delay and only if the state is still valid
// then.
func (si *simulation) gossipState(about *host, state member.State, delay func() time.Duration, valid func() bool) {
	for _, ho := range si.hostOrder {
		if ho == about {
			continue
		}
		si.queue.after(delay(), func() {
			if ho.alive && valid() {
				ho.setView(about, state)
			}
		})
	}
}

// setView updates this host's view of a host, and informs the order machine and ownership of it.
func (ho *host) setView(about *host, state member.State) {
	view := member.HostView{
		Host:  member.Host{ID: about.ID, DataCentre: about.DataCentre, Incarnation: about.incarnation()},
		State: state,
	}
	index := slices.IndexFunc(ho.views, func(other member.HostView) bool { return other.ID == about.ID })
	if index < 0 {
		ho.views = append(ho.views, view)
	} else {
		ho.views[index] = view
	}
	if state == member.Dead {
		ho.applyOrders(ho.machine.HostDead(ho.si.time(), about.ID, about.incarnation()))
	} else {
		ho.applyOrders(ho.machine.HostAlive(ho.si.time(), about.ID, about.incarnation()))
	}
	ho.wakeOwnership()
}

// ownerOf returns the owner of the shard in this host's view: the host of the highest observed epoch, or else the host
// that should own the shard. It returns nil if there is none.
func (ho *host) ownerOf(shard chestnutroad.ShardID) *host {
	owner := ho.ownership.Epoch(shard).Host
	for _, view := range ho.views {
		if view.ID == owner && view.State != member.Dead {
			return ho.si.hosts[owner]
		}
	}
	first, found := ho.ownership.OwnerOf(shard, ho.views)
	if !found {
		return nil
	}
	return ho.si.hosts[first]
}

// wakeOwnership makes the host decide on the ownership of shards until it can't change without new information.
func (ho *host) wakeOwnership() {
	ho.decideUntil = ho.si.queue.now + decideDuration
	if ho.deciding || ho.si.policyEntry.Scope != baseline.ScopeShard {
		return
	}
	ho.deciding = true
	ho.si.queue.after(0, ho.decideOwnership)
}

func (ho *host) decideOwnership() {
	if !ho.alive || ho.si.queue.now > ho.decideUntil {
		ho.deciding = false
		return
	}
	ho.si.queue.after(decideInterval, ho.decideOwnership)
	for _, decision := range ho.ownership.Decide(ho.si.time(), ho.si.shards, ho.views) {
		switch decision.Type {
		case member.TakeOver:
			ho.takeOver(decision)
		case member.StepDown:
			ho.stepDown(decision)
		case member.Keep:
		}
	}
	ho.queryFormerOwners()
}

// queryFormerOwners asks each host whose handover is pending whether it still owns the shard.
func (ho *host) queryFormerOwners() {
	for _, wait := range ho.ownership.PendingHandovers() {
		former := ho.si.hosts[wait.Former]
		if former == nil || !former.alive || !ho.si.net.reaches(ho.DataCentre, former.DataCentre) {
			continue
		}
		ho.control.add(ho.si.queue.now, ownerQueryBytes(wait.Shard))
		ho.si.send(former.DataCentre, ho.DataCentre, func() {
			if ho.alive && former.owned[wait.Shard] == nil {
				ho.ownership.Released(wait.Shard, wait.Former)
				ho.wakeOwnership()
			}
		})
	}
}

// takeOver starts an instance for the shard with the former owner's state, or else with the received placement exceptions.
func (ho *host) takeOver(decision member.Decision) {
	si := ho.si
	si.measures.takeovers++
	shard := decision.Shard
	service := si.services[shard.Pool.Service]
	policy := si.policyEntry.New(baseline.Setup{Shard: shard, Seed: si.seed, Options: policy.Options(si.effective, service)})
	in := si.newInstance(service, policy, ho)
	in.shard = shard
	in.apply(in.policy.SetTargets(si.time(), si.listedTargets(func(tg *target) bool { return tg.shard() == shard })))
	fetched := ho.importState(in, decision)
	if !fetched {
		ho.applyExceptions(in)
	}
	if in.owner != nil {
		in.apply(in.owner.TakeOver(si.time(), decision.Epoch, fetched))
	}
	ho.owned[shard] = in
	ho.startReadingLog()
	si.gossipEpoch(ho, shard, decision.Epoch)
	si.queue.after(0, in.sendSummary)
	si.queue.after(exceptionInterval, in.sendExceptions)
	si.queue.after(tickInterval, in.tick)
}

// importState imports the former owner's state, which was handed over or is fetched now. It returns true if a state was
// imported or the shard had no former owner.
func (ho *host) importState(in *instance, decision member.Decision) bool {
	states := ho.receivedStates[in.shard]
	delete(ho.receivedStates, in.shard)
	former := ho.si.hosts[decision.Former]
	if len(states) == 0 && decision.FormerReachable && former != nil {
		if state := ho.fetchState(former, in.shard); state != nil {
			states = append(states, state)
		}
	}
	if len(states) == 0 {
		return decision.Former == ""
	}
	imported := false
	for _, state := range states {
		imported = in.owner != nil && in.owner.Import(ho.si.time(), state) == nil || imported
	}
	return imported
}

func (ho *host) fetchState(former *host, shard chestnutroad.ShardID) []byte {
	in := former.owned[shard]
	if !former.alive || in == nil || in.owner == nil || !ho.si.net.reaches(ho.DataCentre, former.DataCentre) {
		return nil
	}
	state := in.owner.Export()
	former.control.add(ho.si.queue.now, stateBytes(state))
	ho.si.measures.stateBytes += int64(stateBytes(state))
	return state
}

// stepDown gives up the shard and hands its state to the successor. Running requests continue.
func (ho *host) stepDown(decision member.Decision) {
	si := ho.si
	in := ho.owned[decision.Shard]
	if in == nil {
		return
	}
	delete(ho.owned, decision.Shard)
	ho.formerInstances = append(ho.formerInstances, in)
	if in.owner == nil {
		return
	}
	in.apply(in.owner.StepDown(si.time()))
	successor := si.hosts[decision.Successor]
	if successor == nil || successor == ho {
		return
	}
	state := in.owner.Export()
	if handed := ho.receivedStates[decision.Shard]; len(handed) > 0 {
		ho.receivedStates[decision.Shard] = append([][]byte{state}, handed...)
	}
	si.send(ho.DataCentre, successor.DataCentre, func() {
		ho.control.add(si.queue.now, stateBytes(state))
		si.measures.stateBytes += int64(stateBytes(state))
		if !successor.alive {
			return
		}
		successor.ownership.Observe(decision.Shard, decision.Epoch)
		successor.receivedStates[decision.Shard] = [][]byte{state}
		successor.ownership.HandedOver(decision.Shard)
		successor.wakeOwnership()
	})
}

// gossipEpoch passes the epoch to every host that is reachable after its own delay.
func (si *simulation) gossipEpoch(from *host, shard chestnutroad.ShardID, epoch chestnutroad.Epoch) {
	for _, ho := range si.hostOrder {
		if ho == from {
			continue
		}
		si.queue.after(si.gossipDelay(), func() {
			if !ho.alive || !si.net.reaches(from.DataCentre, ho.DataCentre) {
				return
			}
			ho.ownership.Observe(shard, epoch)
			ho.wakeOwnership()
		})
	}
}

// gossipAllEpochs makes all hosts exchange their epochs of the shards after a partition has healed.
func (si *simulation) gossipAllEpochs() {
	for _, ho := range si.hostOrder {
		for _, shard := range si.shards {
			if epoch := ho.ownership.Epoch(shard); ho.alive && !epoch.IsZero() {
				si.gossipEpoch(ho, shard, epoch)
			}
		}
	}
}

// sendSummary sends the shard's load summary, when it is due, to the owners of the pool's other shards. It repeats itself
// while this host owns the shard.
func (in *instance) sendSummary() {
	si, ho := in.si, in.host
	if !in.live || ho.owned[in.shard] != in || in.owner == nil || si.queue.now > si.end {
		return
	}
	si.queue.after(si.effective.Fleet.SummaryInterval, in.sendSummary)
	summary := in.owner.Summary(si.time())
	if !summary.Due(in.lastSummary) {
		return
	}
	in.lastSummary = summary
	for _, shard := range si.shards {
		if shard.Pool != in.shard.Pool || shard == in.shard {
			continue
		}
		if to := ho.ownerOf(shard); to != nil {
			in.sendSummaryTo(to, shard, summary)
		}
	}
}

func (in *instance) sendSummaryTo(to *host, shard chestnutroad.ShardID, summary pool.Summary) {
	si := in.si
	if to != in.host {
		in.host.control.add(si.queue.now, payloadBytes(in.host, member.LoadSummary, summaryPayload(summary)))
	}
	si.send(in.dataCentre, to.DataCentre, func() {
		if other := to.owned[shard]; to.alive && other != nil {
			other.apply(other.owner.PeerSummary(si.time(), summary))
		}
	})
}

// tick ticks the policy while the host owns the shard, and after that until the last request has ended.
func (in *instance) tick() {
	owned := in.host != nil && in.host.owned[in.shard] == in
	if !in.live || (!owned && len(in.routes) == 0) {
		return
	}
	in.apply(in.policy.Tick(in.si.time()))
	in.si.queue.after(tickInterval, in.tick)
}
