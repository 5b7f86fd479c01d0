package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

const (
	defaultDuration = 15 * time.Minute
	// One team sends surgeFactor times its usual requests for surgeLength from surgeStart on.
	surgeStart  = 310 * time.Second
	surgeLength = 90 * time.Second
	surgeFactor = 10

	// Values of the header fields of the same names.
	reportInterval = 500 * time.Millisecond
	reportLag      = 200 * time.Millisecond
	cacheEventLag  = time.Second
	cacheEventLoss = 0.05
	hostListLag    = 2 * time.Second
	logLatency     = 5 * time.Millisecond
)

// Option configures Generate.
type Option func(*generator)

// WithoutSurge leaves out the surge; apart from the ids of requests, all other events stay the same.
func WithoutSurge() Option { return func(ge *generator) { ge.surge = false } }

// WithoutChurn leaves out all events but requests, which then arrive at any host of the header.
func WithoutChurn() Option { return func(ge *generator) { ge.churn = false } }

// WithDuration sets the length of the trace. Chats differ from those of a trace with another length, because their arrivals
// start that long before the trace.
func WithDuration(duration time.Duration) Option {
	return func(ge *generator) { ge.duration = duration }
}

// generator generates the trace of one user.
type generator struct {
	user     user
	seed     uint64
	surge    bool
	churn    bool
	duration time.Duration
	events   []Event
	// hostSets lists the changes of the hosts that receive requests, in time order.
	hostSets []hostSet
}

// hostSet holds the hosts behind the load balancer from a point in time on.
type hostSet struct {
	from  time.Duration
	hosts []chestnutroad.HostID
}

// Generate generates the trace of a user. It is deterministic: the same arguments give the same trace.
func Generate(name string, seed uint64, opts ...Option) (*Trace, error) {
	index := slices.Index(Users(), name)
	if index < 0 {
		return nil, errors.Newf("no user is named %q; the users are %v", name, Users())
	}
	ge := &generator{user: users[index], seed: seed, surge: true, churn: true, duration: defaultDuration}
	for _, opt := range opts {
		opt(ge)
	}
	tr := &Trace{Header: ge.header()}
	ge.addChurn(&tr.Header)
	ge.addTraffic()
	if ge.surge {
		ge.addSurge()
	}
	ge.sort()
	tr.Events = ge.events
	return tr, nil
}

// newRand returns a random number generator for one stream. Each part of a trace has its own stream, so that leaving out one
// part does not change the others.
func (ge *generator) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(ge.seed, stream)) }

// Streams of random numbers. Each team has a stream for each kind of its traffic, from streamTeams plus ten times its index on.
const (
	streamChurn = 1
	streamTeams = 100
	streamSurge = 1000
)

// header returns the header with all hosts and targets that exist at the start.
func (ge *generator) header() Header {
	hd := Header{
		Format: Format, Site: ge.user.site, Seed: ge.seed, DurationMs: ge.duration.Milliseconds(),
		OneWayLatencyMs:  float64(ge.user.oneWayLatency) / float64(time.Millisecond),
		ReportIntervalMs: reportInterval.Milliseconds(), ReportLagMs: reportLag.Milliseconds(),
		CacheEventLagMs: cacheEventLag.Milliseconds(), CacheEventLoss: cacheEventLoss,
		HostListLagMs: hostListLag.Milliseconds(), LogLatencyMs: logLatency.Milliseconds(),
	}
	for _, ce := range ge.user.centres {
		for number := range ce.hosts {
			hd.Hosts = append(hd.Hosts, Host{ID: chestnutroad.HostID(instanceName(ce.id, "host", number+1)), DataCentre: ce.id})
		}
		for number := range ce.engines {
			hd.Targets = append(hd.Targets, ge.engineTarget(ce.id, number+1))
		}
		for number := range ce.plainTargets {
			id := chestnutroad.TargetID(instanceName(ce.id, string(ge.user.plainService), number+1))
			hd.Targets = append(hd.Targets, Target{ID: id, Service: ge.user.plainService, DataCentre: ce.id})
		}
	}
	return hd
}

func (ge *generator) engineTarget(id chestnutroad.DataCentreID, number int) Target {
	return Target{
		ID: chestnutroad.TargetID(instanceName(id, "engine", number)), Service: ge.user.assistant,
		DataCentre: id, CacheTokens: ge.user.cacheTokens,
	}
}

func instanceName(id chestnutroad.DataCentreID, kind string, number int) string {
	return fmt.Sprintf("%s-%s-%d", id, kind, number)
}

// add appends the event unless it lies after the end of the trace.
func (ge *generator) add(at time.Duration, ev Event) {
	if at >= ge.duration {
		return
	}
	ev.AtMs = at.Milliseconds()
	ge.events = append(ge.events, ev)
}

// sort sorts the events by time and numbers the requests in that order.
func (ge *generator) sort() {
	slices.SortStableFunc(ge.events, func(a, b Event) int { return cmp.Compare(a.AtMs, b.AtMs) })
	number := 0
	for index := range ge.events {
		if rq := ge.events[index].Request; rq != nil {
			number++
			rq.ID = chestnutroad.RequestID(fmt.Sprintf("r-%d", number))
		}
	}
}

// pickEntryHost returns a random host among those that receive requests at that time.
func (ge *generator) pickEntryHost(rd *rand.Rand, at time.Duration) chestnutroad.HostID {
	hosts := ge.hostSets[0].hosts
	for _, set := range ge.hostSets {
		if set.from <= at {
			hosts = set.hosts
		}
	}
	return hosts[rd.IntN(len(hosts))]
}
