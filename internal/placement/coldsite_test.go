package placement_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

const (
	coldPerSecond = 9.2
	coldTime      = 3 * time.Second
	// coldBound is the most requests in a second that a cold target tolerates: 9.2 x 1.5 + 5.
	coldBound = 18

	coldStep = 5 * time.Millisecond
	// coldTick is the time between two messages of a host, which arrive coldDelay later; their content is 0.2 to 0.4 s old when it is used.
	coldTick  = 150 * time.Millisecond
	coldDelay = 200 * time.Millisecond
	// coldRequestTime is how long a request runs, coldHeadTime when the head of its answer arrives.
	coldRequestTime = 1200 * time.Millisecond
	coldHeadTime    = 100 * time.Millisecond
	coldSlots       = 16
	coldParts       = 300
	// coldLoad is the usual number of requests a second for each target.
	coldLoad = 4.5
	// coldHotShare is the share of requests with the hot part: a third of one of three kinds.
	coldHotShare = 1.0 / 9
	// coldEntryDelay is how long after it was written hosts read an entry at most.
	coldEntryDelay = 1900 * time.Millisecond
)

// coldHost is a host of a coldSite.
type coldHost struct {
	pool  *placement.Pool
	phase time.Duration
	// cutOff is true while the host neither sends nor gets messages.
	cutOff bool
	rates  []chestnutroad.TargetRate
	counts map[chestnutroad.TargetID]int
}

// coldTarget is a target of a coldSite, as it is.
type coldTarget struct {
	entry    *chestnutroad.TargetEntry
	down     bool
	coldTill time.Duration
	// cold holds the arrivals while it is cold, and coldSince the time from which it was.
	cold     []time.Duration
	coldSpan time.Duration
}

// coldSite plays requests of hosts to targets, some of which are cold, without a network. Messages are played as sums of all hosts
// that are not cut off.
type coldSite struct {
	rng     *rand.Rand
	now     time.Duration
	hosts   []*coldHost
	targets []*coldTarget
	byID    map[chestnutroad.TargetID]*coldTarget
	// due are the actions at later times.
	due map[time.Duration][]func()
	// rate is the number of requests a second, hot the share of them with the hot part.
	rate, hot         float64
	requests, refused int
}

func newColdSite(seed uint64, hosts int, off mechanism.Set) *coldSite {
	site := &coldSite{
		rng: rand.New(rand.NewPCG(seed, uint64(hosts))), byID: map[chestnutroad.TargetID]*coldTarget{}, due: map[time.Duration][]func(){},
	}
	count := min(140, 3*max(4, hosts))
	site.rate, site.hot = coldLoad*float64(count), coldHotShare
	for index := range count {
		en := entry(index, chestnutroad.DataCentreID("abc"[index%3:index%3+1]), coldSlots)
		en.Incarnation, en.Sequence = 1, 1
		tg := &coldTarget{entry: en}
		site.targets = append(site.targets, tg)
		site.byID[en.ID] = tg
	}
	for range hosts {
		host := &coldHost{pool: placement.NewPool("a", placement.WithoutMechanisms(off)), phase: time.Duration(site.rng.Int64N(int64(coldTick)))}
		host.pool.SetHostCount(hosts)
		host.pool.SetColdStarts([]chestnutroad.ServiceSpec{{Name: "s", ColdTime: coldTime, ColdRate: coldPerSecond}})
		for _, tg := range site.targets {
			host.pool.Set(tg.entry)
			host.pool.RegisterCold(site.clock(), tg.entry, true)
		}
		site.hosts = append(site.hosts, host)
	}
	return site
}

func (cs *coldSite) clock() time.Time { return start.Add(cs.now) }

func (cs *coldSite) after(delay time.Duration, action func()) {
	at := (cs.now + delay) / coldStep * coldStep
	cs.due[at] = append(cs.due[at], action)
}

// sum returns what the hosts that are not cut off told last.
func (cs *coldSite) sum() (map[chestnutroad.TargetHash]chestnutroad.TargetRate, map[chestnutroad.TargetID]int) {
	rates, counts := map[chestnutroad.TargetHash]chestnutroad.TargetRate{}, map[chestnutroad.TargetID]int{}
	for _, host := range cs.hosts {
		if host.cutOff {
			continue
		}
		for id, number := range host.counts {
			counts[id] += number
		}
		for _, rate := range host.rates {
			sum, exists := rates[rate.Target]
			if !exists || rate.Age < sum.Age {
				sum.Limit, sum.Age = rate.Limit, rate.Age
			}
			sum.Target = rate.Target
			sum.Sent += rate.Sent
			for class := range rate.Wanted {
				sum.Wanted[class] += rate.Wanted[class]
			}
			rates[rate.Target] = sum
		}
	}
	return rates, counts
}

