package trace

import (
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// checker validates the lines of a trace in order; each line may refer only to what the header or earlier lines declared.
type checker struct {
	// line is the number of the current line, from 1.
	line     int
	lastAtMs int64
	centres  map[chestnutroad.DataCentreID]bool
	hosts    map[chestnutroad.HostID]bool
	targets  map[chestnutroad.TargetID]bool
	requests map[chestnutroad.RequestID]bool
	services map[chestnutroad.ServiceID]bool
}

func newChecker() *checker {
	return &checker{
		centres:  map[chestnutroad.DataCentreID]bool{},
		hosts:    map[chestnutroad.HostID]bool{},
		targets:  map[chestnutroad.TargetID]bool{},
		requests: map[chestnutroad.RequestID]bool{},
		services: map[chestnutroad.ServiceID]bool{},
	}
}

func (ck *checker) checkHeader(hd *Header) error {
	switch {
	case hd.Format != Format:
		return errors.Newf("header: Format is %q, want %q", hd.Format, Format)
	case hd.Site == "":
		return errors.New("header: Site is missing")
	case hd.ReportIntervalMs <= 0:
		return errors.New("header: ReportIntervalMs must be positive")
	case min(hd.DurationMs, hd.ReportLagMs, hd.CacheEventLagMs, hd.HostListLagMs, hd.LogLatencyMs) < 0 || hd.OneWayLatencyMs < 0:
		return errors.New("header: DurationMs, a lag or a latency is negative")
	case hd.CacheEventLoss < 0 || hd.CacheEventLoss > 1:
		return errors.Newf("header: CacheEventLoss is %v, want 0 to 1", hd.CacheEventLoss)
	case len(hd.Hosts) == 0 || len(hd.Targets) == 0:
		return errors.New("header: Hosts and Targets must not be empty")
	}
	for index := range hd.Hosts {
		if err := ck.addHost(&hd.Hosts[index]); err != nil {
			return err
		}
	}
	for index := range hd.Targets {
		if err := ck.addTarget(&hd.Targets[index]); err != nil {
			return err
		}
	}
	return nil
}

func (ck *checker) addHost(ho *Host) error {
	if ho == nil || ho.ID == "" || ho.DataCentre == "" {
		return errors.New("a host needs an ID and a DataCentre")
	}
	if ck.hosts[ho.ID] {
		return errors.Newf("host %q is declared twice", ho.ID)
	}
	ck.hosts[ho.ID] = true
	ck.centres[ho.DataCentre] = true
	return nil
}

func (ck *checker) addTarget(tg *Target) error {
	if tg == nil || tg.ID == "" || tg.Service == "" || tg.DataCentre == "" {
		return errors.New("a target needs an ID, a Service and a DataCentre")
	}
	if ck.targets[tg.ID] {
		return errors.Newf("target %q is declared twice", tg.ID)
	}
	ck.targets[tg.ID] = true
	ck.services[tg.Service] = true
	ck.centres[tg.DataCentre] = true
	return nil
}

func (ck *checker) checkEvent(ev *Event) error {
	if ev.AtMs < ck.lastAtMs {
		return errors.Newf("AtMs is %d, before %d of an earlier line", ev.AtMs, ck.lastAtMs)
	}
	ck.lastAtMs = ev.AtMs
	switch ev.Type {
	case EventRequest:
		return ck.checkRequest(ev.Request)
	case TargetJoin:
		return ck.addTarget(ev.Target)
	case TargetLeave, TargetRestart, TargetFlap, TargetFail:
		return ck.requireTarget(ev.Target)
	case HostJoin:
		return ck.addHost(ev.Host)
	case HostFail:
		return ck.requireHost(ev.Host)
	case HostReplace:
		if !ck.hosts[ev.Replaced] {
			return errors.Newf("unknown host %q in Replaced", ev.Replaced)
		}
		return ck.addHost(ev.Host)
	case Partition, Heal:
		if !ck.centres[ev.DataCentre] {
			return errors.Newf("unknown data centre %q", ev.DataCentre)
		}
		return nil
	case LogDown, LogUp:
		return nil
	default:
		return errors.Newf("unknown Type %q", ev.Type)
	}
}

func (ck *checker) requireHost(ho *Host) error {
	if ho == nil || !ck.hosts[ho.ID] {
		return errors.New("Host is missing or unknown")
	}
	return nil
}

func (ck *checker) requireTarget(tg *Target) error {
	if tg == nil || !ck.targets[tg.ID] {
		return errors.New("Target is missing or unknown")
	}
	return nil
}

func (ck *checker) checkRequest(rq *Request) error {
	if rq == nil || rq.ID == "" || rq.Team == "" {
		return errors.New("a request needs an ID and a Team")
	}
	if ck.requests[rq.ID] {
		return errors.Newf("request %q arrives twice", rq.ID)
	}
	ck.requests[rq.ID] = true
	if _, valid := chestnutroad.ParsePriority(rq.Priority); !valid {
		return errors.Newf("unknown Priority %q", rq.Priority)
	}
	switch {
	case !ck.hosts[rq.Host]:
		return errors.Newf("unknown entry host %q", rq.Host)
	case !ck.services[rq.Service]:
		return errors.Newf("unknown Service %q", rq.Service)
	case min(rq.Prompt, rq.Output) < 0 || rq.ServiceMs < 0:
		return errors.New("Prompt, Output or ServiceMs is negative")
	case rq.Output > rq.MaxOutput:
		return errors.Newf("Output is %d, above MaxOutput %d", rq.Output, rq.MaxOutput)
	}
	return nil
}
