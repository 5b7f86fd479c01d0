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
	// decideInterval is the interval of internal/host between two looks at the ownership of shards.
	decideInterval = 100 * time.Millisecond
	// decideSpan is longer than the longest wait inside member.Ownership.
	decideSpan = 7 * time.Second
	// The bounds of the time in which news spreads with membership messages.
	newsLeast = 100 * time.Millisecond
	newsMost  = 1500 * time.Millisecond
	// tickInterval is the longest time between two ticks that pool.Owner allows.
	tickInterval = 100 * time.Millisecond
)

// newsDelay draws the time until one host hears some news; hosts disagree in the meantime.
func (si *simulation) newsDelay() time.Duration {
	return newsLeast + time.Duration(si.random.Int64N(int64(newsMost-newsLeast)))
}

// deathDelay draws the time until one host holds a silent one dead.
func (si *simulation) deathDelay() time.Duration {
	fleet := si.effective.Fleet
	probe := time.Duration(si.random.Int64N(int64(fleet.ProbeInterval)))
	return probe + fleet.ProbeTimeout + fleet.SuspectTimeout + si.newsDelay()
}

// tellOthers lets every other host learn the state of the host after a delay of its own.
func (si *simulation) tellOthers(about *host, state member.State, delay func() time.Duration, valid func() bool) {
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
	ho.wakeBooks()
}

// ownerOf returns the host that this one holds for the owner of the shard.
func (ho *host) ownerOf(shard chestnutroad.ShardID) *host {
	holder := ho.books.Epoch(shard).Host
	for _, view := range ho.views {
		if view.ID == holder && view.State != member.Dead {
			return ho.si.hosts[holder]
		}
	}
	first, found := ho.books.OwnerOf(shard, ho.views)
	if !found {
		return nil
	}
	return ho.si.hosts[first]
}

// wakeBooks makes the host look at the ownership of shards until nothing can change any more.
func (ho *host) wakeBooks() {
	ho.decideUntil = ho.si.queue.now + decideSpan
	if ho.deciding || ho.si.entry.Scope != baseline.ScopeShard {
		return
	}
	ho.deciding = true
	ho.si.queue.after(0, ho.decide)
}

func (ho *host) decide() {
	if !ho.alive || ho.si.queue.now > ho.decideUntil {
		ho.deciding = false
		return
	}
	ho.si.queue.after(decideInterval, ho.decide)
	for _, decision := range ho.books.Decide(ho.si.time(), ho.si.shards, ho.views) {
		switch decision.Type {
		case member.TakeOver:
			ho.takeOver(decision)
		case member.StepDown:
			ho.stepDown(decision)
		case member.Keep:
		}
	}
	ho.askFormerOwners()
}

// askFormerOwners asks the owners for whose hand-over this host waits whether they still own the shard.
func (ho *host) askFormerOwners() {
	for _, wait := range ho.books.PendingHandovers() {
		former := ho.si.hosts[wait.Former]
		if former == nil || !former.alive || !ho.si.net.reaches(ho.DataCentre, former.DataCentre) {
			continue
		}
		ho.control.add(ho.si.queue.now, askBytes(wait.Shard))
		ho.si.send(former.DataCentre, ho.DataCentre, func() {
			if ho.alive && former.owned[wait.Shard] == nil {
				ho.books.Released(wait.Shard, wait.Former)
				ho.wakeBooks()
			}
		})
	}
}

func (ho *host) takeOver(decision member.Decision) {
	si := ho.si
	si.measure.takeovers++
	shard := decision.Shard
	service := si.services[shard.Pool.Service]
	policy := si.entry.New(baseline.Setup{Shard: shard, Seed: si.seed, Options: policy.Options(si.effective, service)})
	in := si.newInstance(service, policy, ho)
	in.shard = shard
	in.apply(in.policy.SetTargets(si.time(), si.listOf(func(tg *target) bool { return tg.shard() == shard })))
	fetched := ho.importState(in, decision)
	if !fetched {
		ho.applyExceptions(in)
	}
	if in.owner != nil {
		in.apply(in.owner.TakeOver(si.time(), decision.Epoch, fetched))
	}
	ho.owned[shard] = in
	ho.followOrders()
	si.spreadEpoch(ho, shard, decision.Epoch)
	si.queue.after(0, in.share)
	si.queue.after(exceptionInterval, in.shareExceptions)
	si.queue.after(tickInterval, in.tick)
}

