package trace

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// balancerLag is the time in which the platform's load balancer notices that a host is gone.
const balancerLag = time.Second

// churner keeps what is left of the site while events are planned.
type churner struct {
	ge      *generator
	rd      *rand.Rand
	hosts   map[chestnutroad.DataCentreID][]chestnutroad.HostID
	engines map[chestnutroad.DataCentreID][]chestnutroad.TargetID
	// made counts the machines that each data centre ever had.
	madeHosts   map[chestnutroad.DataCentreID]int
	madeEngines map[chestnutroad.DataCentreID]int
}

func (ge *generator) addChurn(hd *Header) {
	ch := &churner{
		ge: ge, rd: ge.source(partChurn),
		hosts:       map[chestnutroad.DataCentreID][]chestnutroad.HostID{},
		engines:     map[chestnutroad.DataCentreID][]chestnutroad.TargetID{},
		madeHosts:   map[chestnutroad.DataCentreID]int{},
		madeEngines: map[chestnutroad.DataCentreID]int{},
	}
	for _, ho := range hd.Hosts {
		ch.hosts[ho.DataCentre] = append(ch.hosts[ho.DataCentre], ho.ID)
		ch.madeHosts[ho.DataCentre]++
	}
	for _, tg := range hd.Targets {
		if tg.Service == ge.us.assistant {
			ch.engines[tg.DataCentre] = append(ch.engines[tg.DataCentre], tg.ID)
			ch.madeEngines[tg.DataCentre]++
		}
	}
	ch.list(0)
	if !ge.churn {
		return
	}
	for _, step := range ge.us.churn {
		at := step.at + time.Duration(ch.rd.Int64N(int64(jitter)))
		ch.plan(at.Truncate(time.Millisecond), step)
	}
}

// list notes the hosts that take callers from that time on.
func (ch *churner) list(from time.Duration) {
	var hosts []chestnutroad.HostID
	for _, ce := range ch.ge.us.centres {
		hosts = append(hosts, ch.hosts[ce.id]...)
	}
	ch.ge.listed = append(ch.ge.listed, listedHosts{from: from, hosts: hosts})
}

func (ch *churner) plan(at time.Duration, step churnStep) {
	id := ch.ge.us.centres[step.centre].id
	ev := Event{Type: step.kind, ForMs: step.length.Milliseconds()}
	switch step.kind {
	case TargetJoin:
		ch.madeEngines[id]++
		tg := ch.ge.engine(id, ch.madeEngines[id])
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

func (ch *churner) pickEngine(id chestnutroad.DataCentreID) *Target {
	engines := ch.engines[id]
	return &Target{
		ID: engines[ch.rd.IntN(len(engines))], Service: ch.ge.us.assistant, DataCentre: id, CacheTokens: ch.ge.us.cache,
	}
}

func (ch *churner) planOutage(at time.Duration, step churnStep, id chestnutroad.DataCentreID) {
	start, end := Event{Type: LogDown}, Event{Type: LogUp}
	if step.kind == Partition {
		start, end = Event{Type: Partition, DataCentre: id}, Event{Type: Heal, DataCentre: id}
	}
	ch.ge.add(at, start)
	ch.ge.add(at+step.length, end)
}

func (ch *churner) planHost(at time.Duration, ev *Event, id chestnutroad.DataCentreID) {
	hosts := ch.hosts[id]
	from := at
	if ev.Type != HostJoin {
		gone := hosts[ch.rd.IntN(len(hosts))]
		hosts = slices.DeleteFunc(slices.Clone(hosts), func(other chestnutroad.HostID) bool { return other == gone })
		ev.Host = &Host{ID: gone, DataCentre: id}
		ev.Replaced = gone
		from = at + balancerLag
	}
	if ev.Type != HostFail {
		ch.madeHosts[id]++
		ev.Host = &Host{ID: chestnutroad.HostID(numbered(id, "host", ch.madeHosts[id])), DataCentre: id}
		hosts = append(slices.Clone(hosts), ev.Host.ID)
		from = at + balancerLag
	}
	if ev.Type != HostReplace {
		ev.Replaced = ""
	}
	ch.hosts[id] = hosts
	ch.list(from)
}
