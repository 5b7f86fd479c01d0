package replay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/policy"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/pool/baseline"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

const (
	// warmUp is the time from the start of the hosts to the trace's time zero, in which shards get their owners.
	warmUp = 10 * time.Second
	// drainTime is the time after the trace in which the last requests end; it is longer than the longest usual deadline.
	drainTime = 150 * time.Second
)

// simulation is the replay of a trace through a policy.
type simulation struct {
	tr          *trace.Trace
	effective   *settings.Effective
	services    map[chestnutroad.ServiceID]settings.Service
	policyEntry baseline.Entry
	seed        uint64
	random      *rand.Rand
	queue       eventQueue
	start       time.Time
	// end is the time at which the replay ends; reports and summaries stop then.
	end      time.Duration
	net      network
	log      fakeLog
	measures *measures

	targets     map[chestnutroad.TargetID]*target
	targetOrder []*target
	pools       []*poolLoad
	hosts       map[chestnutroad.HostID]*host
	hostOrder   []*host
	poolRouters map[chestnutroad.ServiceID]*instance
	openCalls   map[int]*call
	callCount   int

	// candidates and shards are derived from the targets in the platform's list.
	candidates map[chestnutroad.ServiceID][]pool.Candidate
	shards     []chestnutroad.ShardID
}

func newSimulation(tr *trace.Trace, effective *settings.Effective, entry baseline.Entry, seed uint64) (*simulation, error) {
	hd := &tr.Header
	length := time.Duration(hd.DurationMs) * time.Millisecond
	si := &simulation{
		tr: tr, effective: effective, policyEntry: entry, seed: seed, random: rand.New(rand.NewPCG(seed, hd.Seed)),
		start: time.Unix(1_800_000_000, 0).UTC(), end: warmUp + length + drainTime,
		services: map[chestnutroad.ServiceID]settings.Service{},
		net: network{
			oneWay:      time.Duration(hd.OneWayLatencyMs * float64(time.Millisecond)),
			partitioned: map[chestnutroad.DataCentreID]bool{},
		},
		log:         fakeLog{up: true},
		targets:     map[chestnutroad.TargetID]*target{},
		hosts:       map[chestnutroad.HostID]*host{},
		poolRouters: map[chestnutroad.ServiceID]*instance{},
		openCalls:   map[int]*call{},
	}
	for _, service := range effective.Services {
		si.services[service.ID] = service
	}
	si.measures = newMeasures(si)
	for _, tg := range hd.Targets {
		if _, ok := si.services[tg.Service]; !ok {
			return nil, errors.Newf("the settings have no service %q, which the trace's target %s belongs to", tg.Service, tg.ID)
		}
	}
	return si, nil
}

// time returns the current time; the clocks of all hosts agree in a replay.
func (si *simulation) time() time.Time { return si.start.Add(si.queue.now) }

// run replays the trace and the drain time after it.
func (si *simulation) run() {
	si.startSite()
	for index := range si.tr.Events {
		ev := &si.tr.Events[index]
		si.queue.at(warmUp+time.Duration(ev.AtMs)*time.Millisecond, func() { si.handleEvent(ev) })
	}
	si.queue.run(si.end, si.checkPools)
}

// startSite starts the targets, hosts and routers of the trace's header; hosts start with a view of all hosts.
func (si *simulation) startSite() {
	for _, tg := range si.tr.Header.Targets {
		si.addTarget(tg).listed = true
	}
	for _, description := range si.tr.Header.Hosts {
		si.newHost(description)
	}
	if si.policyEntry.Scope == baseline.ScopePool {
		for _, service := range si.effective.Services {
			si.poolRouters[service.ID] = si.newInstance(service, si.newPolicy(service), nil)
		}
	}
	for _, ho := range si.hostOrder {
		si.addRouters(ho)
		for _, other := range si.hostOrder {
			ho.views = append(ho.views, member.HostView{
				Host: member.Host{ID: other.ID, DataCentre: other.DataCentre, Incarnation: other.incarnation()},
			})
		}
	}
	si.publishTargetList()
}

func (si *simulation) addTarget(description trace.Target) *target {
	tg := &target{
		si: si, Target: description, slots: si.services[description.Service].Slots, up: true, incarnation: 1,
		pool: si.poolOf(description.Service),
	}
	if description.CacheTokens > 0 {
		tg.cache = newPrefixCache(description.CacheTokens)
	}
	si.targets[tg.ID] = tg
	si.targetOrder = append(si.targetOrder, tg)
	slices.SortFunc(si.targetOrder, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	tg.pool.add(tg)
	tg.startReports()
	return tg
}

func (tg *target) shard() chestnutroad.ShardID {
	return chestnutroad.ShardID{
		Pool:       chestnutroad.PoolID{Site: tg.si.tr.Header.Site, Service: tg.Service},
		DataCentre: tg.DataCentre,
	}
}

// holds reports whether the attempt runs or waits on the target.
func (tg *target) holds(at *attempt) bool {
	return slices.Contains(tg.running, at) || slices.Contains(tg.waiting, at)
}

// addRouters starts a router for each service on the host if the policy's scope is the host.
func (si *simulation) addRouters(ho *host) {
	if si.policyEntry.Scope != baseline.ScopeHost {
		return
	}
	for _, service := range si.effective.Services {
		in := si.newInstance(service, si.newPolicy(service), ho)
		ho.instances[service.ID] = in
		in.apply(in.policy.SetTargets(si.time(), si.listedTargets(in.routesTo)))
	}
}

func (si *simulation) newPolicy(service settings.Service) pool.Policy {
	return si.policyEntry.New(baseline.Setup{Seed: si.random.Uint64(), Options: policy.Options(si.effective, service)})
}

// listeners returns the instances that receive the engine's load reports and cache events.
func (si *simulation) listeners(tg *target) []*instance {
	var listening []*instance
	switch si.policyEntry.Scope {
	case baseline.ScopePool:
		listening = append(listening, si.poolRouters[tg.Service])
	case baseline.ScopeHost:
		for _, ho := range si.hostOrder {
			if ho.alive {
				listening = append(listening, ho.instances[tg.Service])
			}
		}
	case baseline.ScopeShard:
		for _, ho := range si.hostOrder {
			if in := ho.owned[tg.shard()]; ho.alive && in != nil {
				listening = append(listening, in)
			}
		}
	}
	return listening
}

// allInstances returns the pool routers and the instances of live hosts, former ones included, in a fixed order.
func (si *simulation) allInstances() []*instance {
	var all []*instance
	for _, service := range si.effective.Services {
		if in := si.poolRouters[service.ID]; in != nil {
			all = append(all, in)
		}
	}
	for _, ho := range si.hostOrder {
		if !ho.alive {
			continue
		}
		all = append(all, ho.sortedInstances()...)
		all = append(all, ho.formerInstances...)
		for _, shard := range si.shards {
			if in := ho.owned[shard]; in != nil {
				all = append(all, in)
			}
		}
	}
	return all
}

// sortedOpenCalls returns the calls without a final answer in order of arrival.
func (si *simulation) sortedOpenCalls() []*call {
	open := make([]*call, 0, len(si.openCalls))
	for _, ca := range si.openCalls {
		open = append(open, ca)
	}
	slices.SortFunc(open, func(a, b *call) int { return cmp.Compare(a.index, b.index) })
	return open
}
