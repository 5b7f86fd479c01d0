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
	duration    = 15 * time.Minute
	surgeStart  = 310 * time.Second
	surgeLength = 90 * time.Second
	surgeFactor = 10

	reportInterval = 500 * time.Millisecond
	reportLag      = 200 * time.Millisecond
	cacheEventLag  = time.Second
	cacheEventLoss = 0.05
	hostListLag    = 2 * time.Second
	logLatency     = 5 * time.Millisecond
)

// Option changes what Generate makes.
type Option func(*generator)

// WithoutSurge leaves the surge out; all other events stay the same.
func WithoutSurge() Option { return func(ge *generator) { ge.surge = false } }

// WithoutChurn leaves out all events but requests.
func WithoutChurn() Option { return func(ge *generator) { ge.churn = false } }

// WithDuration ends the trace early.
func WithDuration(length time.Duration) Option { return func(ge *generator) { ge.length = length } }

// generator makes the trace of one user.
type generator struct {
	us     user
	seed   uint64
	surge  bool
	churn  bool
	length time.Duration
	events []Event
	// listed is the list of hosts that take callers over time.
	listed []listedHosts
}

// listedHosts holds the hosts behind the load balancer from that time on.
type listedHosts struct {
	from  time.Duration
	hosts []chestnutroad.HostID
}

// Generate makes the trace of a user; the same arguments give the same trace.
func Generate(name string, seed uint64, opts ...Option) (*Trace, error) {
	index := slices.Index(Users(), name)
	if index < 0 {
		return nil, errors.Newf("no user is named %q; the users are %v", name, Users())
	}
	ge := &generator{us: users[index], seed: seed, surge: true, churn: true, length: duration}
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

// source returns the random numbers of one part, so that leaving out a part leaves the others as they are.
func (ge *generator) source(part uint64) *rand.Rand { return rand.New(rand.NewPCG(ge.seed, part)) }

// The parts with random numbers of their own; each team has one more for each of its kinds of traffic.
const (
	partChurn = 1
	partTeams = 100
	partSurge = 1000
)

func (ge *generator) header() Header {
	hd := Header{
		Format: Format, Site: ge.us.site, Seed: ge.seed, DurationMs: ge.length.Milliseconds(),
		OneWayLatencyMs:  float64(ge.us.oneWay) / float64(time.Millisecond),
		ReportIntervalMs: reportInterval.Milliseconds(), ReportLagMs: reportLag.Milliseconds(),
		CacheEventLagMs: cacheEventLag.Milliseconds(), CacheEventLoss: cacheEventLoss,
		HostListLagMs: hostListLag.Milliseconds(), LogLatencyMs: logLatency.Milliseconds(),
	}
	for _, ce := range ge.us.centres {
		for number := range ce.hosts {
			hd.Hosts = append(hd.Hosts, Host{ID: chestnutroad.HostID(numbered(ce.id, "host", number+1)), DataCentre: ce.id})
		}
		for number := range ce.engines {
			hd.Targets = append(hd.Targets, ge.engine(ce.id, number+1))
		}
		for number := range ce.plain {
			id := chestnutroad.TargetID(numbered(ce.id, string(ge.us.plain), number+1))
			hd.Targets = append(hd.Targets, Target{ID: id, Service: ge.us.plain, DataCentre: ce.id})
		}
	}
	return hd
}

func (ge *generator) engine(id chestnutroad.DataCentreID, number int) Target {
	return Target{
		ID: chestnutroad.TargetID(numbered(id, "engine", number)), Service: ge.us.assistant,
		DataCentre: id, CacheTokens: ge.us.cache,
	}
}

func numbered(id chestnutroad.DataCentreID, what string, number int) string {
	return fmt.Sprintf("%s-%s-%d", id, what, number)
}

func (ge *generator) add(at time.Duration, ev Event) {
	if at >= ge.length {
		return
	}
	ev.AtMs = at.Milliseconds()
	ge.events = append(ge.events, ev)
}

// sort orders the events by time; requests are numbered in that order.
func (ge *generator) sort() {
	slices.SortStableFunc(ge.events, func(one, other Event) int { return cmp.Compare(one.AtMs, other.AtMs) })
	number := 0
	for index := range ge.events {
		if rq := ge.events[index].Request; rq != nil {
			number++
			rq.ID = chestnutroad.RequestID(fmt.Sprintf("r-%d", number))
		}
	}
}

// entry picks one of the hosts that take callers at that time.
func (ge *generator) entry(rd *rand.Rand, at time.Duration) chestnutroad.HostID {
	hosts := ge.listed[0].hosts
	for _, list := range ge.listed {
		if list.from <= at {
			hosts = list.hosts
		}
	}
	return hosts[rd.IntN(len(hosts))]
}