// importState gives the new owner the state of the former one and reports whether it misses none.
func (ho *host) importState(in *instance, decision member.Decision) bool {
	states := ho.received[in.shard]
	delete(ho.received, in.shard)
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
	ho.si.measure.stateBytes += int64(stateBytes(state))
	return state
}

// stepDown gives the shard up; what runs goes on, and the state goes to the successor.
func (ho *host) stepDown(decision member.Decision) {
	si := ho.si
	in := ho.owned[decision.Shard]
	if in == nil {
		return
	}
	delete(ho.owned, decision.Shard)
	ho.former = append(ho.former, in)
	if in.owner == nil {
		return
	}
	in.apply(in.owner.StepDown(si.time()))
	successor := si.hosts[decision.Successor]
	if successor == nil || successor == ho {
		return
	}
	state := in.owner.Export()
	if handed := ho.received[decision.Shard]; len(handed) > 0 {
		ho.received[decision.Shard] = append([][]byte{state}, handed...)
	}
	si.send(ho.DataCentre, successor.DataCentre, func() {
		ho.control.add(si.queue.now, stateBytes(state))
		si.measure.stateBytes += int64(stateBytes(state))
		if !successor.alive {
			return
		}
		successor.books.Observe(decision.Shard, decision.Epoch)
		successor.received[decision.Shard] = [][]byte{state}
		successor.books.HandedOver(decision.Shard)
		successor.wakeBooks()
	})
}

// spreadEpoch lets every reachable host hear of the epoch after a delay of its own.
func (si *simulation) spreadEpoch(from *host, shard chestnutroad.ShardID, epoch chestnutroad.Epoch) {
	for _, ho := range si.hostOrder {
		if ho == from {
			continue
		}
		si.queue.after(si.newsDelay(), func() {
			if !ho.alive || !si.net.reaches(from.DataCentre, ho.DataCentre) {
				return
			}
			ho.books.Observe(shard, epoch)
			ho.wakeBooks()
		})
	}
}

// spreadAllEpochs lets hosts that find each other again exchange the epochs that they know.
func (si *simulation) spreadAllEpochs() {
	for _, ho := range si.hostOrder {
		for _, shard := range si.shards {
			if epoch := ho.books.Epoch(shard); ho.alive && !epoch.IsZero() {
				si.spreadEpoch(ho, shard, epoch)
			}
		}
	}
}

// share sends the shard's load summary to the owners of the pool's other shards, and goes on doing so.
func (in *instance) share() {
	si, ho := in.si, in.host
	if !in.live || ho.owned[in.shard] != in || in.owner == nil || si.queue.now > si.end {
		return
	}
	si.queue.after(si.effective.Fleet.SummaryInterval, in.share)
	summary := in.owner.Summary(si.time())
	if !summary.Due(in.shared) {
		return
	}
	in.shared = summary
	for _, shard := range si.shards {
		if shard.Pool != in.shard.Pool || shard == in.shard {
			continue
		}
		if to := ho.ownerOf(shard); to != nil {
			in.shareWith(to, shard, summary)
		}
	}
}

func (in *instance) shareWith(to *host, shard chestnutroad.ShardID, summary pool.Summary) {
	si := in.si
	if to != in.host {
		in.host.control.add(si.queue.now, payloadBytes(in.host, member.LoadSummary, summaryPayload(summary)))
	}
	si.send(in.centre, to.DataCentre, func() {
		if other := to.owned[shard]; to.alive && other != nil {
			other.apply(other.owner.PeerSummary(si.time(), summary))
		}
	})
}

// tick lets the policy notice that time has passed, until its last request has ended.
func (in *instance) tick() {
	owned := in.host != nil && in.host.owned[in.shard] == in
	if !in.live || (!owned && len(in.routes) == 0) {
		return
	}
	in.apply(in.policy.Tick(in.si.time()))
	in.si.queue.after(tickInterval, in.tick)
}
