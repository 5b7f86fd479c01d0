package quarantine_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/quarantine"
)

// simulation plays requests at the hosts of a site, whose targets end under a deadly part and return after 2 to 5 s.
type simulation struct {
	rng     *rand.Rand
	now     time.Duration
	hosts   []*quarantine.Tracker
	targets []simTarget
	events  eventQueue
	deadly  map[string]*deadlySubject
	// refused counts the sound requests that were refused, by second.
	refused map[int]int
}

type simTarget struct {
	entry   chestnutroad.TargetEntry
	downFor time.Duration
	running []*simRequest
}

type simRequest struct {
	host     *quarantine.Tracker
	parts    *quarantine.Request
	id       chestnutroad.RequestID
	deadly   *deadlySubject
	sends    int
	progress bool
	target   *simTarget
}

// deadlySubject counts the targets that ended under a part or a whole request, and the sends later than 3 s after the number of
// crashes at which it must be known.
type deadlySubject struct {
	known              int
	crashes, lateSends int
	knownAt            time.Duration
}

// The crashes at which a part and a whole request must be known.
const (
	knownPart    = 5
	knownRequest = 3
)

type simEvent struct {
	at time.Duration
	do func()
}

// eventQueue is a heap of events by time.
type eventQueue []simEvent

func (eq eventQueue) Len() int           { return len(eq) }
func (eq eventQueue) Less(a, b int) bool { return eq[a].at < eq[b].at }
func (eq eventQueue) Swap(a, b int)      { eq[a], eq[b] = eq[b], eq[a] }
func (eq *eventQueue) Push(ev any)       { *eq = append(*eq, ev.(simEvent)) }
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

func (sim *simulation) after(wait time.Duration, do func()) {
	heap.Push(&sim.events, simEvent{sim.now + wait, do})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at < until {
		ev := heap.Pop(&sim.events).(simEvent)
		sim.now = ev.at
		ev.do()
	}
}

func (sim *simulation) clock() time.Time { return start.Add(sim.now) }

func (sim *simulation) random(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.rng.Int64N(int64(most-least)))
}

// exchange sends the evidence of a host to all others every 150 ms; relays take up to 0.5 s, and 1 % of the messages are lost.
func (sim *simulation) exchange(from *quarantine.Tracker) {
	items := from.Take(sim.clock())
	for _, to := range sim.hosts {
		if len(items) == 0 || to == from || sim.rng.IntN(100) == 0 {
			continue
		}
		wait := sim.random(100*time.Millisecond, 500*time.Millisecond)
		aged := slices.Clone(items)
		for index := range aged {
			aged[index].Age += wait - 3*time.Millisecond
		}
		sim.after(wait, func() { to.Merge(sim.clock(), aged) })
	}
	sim.after(150*time.Millisecond, func() { sim.exchange(from) })
}

// arrive plays one request; kinds share their first part, and chats their second one.
func (sim *simulation) arrive(number int, share float64) {
	first, chat := fmt.Sprintf("kind-%d", sim.rng.IntN(4)), fmt.Sprintf("chat-%d", number-sim.rng.IntN(min(number+1, 400)))
	rq := &simRequest{host: sim.hosts[sim.rng.IntN(len(sim.hosts))], id: chestnutroad.RequestID(fmt.Sprint("r-", number))}
	rq.parts = prompt(first, chat)
	// One in four requests is one that its caller has sent before.
	fingerprint := quarantine.NewFingerprint("team", "/path", []byte(fmt.Sprint(number-number%4/3)))
	for _, name := range slices.Sorted(maps.Keys(sim.deadly)) {
		if sim.rng.Float64() < share/float64(len(sim.deadly)) {
			rq.parts, rq.deadly = prompt(first, name, chat), sim.deadly[name]
			if name == "deadly-first" {
				rq.parts = prompt(name, first, chat)
			}
		}
	}
	rq.parts.Fingerprint = fingerprint
	sim.send(rq)
}