// exchange plays the messages of the hosts whose tick it is.
func (cs *coldSite) exchange() {
	var due []*coldHost
	for _, host := range cs.hosts {
		if (cs.now+host.phase)%coldTick < coldStep && !host.cutOff {
			host.rates, host.counts = host.pool.TakeRates(cs.clock()), host.pool.OwnCounts()
			due = append(due, host)
		}
	}
	if len(due) == 0 {
		return
	}
	rates, counts := cs.sum()
	for _, host := range due {
		others, list := maps.Clone(counts), make([]chestnutroad.TargetRate, 0, len(rates))
		for id, number := range host.counts {
			others[id] -= number
		}
		own := map[chestnutroad.TargetHash]chestnutroad.TargetRate{}
		for _, rate := range host.rates {
			own[rate.Target] = rate
		}
		for hash, rate := range rates {
			rate.Age += coldDelay
			rate.Sent = max(0, rate.Sent-own[hash].Sent)
			for class := range rate.Wanted {
				rate.Wanted[class] = max(0, rate.Wanted[class]-own[hash].Wanted[class])
			}
			list = append(list, rate)
		}
		cs.after(coldDelay, func() {
			if !host.cutOff {
				host.pool.SetPeerCounts(others)
				host.pool.MergeRates(cs.clock(), list)
			}
		})
	}
}

// arrive plays one request, which is sent up to three times.
func (cs *coldSite) arrive() {
	cs.requests++
	host := cs.hosts[cs.rng.IntN(len(cs.hosts))]
	part := fmt.Sprint("part-", cs.rng.IntN(coldParts))
	if cs.rng.Float64() < cs.hot {
		part = "hot"
	}
	req := &placement.Request{
		Service: "s", Affinity: part, SharedTokens: 2000, MaxOutputTokens: 200, RequireSlot: true, Rank: cs.rng.IntN(3),
		ID: chestnutroad.RequestID(fmt.Sprint("r-", cs.requests)),
	}
	for range 3 {
		choice, found := host.pool.Choose(cs.clock(), req)
		if !found {
			break
		}
		id := choice.Entry.ID
		host.pool.CountSent(cs.clock(), id)
		tg := cs.byID[id]
		if tg.down {
			host.pool.Observe(cs.clock(), id, placement.Unreachable)
			req.Excluded = append(req.Excluded, id)
			continue
		}
		cold := tg.coldTill > cs.now
		if cold {
			tg.cold = append(tg.cold, cs.now)
		}
		host.pool.Start(id)
		sent := choice.Entry
		cs.after(coldHeadTime, func() {
			if cold {
				host.pool.ObserveCold(cs.clock(), &sent, max(0, tg.coldTill-cs.now))
			}
		})
		cs.after(coldRequestTime, func() {
			host.pool.Finish(id)
			host.pool.Observe(cs.clock(), id, placement.Served)
		})
		return
	}
	cs.refused++
}

// play plays requests for a time.
func (cs *coldSite) play(duration time.Duration) {
	for end := cs.now + duration; cs.now < end; cs.now += coldStep {
		for _, action := range cs.due[cs.now] {
			action()
		}
		delete(cs.due, cs.now)
		cs.exchange()
		for rest := cs.rate * coldStep.Seconds(); rest > 0; rest-- {
			if cs.rng.Float64() < rest {
				cs.arrive()
			}
		}
	}
}

// chill makes targets cold. Announced ones have a new incarnation and write an entry, which each host reads up to coldEntryDelay later.
func (cs *coldSite) chill(announced bool, targets ...*coldTarget) {
	delay := time.Duration(cs.rng.Int64N(int64(coldEntryDelay)))
	for _, tg := range targets {
		tg.down, tg.coldTill = false, cs.now+coldTime
		tg.coldSpan += coldTime
		if !announced {
			continue
		}
		en := *tg.entry
		en.Incarnation, en.WarmUp = en.Incarnation+1, coldTime
		tg.entry = &en
		for index, host := range cs.hosts {
			// The relays of the data centres read at different times.
			cs.after((delay+time.Duration(index%3)*600*time.Millisecond)%coldEntryDelay, func() {
				entry := en
				if host.pool.Set(&entry) {
					host.pool.MarkJoined(cs.clock(), entry.ID)
				}
				host.pool.RegisterCold(cs.clock(), &entry, false)
			})
		}
	}
}

