package locality

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	simStep  = 20 * time.Millisecond
	simEvent = 4 * time.Second
	simEnd   = 15 * time.Second
	// simTail is the end of a run in which the share has to be steady.
	simTail     = 5 * time.Second
	simDuration = 800 * time.Millisecond
	simRefresh  = 8
	simMinAge   = 10
	simMaxAge   = 20
	// simSamples is the number of targets that are drawn until a side counts as full.
	simSamples = 60
)

// policy decides whether a request of a simulated host leaves.
type policy int

const (
	byShare policy = iota
	// allLocal and allOver are the baselines without the package.
	allLocal
	allOver
	undamped
)

// simTarget is an engine; owners holds the hosts of its requests, the running ones first.
type simTarget struct {
	dataCentre int
	owners     []*simHost
}

func (tg *simTarget) load() int { return len(tg.owners) }

type simHost struct {
	dataCentre int
	balancer   *Balancer
	// view holds the counts that the host knows, with the changes by its own requests since; changes lists these.
	view    []int
	bound   int
	changes []simChange
}

type simChange struct{ step, target, delta int }

func (sh *simHost) change(step, target, delta int) {
	sh.view[target] += delta
	sh.changes = append(sh.changes, simChange{step: step, target: target, delta: delta})
}

// simSite simulates hosts that send requests to engines by counts that are 0.2 to 0.4 s old.
type simSite struct {
	rng     *rand.Rand
	policy  policy
	slots   int
	centres int
	targets []simTarget
	// counts holds the number of targets of each data centre at the start.
	counts  []int
	hosts   []*simHost
	history [][]int
	// currentBound is the load bound by the current counts.
	currentBound int
	// down and stale state which targets get nothing, and that counts of the remote side have stopped; demand is that of each data
	// centre as a multiple of the room of its targets at the start.
	down []bool
	// local and remote list the targets of each data centre and of the others, all those of both.
	local    [][]int
	remote   [][]int
	all      []int
	stale    bool
	demand   []float64
	duration time.Duration
	result   simResult
}

// simResult holds what was measured after the event.
type simResult struct {
	arrived, over int
	// room is the room of data centre 0 after the event.
	room int
	// sent and left count the requests of data centre 0 in the tail.
	sent, left int
	// shares are those of data centre 0's hosts on average, one for each step since the event.
	shares []float64
}

func newSite(size simSize, policy policy, seed uint64) *simSite {
	st := &simSite{
		rng: rand.New(rand.NewPCG(seed, 1)), policy: policy, slots: size.slots, centres: size.centres,
		down: make([]bool, size.targets), demand: make([]float64, size.centres), counts: make([]int, size.centres), duration: simDuration,
	}
	for index := range size.targets {
		st.targets = append(st.targets, simTarget{dataCentre: index % size.centres})
		st.counts[index%size.centres]++
	}
	for index := range size.hosts {
		var options []Option
		if policy == undamped {
			options = append(options, WithoutDamping())
		}
		st.hosts = append(st.hosts, &simHost{
			dataCentre: index % size.centres, balancer: New(options...), view: make([]int, size.targets), bound: size.slots,
		})
	}
	return st
}

// run plays the site; change is called before each step with the time since the event, from zero on.
func (st *simSite) run(change func(st *simSite, since time.Duration)) simResult {
	for step := range int(simEnd / simStep) {
		now := time.Duration(step) * simStep
		if now >= simEvent {
			change(st, now-simEvent)
		}
		if step == 0 || now == simEvent {
			st.listSides()
		}
		st.complete(step)
		for index, host := range st.hosts {
			if (step+index)%simRefresh == 0 {
				st.refresh(host, step)
			}
			rate := st.demand[host.dataCentre] * float64(st.slots*st.counts[host.dataCentre]) / st.duration.Seconds()
			for range st.poisson(rate / float64(st.hostCount(host.dataCentre)) * simStep.Seconds()) {
				st.send(host, step)
			}
		}
		st.record(now)
	}
	st.result.room = st.slots * len(st.local[0])
	return st.result
}

func (st *simSite) hostCount(centre int) int {
	return (len(st.hosts) + st.centres - 1 - centre) / st.centres
}

func (st *simSite) poisson(mean float64) (count int) {
	for product := st.rng.Float64(); product > math.Exp(-mean); product *= st.rng.Float64() {
		count++
	}
	return count
}

// complete ends requests: each running one ends within the mean duration on average.
func (st *simSite) complete(step int) {
	for index := range st.targets {
		tg := &st.targets[index]
		ended := float64(min(tg.load(), st.slots)) * simStep.Seconds() / st.duration.Seconds()
		for ended += st.rng.Float64(); ended >= 1; ended-- {
			owner := st.rng.IntN(min(tg.load(), st.slots))
			tg.owners[owner].change(step, index, -1)
			tg.owners = slices.Delete(tg.owners, owner, owner+1)
		}
	}
}

func (st *simSite) record(now time.Duration) {
	counts := make([]int, len(st.targets))
	for index := range st.targets {
		counts[index] = st.targets[index].load()
	}
	st.history = append(st.history, counts)
	st.currentBound = st.bound(counts)
	if now < simEvent {
		return
	}
	total, count := 0.0, 0.0
	for _, host := range st.hosts {
		if host.dataCentre == 0 {
			total += float64(host.balancer.Share(simTime(now)))
			count++
		}
	}
	st.result.shares = append(st.result.shares, total/count)
}

