package trace

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// balancerDelay is the time after which the platform's load balancer stops or starts to send callers to a changed host.
const balancerDelay = time.Second

// churnPlanner generates the churn events and tracks the hosts and engines that remain in each data centre.
type churnPlanner struct {
	ge      *generator
	rd      *rand.Rand
	hosts   map[chestnutroad.DataCentreID][]chestnutroad.HostID
	engines map[chestnutroad.DataCentreID][]chestnutroad.TargetID
	// hostsCreated and enginesCreated count all that a data centre ever had, so that names are not used again.
	hostsCreated   map[chestnutroad.DataCentreID]int
	enginesCreated map[chestnutroad.DataCentreID]int
}

// addChurn adds the churn events. It records the hosts behind the load balancer even if churn is disabled.
func (ge *generator) addChurn(hd *Header) {
	ch := &churnPlanner{
		ge: ge, rd: ge.newRand(streamChurn),
		hosts:          map[chestnutroad.DataCentreID][]chestnutroad.HostID{},
		engines:        map[chestnutroad.DataCentreID][]chestnutroad.TargetID{},
		hostsCreated:   map[chestnutroad.DataCentreID]int{},
		enginesCreated: map[chestnutroad.DataCentreID]int{},
	}
	for _, ho := range hd.Hosts {
		ch.hosts[ho.DataCentre] = append(ch.hosts[ho.DataCentre], ho.ID)
		ch.hostsCreated[ho.DataCentre]++
	}
	for _, tg := range hd.Targets {
		if tg.Service == ge.user.assistant {
			ch.engines[tg.DataCentre] = append(ch.engines[tg.DataCentre], tg.ID)
			ch.enginesCreated[tg.DataCentre]++
		}
	}
	ch.recordHosts(0)
	if !ge.churn {
		return
	}
	for _, step := range ge.user.churnSteps {
		at := step.at + time.Duration(ch.rd.Int64N(int64(maxChurnJitter)))
		ch.planStep(at.Truncate(time.Millisecond), step)
	}
}

// recordHosts appends the current hosts as those that receive requests from the given time on.
func (ch *churnPlanner) recordHosts(from time.Duration) {
	var hosts []chestnutroad.HostID
	for _, ce := range ch.ge.user.centres {
		hosts = append(hosts, ch.hosts[ce.id]...)
	}
	ch.ge.hostSets = append(ch.ge.hostSets, hostSet{from: from, hosts: hosts})
}

// planStep adds the event of one step and updates the remaining hosts and engines.
func (ch *churnPlanner) planStep(at time.Duration, step churnStep) {
	id := ch.ge.user.centres[step.centre].id
	ev := Event{Type: step.kind, ForMs: step.duration.Milliseconds()}
	switch step.kind {
	case TargetJoin:
		ch.enginesCreated[id]++
		tg := ch.ge.engineTarget(id, ch.enginesCreated[id])
		ev.Target = &tg
		ch.engines[id] = append(ch.engines[id], tg.ID)
	case TargetLeave, TargetFail:
		tg := ch.pickEngine(id)
		ev.Target = tg
		ch.engines[id] = slices.DeleteFunc(ch.engines[id], func(other chestnutroad.TargetID) bool { return other == tg.ID })
	case TargetRestart, TargetFlap:
		ev.Target = ch.pickEngine(id)
	case Partition, LogDown:
		ch.planOutage(at, step, id)
		return
	default:
		ch.planHost(at, &ev, id)
	}
	ch.ge.add(at, ev)
}

// pickEngine returns a random remaining engine of the data centre.
func (ch *churnPlanner) pickEngine(id chestnutroad.DataCentreID) *Target {
	engines := ch.engines[id]
	return &Target{
		ID: engines[ch.rd.IntN(len(engines))], Service: ch.ge.user.assistant, DataCentre: id, CacheTokens: ch.ge.user.cacheTokens,
	}
}

// planOutage adds the events that start and end a partition or an outage of the log.
func (ch *churnPlanner) planOutage(at time.Duration, step churnStep, id chestnutroad.DataCentreID) {
	start, end := Event{Type: LogDown}, Event{Type: LogUp}
	if step.kind == Partition {
		start, end = Event{Type: Partition, DataCentre: id}, Event{Type: Heal, DataCentre: id}
	}
	ch.ge.add(at, start)
	ch.ge.add(at+step.duration, end)
}

// planHost fills in an event that removes a host, adds one or replaces one by another.
func (ch *churnPlanner) planHost(at time.Duration, ev *Event, id chestnutroad.DataCentreID) {
	hosts := ch.hosts[id]
	from := at
	if ev.Type != HostJoin {
		removed := hosts[ch.rd.IntN(len(hosts))]
		hosts = slices.DeleteFunc(slices.Clone(hosts), func(other chestnutroad.HostID) bool { return other == removed })
		ev.Host = &Host{ID: removed, DataCentre: id}
		ev.Replaced = removed
		from = at + balancerDelay
	}
	if ev.Type != HostFail {
		ch.hostsCreated[id]++
		ev.Host = &Host{ID: chestnutroad.HostID(instanceName(id, "host", ch.hostsCreated[id])), DataCentre: id}
		hosts = append(slices.Clone(hosts), ev.Host.ID)
		from = at + balancerDelay
	}
	if ev.Type != HostReplace {
		ev.Replaced = ""
	}
	ch.hosts[id] = hosts
	ch.recordHosts(from)
}