// end takes targets down; hosts read that their entries are gone up to coldEntryDelay later.
func (cs *coldSite) end(unregister bool, targets ...*coldTarget) {
	for _, tg := range targets {
		tg.down = true
		if unregister {
			for _, host := range cs.hosts {
				cs.after(time.Second, func() { host.pool.Remove(tg.entry.ID) })
			}
		}
	}
}

// centre returns the targets of one of the data centres.
func (cs *coldSite) centre() []*coldTarget {
	return slices.DeleteFunc(slices.Clone(cs.targets), func(tg *coldTarget) bool { return tg.entry.DataCentre != "b" })
}

// worst returns the most requests that a cold target got in a second, and the share of the cold rate of all cold targets that was used.
func (cs *coldSite) worst() (most int, used float64) {
	total, span := 0, time.Duration(0)
	for _, tg := range cs.targets {
		first := 0
		for last, at := range tg.cold {
			for tg.cold[first] <= at-time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
		total += len(tg.cold)
		span += tg.coldSpan
	}
	return most, float64(total) / (coldPerSecond * span.Seconds())
}

// coldScenarios are what happens on a coldSite after it has played some seconds.
var coldScenarios = []struct {
	name string
	// load is the traffic before the scenario as a multiple of the usual one.
	load float64
	// broken is true when a target gets more than coldBound at the largest site without the mechanism; in the other scenarios the
	// load bound alone suffices in this model.
	broken bool
	run    func(site *coldSite)
}{
	{"a data centre returns cold with the same incarnations", 1.6, false, func(site *coldSite) {
		site.end(false, site.centre()...)
		site.play(6 * time.Second)
		site.chill(false, site.centre()...)
	}},
	{"a data centre returns cold with new incarnations", 1.6, false, func(site *coldSite) {
		site.end(true, site.centre()...)
		site.play(6 * time.Second)
		site.chill(true, site.centre()...)
	}},
	{"targets of a hot part become cold unannounced", 1, true, func(site *coldSite) {
		site.play(4 * time.Second)
		site.chill(false, site.targets...)
	}},
	{"a burst of double traffic while a data centre is cold", 1.2, true, func(site *coldSite) {
		site.end(false, site.centre()...)
		site.play(4 * time.Second)
		site.chill(false, site.centre()...)
		site.rate *= 2
	}},
	{"half of the engines are gone and return", 1.4, false, func(site *coldSite) {
		half := site.targets[:len(site.targets)/2]
		site.end(true, half...)
		site.play(5 * time.Second)
		site.chill(true, half...)
	}},
	{"a data centre returns cold, a quarter of the hosts is cut off from the others", 1.6, false, func(site *coldSite) {
		for _, host := range site.hosts[:max(1, len(site.hosts)/4)] {
			host.cutOff = true
		}
		site.end(false, site.centre()...)
		site.play(5 * time.Second)
		site.chill(false, site.centre()...)
	}},
	{"half of the engines, a hot part and a burst", 1, true, func(site *coldSite) {
		half := site.targets[:len(site.targets)/2]
		site.end(true, half...)
		site.play(4 * time.Second)
		site.rate *= 2
		site.chill(true, half...)
	}},
}

// TestColdSites guards against a cold target that gets more requests in a second than it tolerates, summed over the hosts.
func TestColdSites(t *testing.T) {
	t.Parallel()
	for _, sc := range coldScenarios {
		for _, hosts := range []int{3, 12, 35, 130} {
			t.Run(fmt.Sprint(sc.name, "/", hosts, " hosts"), func(t *testing.T) {
				t.Parallel()
				site := newColdSite(10, hosts, nil)
				site.rate *= sc.load
				site.play(4 * time.Second)
				sc.run(site)
				site.play(5 * time.Second)
				most, used := site.worst()
				t.Logf("at most %d requests in a second, %.2f of the cold rate used, %d of %d requests refused", most, used, site.refused, site.requests)
				if most > coldBound {
					t.Errorf("a cold target got %d requests in a second, want at most %d", most, coldBound)
				}
			})
		}
	}
}

// TestColdSitesWithout shows what the mechanism is for: without it cold targets get more than they tolerate.
func TestColdSitesWithout(t *testing.T) {
	t.Parallel()
	for _, sc := range coldScenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			site := newColdSite(7, 130, mechanism.Set{mechanism.ColdStart: true})
			site.rate *= sc.load
			site.play(4 * time.Second)
			sc.run(site)
			site.play(5 * time.Second)
			most, used := site.worst()
			t.Logf("at most %d requests in a second, %.2f of the cold rate used, %d of %d requests refused", most, used, site.refused, site.requests)
			if sc.broken && most <= coldBound {
				t.Errorf("a cold target got %d requests in a second without the mechanism, want more than %d", most, coldBound)
			}
		})
	}
}