func simTime(now time.Duration) time.Time { return time.Unix(1000, 0).Add(now) }

// refresh gives the host the counts of 0.2 to 0.4 s ago.
func (st *simSite) refresh(host *simHost, step int) {
	age := simMinAge + st.rng.IntN(simMaxAge-simMinAge+1)
	if step < age {
		return
	}
	known := st.history[step-age]
	remoteAge := time.Duration(age) * simStep
	if st.stale && host.dataCentre == 0 {
		frozen := int(simEvent / simStep)
		remoteAge += time.Duration(step-frozen) * simStep
		known = slices.Clone(known)
		for index, tg := range st.targets {
			if tg.dataCentre != 0 {
				known[index] = st.history[frozen-1][index]
			}
		}
	}
	copy(host.view, known)
	host.changes = slices.DeleteFunc(host.changes, func(ch simChange) bool { return ch.step <= step-age })
	for _, ch := range host.changes {
		host.view[ch.target] += ch.delta
	}
	counts := Counts{RemoteAge: remoteAge, RoundTrip: 2 * time.Millisecond, Duration: st.duration}
	host.bound = st.bound(host.view)
	for _, index := range st.local[host.dataCentre] {
		counts.Local.Add(host.view[index], st.slots, host.bound)
	}
	for _, index := range st.remote[host.dataCentre] {
		counts.Remote.Add(host.view[index], st.slots, host.bound)
	}
	host.balancer.Observe(simTime(time.Duration(step)*simStep), counts)
}

// bound returns the load bound by the given counts.
func (st *simSite) bound(loads []int) int {
	total, count := 0, 0
	for index, load := range loads {
		if !st.down[index] {
			total += load
			count++
		}
	}
	return 2*total/max(1, count) + 3
}

func (st *simSite) listSides() {
	st.local, st.remote = nil, nil
	for centre := range st.centres {
		st.local, st.remote = append(st.local, st.side(centre, false)), append(st.remote, st.side(centre, true))
	}
	st.all = slices.Concat(st.local...)
}

// side lists the targets that are up in a data centre, or in all others.
func (st *simSite) side(centre int, remote bool) (side []int) {
	for index, tg := range st.targets {
		if !st.down[index] && (tg.dataCentre != centre) == remote {
			side = append(side, index)
		}
	}
	return side
}

// pick draws one of the targets in proportion to its free room by the host's counts. It returns -1 if there are none, and true if it
// found none with free room.
func (st *simSite) pick(host *simHost, side []int) (found int, full bool) {
	if len(side) == 0 {
		return -1, true
	}
	room := min(st.slots, host.bound)
	for range simSamples {
		found = side[st.rng.IntN(len(side))]
		if st.rng.IntN(room) < room-host.view[found] {
			return found, false
		}
	}
	return found, true
}

func (st *simSite) send(host *simHost, step int) {
	now := time.Duration(step) * simStep
	var chosen int
	var full bool
	switch st.policy {
	case allLocal:
		chosen, full = st.pick(host, st.local[host.dataCentre])
	case allOver:
		chosen, full = st.pick(host, st.all)
	default:
		chosen, full = st.decide(host, now)
	}
	measured := now >= simEvent
	if measured && host.dataCentre == 0 && now >= simEnd-simTail {
		st.result.sent++
		if chosen >= 0 && st.targets[chosen].dataCentre != 0 {
			st.result.left++
		}
	}
	if measured {
		st.result.arrived++
	}
	if chosen < 0 || full {
		return
	}
	if measured && st.targets[chosen].load() >= st.currentBound {
		st.result.over++
	}
	st.targets[chosen].owners = append(st.targets[chosen].owners, host)
	host.change(step, chosen, 1)
}

func (st *simSite) decide(host *simHost, now time.Duration) (chosen int, full bool) {
	locals, remotes := st.local[host.dataCentre], st.remote[host.dataCentre]
	chosen, full = st.pick(host, locals)
	req := &Request{Draw: st.rng.Float64(), LocalTargets: len(locals), RemoteTargets: len(remotes), LocalFull: full}
	if host.balancer.Decide(simTime(now), req).Leave {
		return st.pick(host, remotes)
	}
	return chosen, full
}

func (rs *simResult) leftShare() float64 { return float64(rs.left) / float64(max(1, rs.sent)) }
func (rs *simResult) overShare() float64 { return float64(rs.over) / float64(max(1, rs.arrived)) }

func (rs *simResult) tail() []float64 { return rs.shares[len(rs.shares)-int(simTail/simStep):] }

// swing returns the difference between the highest and the lowest share in the tail.
func (rs *simResult) swing() float64 { return slices.Max(rs.tail()) - slices.Min(rs.tail()) }

// settled returns the time after the event from which the share, averaged over a second, stays within 0.12 of its mean in the tail.
func (rs *simResult) settled() time.Duration {
	mean := 0.0
	for _, share := range rs.tail() {
		mean += share / float64(len(rs.tail()))
	}
	window := int(time.Second / simStep)
	for first := len(rs.shares) - window; first >= 0; first-- {
		average := 0.0
		for _, share := range rs.shares[first : first+window] {
			average += share / float64(window)
		}
		if math.Abs(average-mean) > 0.12 {
			return time.Duration(first+window) * simStep
		}
	}
	return 0
}