// arriveDeadly plays the requests that crash their targets, each of them once in the interval, at any host.
func (sim *simulation) arriveDeadly(number int, interval time.Duration) {
	name := fmt.Sprint("request-", number)
	if sim.deadly[name] == nil {
		sim.deadly[name] = &deadlySubject{known: knownRequest}
	}
	rq := &simRequest{
		host: sim.hosts[sim.rng.IntN(len(sim.hosts))], id: chestnutroad.RequestID(fmt.Sprint(name, sim.now)), deadly: sim.deadly[name],
		parts: prompt(fmt.Sprintf("kind-%d", number%4), fmt.Sprintf("chat-%d", number)),
	}
	rq.parts.Fingerprint = quarantine.NewFingerprint("team", "/path", []byte(name))
	sim.send(rq)
	sim.after(sim.random(interval/2, interval*3/2), func() { sim.arriveDeadly(number, interval) })
}

func (sim *simulation) send(rq *simRequest) {
	second := int(sim.now / time.Second)
	rq.target = &sim.targets[sim.rng.IntN(len(sim.targets))]
	for rq.target.downFor > sim.now {
		rq.target = &sim.targets[sim.rng.IntN(len(sim.targets))]
	}
	if rq.host.Check(sim.clock(), rq.parts, rq.id).Refuse {
		if rq.deadly == nil {
			sim.refused[second]++
		}
		return
	}
	if dp := rq.deadly; dp != nil && dp.crashes >= dp.known && sim.now > dp.knownAt+3*time.Second {
		dp.lateSends++
	}
	rq.sends++
	rq.target.running = append(rq.target.running, rq)
	target := rq.target
	sim.after(sim.random(100*time.Millisecond, 1200*time.Millisecond), func() {
		if rq.target != target {
			return
		}
		if rq.deadly != nil {
			sim.crash(target)
			rq.deadly.crashes++
			if rq.deadly.crashes == rq.deadly.known {
				rq.deadly.knownAt = sim.now
			}
			return
		}
		rq.progress = true
		rq.host.Served(sim.clock(), rq.parts)
		sim.after(sim.random(time.Second, 3*time.Second), func() { sim.finish(rq) })
	})
}

func (sim *simulation) finish(rq *simRequest) {
	if rq.target == nil {
		return
	}
	rq.target.running = slices.DeleteFunc(rq.target.running, func(other *simRequest) bool { return other == rq })
}

// crash ends a target; the requests without progress are sent again where that is allowed.
func (sim *simulation) crash(target *simTarget) {
	broken, entry := target.running, target.entry
	target.running, target.downFor = nil, sim.now+sim.random(2*time.Second, 5*time.Second)
	target.entry.Incarnation++
	for _, rq := range broken {
		rq.target = nil
		if rq.progress {
			continue
		}
		rq.host.Crashed(sim.clock(), rq.parts, &entry)
		if rq.sends < 3 && rq.host.Repeatable(sim.clock(), rq.parts) {
			sim.after(time.Millisecond, func() { sim.send(rq) })
		}
	}
}

// TestSites guards against targets that end one after the other under the same prompt part, and against sound requests that are
// refused on its account or after crashes of another cause.
func TestSites(t *testing.T) {
	t.Parallel()
	const length = 40 * time.Second
	cases := []struct {
		name           string
		hosts, targets int
		perSecond      float64
		deadly         []string
		share          float64
		// crashed is the share of the targets that end at once at 15 s; rolling ones end one each 300 ms instead.
		crashed float64
		rolling bool
		// requests is the number of whole requests that crash targets, each sent once in the interval.
		requests int
		interval time.Duration
		// maxRefused is the most sound requests refused; none may be from 25 s on.
		maxRefused int
		seeds      int
	}{
		{"small site, deadly part first", 12, 46, 150, []string{"deadly-first"}, 0.05, 0, false, 0, 0, 30, 2},
		{"small site, deadly part in the middle", 12, 46, 150, []string{"deadly-middle"}, 0.05, 0, false, 0, 0, 30, 2},
		{"small site, two deadly parts", 12, 46, 150, []string{"deadly-first", "deadly-middle"}, 0.05, 0, false, 0, 0, 30, 2},
		{"small site, rare deadly part", 12, 46, 60, []string{"deadly-middle"}, 0.005, 0, false, 0, 0, 10, 2},
		{"large site, deadly part first", 130, 120, 300, []string{"deadly-first"}, 0.05, 0, false, 0, 0, 60, 1},
		{"large site, deadly part in the middle", 130, 120, 300, []string{"deadly-middle"}, 0.01, 0, false, 0, 0, 60, 1},
		{"large site, two deadly parts", 130, 120, 300, []string{"deadly-first", "deadly-middle"}, 0.05, 0, false, 0, 0, 60, 1},
		{"small site, a data centre crashes", 12, 46, 150, nil, 0, 0.3, false, 0, 0, 10, 2},
		{"small site, all targets crash", 12, 46, 150, nil, 0, 0.95, false, 0, 0, 10, 2},
		{"large site, all targets crash", 130, 120, 300, nil, 0, 0.95, false, 0, 0, 20, 1},
		{"small site, a deadly request", 12, 46, 150, nil, 0, 0, false, 1, time.Second, 10, 2},
		{"small site, a rare deadly request", 12, 46, 150, nil, 0, 0, false, 1, 5 * time.Second, 10, 2},
		{"small site, ten deadly requests", 12, 46, 150, nil, 0, 0, false, 10, 2 * time.Second, 30, 2},
		{"large site, ten deadly requests", 130, 120, 300, nil, 0, 0, false, 10, 2 * time.Second, 30, 1},
		{"large site, a deadly request and crashes", 130, 120, 300, nil, 0, 0.5, true, 1, time.Second, 30, 1},
		{"large site, targets crash one by one", 130, 120, 300, nil, 0, 0.5, true, 0, 0, 20, 1},
	}
	for _, tc := range cases {
		for seed := range uint64(tc.seeds) {
			t.Run(fmt.Sprint(tc.name, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				sim := &simulation{
					rng: rand.New(rand.NewPCG(seed, 1)), deadly: map[string]*deadlySubject{}, refused: map[int]int{},
				}
				for range tc.hosts {
					tr := quarantine.New()
					tr.SetHostCount(tc.hosts)
					sim.hosts = append(sim.hosts, tr)
					sim.after(sim.random(0, 150*time.Millisecond), func() { sim.exchange(tr) })
				}
				for index := range tc.targets {
					sim.targets = append(sim.targets, simTarget{entry: *targetEntry(index + 1)})
				}
				sim.after(5*time.Second, func() {
					for _, name := range tc.deadly {
						sim.deadly[name] = &deadlySubject{known: knownPart}
					}
				})
				for number := range tc.requests {
					sim.after(5*time.Second+sim.random(0, tc.interval), func() { sim.arriveDeadly(number, tc.interval) })
				}
				for number := range int(tc.perSecond * length.Seconds()) {
					sim.after(sim.random(0, length), func() { sim.arrive(number, tc.share) })
				}
				for index := range int(tc.crashed * float64(tc.targets)) {
					wait := 15 * time.Second
					if tc.rolling {
						wait += time.Duration(index) * 300 * time.Millisecond
					}
					sim.after(wait, func() { sim.crash(&sim.targets[index]) })
				}
				sim.run(length)
				total, late := 0, 0
				for second, count := range sim.refused {
					total += count
					if second >= 25 && !tc.rolling {
						late += count
					}
				}
				for name, dp := range sim.deadly {
					t.Logf("%s: %d crashes, known at %s, %d late sends, %d sound requests refused", name, dp.crashes, dp.knownAt, dp.lateSends, total)
					if dp.lateSends > 3 {
						t.Errorf("%s: %d sends later than 3 s after it had to be known, want at most 3", name, dp.lateSends)
					}
				}
				if total > tc.maxRefused || late > 0 {
					t.Errorf("refused %d sound requests, %d of them from 25 s on; want at most %d, none late: %v", total, late, tc.maxRefused, sim.refused)
				}
			})
		}
	}
}
