package admission_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// The simulated day: engines with 12 slots prefill 70 tokens/ms and need 0.5 ms for a generated token. Two of 24 teams ask for
// twelve and fifteen times their usual load, the least urgent kind for three times its usual load, and a quarter of the engines
// is gone for some time. Counts are 0.2 to 0.4 s old.
const (
	dayTick        = 10 * time.Millisecond
	daySlots       = 12
	prefillTime    = time.Second / 70_000
	generateTime   = 500 * time.Microsecond
	cachedShare    = 0.89
	quietLoad      = 0.35
	surgeFrom      = 4 * time.Second
	surgeTo        = 16 * time.Second
	enginesLostAt  = 6 * time.Second
	enginesBackAt  = 12 * time.Second
	dayEnd         = 20 * time.Second
	largeTeams     = 3
	dayTeams       = 24
	impatientShare = 0.3
	// prefillShare is the share of an engine's time that prompts take while there are any; the streams get the rest.
	prefillShare = 0.7
)

// kind is a kind of requests, in the order of their ranks.
type kind struct {
	prompt, output chestnutroad.Tokens
	share          float64
	target, budget time.Duration
}

var kinds = []kind{
	{830, 80, 0.5, 500 * time.Millisecond, 6 * time.Second},
	{2400, 160, 0.3, 1200 * time.Millisecond, 6 * time.Second},
	{11_800, 200, 0.2, 2500 * time.Millisecond, 6 * time.Second},
}

// dayParts are the parts under test that a run has.
type dayParts struct{ work, ranks bool }

// dayCall is one request.
type dayCall struct {
	kind, team, host, target  int
	id                        int
	budget                    time.Duration
	startedAt, dueAt, sentAt  time.Duration
	prefill, generate, work   float64
	retried, impatient, begun bool
}

// dayCallHeap is a min-heap of calls by the time at which they are due.
type dayCallHeap []*dayCall

func (dh dayCallHeap) Len() int           { return len(dh) }
func (dh dayCallHeap) Less(i, j int) bool { return dh[i].dueAt < dh[j].dueAt }
func (dh dayCallHeap) Swap(i, j int)      { dh[i], dh[j] = dh[j], dh[i] }

// Push implements heap.Interface.
func (dh *dayCallHeap) Push(value any) { *dh = append(*dh, value.(*dayCall)) }

// Pop implements heap.Interface.
func (dh *dayCallHeap) Pop() any {
	old := *dh
	last := old[len(old)-1]
	*dh = old[:len(old)-1]
	return last
}

// dayStats counts requests and their work in seconds of engine time.
type dayStats struct {
	asked, served, inTime, refused, abandoned int
	askedWork, servedWork                     float64
}

func (ds *dayStats) servedShare() float64  { return float64(ds.served) / max(1, float64(ds.asked)) }
func (ds *dayStats) refusedShare() float64 { return float64(ds.refused) / max(1, float64(ds.asked)) }
func (ds *dayStats) inTimeShare() float64  { return float64(ds.inTime) / max(1, float64(ds.asked)) }

// dayHost is the admission state of one host.
type dayHost struct {
	pool       *placement.Pool
	throttle   *admission.Throttle
	teams      admission.TeamRates
	retryAfter admission.RetryAfter
	detector   admission.RetryDetector
	inFlight   []int
}

type dayEngine struct {
	waiting, running []*dayCall
}

// day is one simulated day.
type day struct {
	rng     *rand.Rand
	parts   dayParts
	load    float64
	hosts   []*dayHost
	engines []*dayEngine
	pending dayCallHeap
	// counts are each host's requests at each engine, as of the last exchange.
	counts  [][]int
	kinds   [3]dayStats
	teams   [dayTeams]dayStats
	last    dayStats
	refused int
	lastID  int
}

// newDay returns a day with the number of hosts, and 1.1 engines for each.
func newDay(seed uint64, hosts int, load float64, parts dayParts) *day {
	dy := &day{rng: rand.New(rand.NewPCG(seed, 2)), parts: parts, load: load}
	disabled := mechanism.Set{mechanism.Ranks: !parts.ranks}
	for range hosts * 11 / 10 {
		dy.engines = append(dy.engines, &dayEngine{})
	}
	for range hosts {
		ho := &dayHost{pool: placement.NewPool("dc-0"), throttle: admission.NewThrottle(disabled), inFlight: make([]int, len(dy.engines))}
		for index := range dy.engines {
			ho.pool.Set(dayEntry(index))
		}
		dy.hosts = append(dy.hosts, ho)
	}
	return dy
}

func dayEntry(index int) *chestnutroad.TargetEntry {
	return &chestnutroad.TargetEntry{
		ID: targetID(index), Service: "s", Slots: daySlots, DataCentre: "dc-0",
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+index)),
	}
}

// meanWork is the work of a usual request, of which 0.7 find their shared parts cached.
func meanWork() float64 {
	sum := 0.0
	for _, kd := range kinds {
		uncached := float64(kd.prompt) * (1 - 0.7*cachedShare)
		sum += kd.share * (uncached*prefillTime.Seconds() + float64(kd.output)*generateTime.Seconds())
	}
	return sum
}

// teamWeight returns the load of a team as a share of the usual load of all.
func teamWeight(team int, surge bool) float64 {
	weight := 0.55 / (dayTeams - largeTeams)
	switch {
	case team < largeTeams:
		weight = 0.45 / largeTeams
	case surge && team == dayTeams-1:
		weight *= 15
	case surge && team == dayTeams-2:
		weight *= 12
	}
	return weight
}

func (dy *day) addArrivals(now time.Duration) {
	surge := dy.load == 0 && now >= surgeFrom && now < surgeTo
	load := dy.load
	if load == 0 {
		load = quietLoad
	}
	usual := load * float64(len(dy.engines)) / meanWork() * dayTick.Seconds()
	for team := range dayTeams {
		for index, kd := range kinds {
			expected := usual * teamWeight(team, surge) * kd.share
			if surge && index == 2 {
				expected *= 3
			}
			for ; expected > 0; expected-- {
				if dy.rng.Float64() < expected {
					dy.add(now, team, index)
				}
			}
		}
	}
}

// add adds a request. A fifth of the urgent ones have no time for a second attempt.
func (dy *day) add(now time.Duration, team, index int) {
	kd := &kinds[index]
	dy.lastID++
	uncached := float64(kd.prompt)
	if dy.rng.Float64() < 0.7 {
		uncached *= 1 - cachedShare
	}
	cl := &dayCall{
		kind: index, team: team, host: dy.rng.IntN(len(dy.hosts)), id: dy.lastID, startedAt: now, dueAt: now, budget: kd.budget,
		prefill: uncached * prefillTime.Seconds(), generate: float64(kd.output) * generateTime.Seconds(),
		impatient: dy.rng.Float64() < impatientShare,
	}
	if index == 0 && dy.rng.IntN(5) == 0 {
		cl.budget = 550 * time.Millisecond
	}
	cl.work = cl.prefill + cl.generate
	heap.Push(&dy.pending, cl)
	dy.record(cl, func(ds *dayStats) {
		ds.asked++
		ds.askedWork += cl.work
	})
}

// record applies add to the statistics of the call's kind and team if it began in the surge, but not in its first 2 s.
func (dy *day) record(cl *dayCall, add func(ds *dayStats)) {
	if cl.startedAt < surgeFrom+2*time.Second || cl.startedAt >= surgeTo {
		return
	}
	add(&dy.kinds[cl.kind])
	add(&dy.teams[cl.team])
	if cl.budget < time.Second {
		add(&dy.last)
	}
}

func (dy *day) route(now time.Duration, cl *dayCall) {
	at, ho := startTime.Add(now), dy.hosts[cl.host]
	remaining := cl.budget - (now - cl.startedAt)
	req := &placement.Request{
		Service: "s", ID: chestnutroad.RequestID(fmt.Sprint(cl.id)), Rank: cl.kind, RequireSlot: true, MaxOutputTokens: kinds[cl.kind].output,
	}
	work := dy.estimate(cl)
	req.Precedence = ho.detector.Classify(remaining, ho.retryAfter.MinDelay(at, remaining))
	if ho.teams.OverShare(at, chestnutroad.TeamID(fmt.Sprint(cl.team))) {
		req.Precedence = admission.Demoted
	}
	if dy.parts.work {
		req.Precedence = ho.throttle.Protect(req.Precedence, work, remaining, kinds[cl.kind].target)
	}
	admitted := ho.throttle.Admit(at, cl.kind, req.Precedence, work, ho.pool.Utilisation(at, req), dy.rng.Float64()).Admitted
	var choice placement.Choice
	if admitted {
		choice, admitted = ho.pool.Choose(at, req)
	}
	ho.retryAfter.Observe(at, !admitted)
	if !admitted {
		dy.refuse(now, cl, remaining)
		return
	}
	_, _ = fmt.Sscanf(string(choice.Entry.ID), "i-%d", &cl.target)
	ho.pool.Start(choice.Entry.ID)
	ho.inFlight[cl.target]++
	cl.sentAt = now
	dy.engines[cl.target].waiting = append(dy.engines[cl.target].waiting, cl)
}

// estimate returns the work of the call as a host estimates it: it takes one of ten parts for cached that isn't, or the reverse.
func (dy *day) estimate(cl *dayCall) float64 {
	if !dy.parts.work {
		return 1
	}
	if dy.rng.IntN(10) > 0 {
		return cl.work
	}
	uncached := float64(kinds[cl.kind].prompt) * prefillTime.Seconds()
	if cl.prefill > uncached/2 {
		return cl.generate + (1-cachedShare)*uncached
	}
	return cl.generate + uncached
}

func (dy *day) refuse(now time.Duration, cl *dayCall, remaining time.Duration) {
	dy.refused++
	ho := dy.hosts[cl.host]
	delay := ho.retryAfter.Delay(startTime.Add(now), remaining, dy.rng.Float64())
	if cl.impatient {
		delay = 10 * time.Millisecond
	}
	if cl.retried || now+delay-cl.startedAt >= cl.budget-50*time.Millisecond {
		dy.record(cl, func(ds *dayStats) { ds.refused++ })
		return
	}
	cl.retried, cl.dueAt, cl.host = true, now+delay, dy.rng.IntN(len(dy.hosts))
	heap.Push(&dy.pending, cl)
}

func (dy *day) finish(cl *dayCall) {
	ho := dy.hosts[cl.host]
	ho.inFlight[cl.target]--
	ho.pool.Finish(targetID(cl.target))
}

// leave ends the calls in an engine's queue whose callers gave up.
func (dy *day) leave(now time.Duration, en *dayEngine) {
	kept := en.waiting[:0]
	for _, cl := range en.waiting {
		if now-cl.startedAt < cl.budget {
			kept = append(kept, cl)
			continue
		}
		dy.record(cl, func(ds *dayStats) { ds.abandoned++ })
		dy.hosts[cl.host].throttle.Observe(startTime.Add(now), cl.kind, admission.Shed, dy.observedWork(cl))
		dy.finish(cl)
	}
	en.waiting = kept
}

func (dy *day) observedWork(cl *dayCall) float64 {
	if dy.parts.work {
		return cl.work
	}
	return 1
}

// runEngine starts waiting calls by rank and gives prompts prefillShare of the time, in the order of their ranks as engines do by
// the priority of requests; the streams share the rest.
func (dy *day) runEngine(now time.Duration, en *dayEngine) {
	dy.leave(now, en)
	for rank := range kinds {
		kept := en.waiting[:0]
		for _, cl := range en.waiting {
			if cl.kind != rank || len(en.running) >= daySlots {
				kept = append(kept, cl)
				continue
			}
			en.running = append(en.running, cl)
		}
		en.waiting = kept
	}
	streams := 0
	for _, cl := range en.running {
		if cl.begun {
			streams++
		}
	}
	budget := dayTick.Seconds()
	prompts := budget
	if streams > 0 {
		prompts *= prefillShare
	}
	prompting := slices.Clone(en.running)
	slices.SortStableFunc(prompting, func(left, right *dayCall) int { return left.kind - right.kind })
	for _, cl := range prompting {
		if cl.begun || prompts <= 0 {
			continue
		}
		used := min(prompts, cl.prefill)
		prompts, budget = prompts-used, budget-used
		dy.prefilled(now, cl, used)
	}
	kept := en.running[:0]
	for _, cl := range en.running {
		if cl.begun && streams > 0 {
			cl.generate -= budget / float64(streams)
		}
		if cl.begun && cl.generate <= 0 {
			dy.finish(cl)
			continue
		}
		kept = append(kept, cl)
	}
	en.running = kept
}

// prefilled advances a prompt; its end is the first event of the answer.
func (dy *day) prefilled(now time.Duration, cl *dayCall, used float64) {
	cl.prefill -= used
	if cl.prefill > 1e-9 {
		return
	}
	cl.begun = true
	outcome := admission.Late
	if now-cl.sentAt <= kinds[cl.kind].target {
		outcome = admission.InTime
	}
	dy.record(cl, func(ds *dayStats) {
		ds.served++
		ds.servedWork += cl.work
		if now-cl.startedAt <= kinds[cl.kind].target {
			ds.inTime++
		}
	})
	dy.hosts[cl.host].throttle.Observe(startTime.Add(now), cl.kind, outcome, dy.observedWork(cl))
}

const exchangeInterval = 200 * time.Millisecond

// exchange gives each host the counts of all others as of the last exchange, so that they are 0.2 to 0.4 s old.
func (dy *day) exchange() {
	if dy.counts != nil {
		sums := make([]int, len(dy.engines))
		for _, counts := range dy.counts {
			for index, count := range counts {
				sums[index] += count
			}
		}
		for host, ho := range dy.hosts {
			others := map[chestnutroad.TargetID]int{}
			for index, sum := range sums {
				others[targetID(index)] = sum - dy.counts[host][index]
			}
			ho.pool.SetPeerCounts(others)
		}
	}
	dy.counts = nil
	for _, ho := range dy.hosts {
		dy.counts = append(dy.counts, append([]int(nil), ho.inFlight...))
	}
}

// setEngines removes the last quarter of the engines, whose requests other targets get, or adds it again.
func (dy *day) setEngines(now time.Duration, gone bool) {
	for index := len(dy.engines) * 3 / 4; index < len(dy.engines); index++ {
		en := dy.engines[index]
		for _, cl := range append(en.running, en.waiting...) {
			if dy.finish(cl); !cl.begun {
				cl.dueAt = now
				heap.Push(&dy.pending, cl)
			}
		}
		en.running, en.waiting = nil, nil
		for _, ho := range dy.hosts {
			if gone {
				ho.pool.Remove(targetID(index))
			} else {
				ho.pool.Set(dayEntry(index))
			}
		}
	}
}

func (dy *day) run() *day {
	for now := time.Duration(0); now < dayEnd; now += dayTick {
		dy.addArrivals(now)
		if now%exchangeInterval == 0 {
			dy.exchange()
		}
		if dy.load == 0 && now == enginesLostAt {
			dy.setEngines(now, true)
		}
		if dy.load == 0 && now == enginesBackAt {
			dy.setEngines(now, false)
		}
		for len(dy.pending) > 0 && dy.pending[0].dueAt <= now {
			dy.route(now, heap.Pop(&dy.pending).(*dayCall))
		}
		for _, en := range dy.engines {
			dy.runEngine(now, en)
		}
	}
	return dy
}

// TestWorkOfCompetingKinds guards against an admission that takes all requests for equally costly: it then refuses requests of the
// middle kind, although refusing fewer of the long ones frees as much.
func TestWorkOfCompetingKinds(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{12, 35, 130} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			with, without := newDay(1, hosts, 0, dayParts{work: true}).run(), newDay(1, hosts, 0, dayParts{}).run()
			for index := range kinds {
				t.Logf("kind %d: served %.3f, in time %.3f; by counts %.3f, %.3f", index, with.kinds[index].servedShare(),
					with.kinds[index].inTimeShare(), without.kinds[index].servedShare(), without.kinds[index].inTimeShare())
			}
			missed, missedByCounts := 1-with.kinds[1].servedShare(), 1-without.kinds[1].servedShare()
			if missed > 0.6*missedByCounts {
				t.Errorf("share of the middle kind that isn't served: %.3f, by counts %.3f", missed, missedByCounts)
			}
			if with.kinds[1].inTimeShare() < without.kinds[1].inTimeShare()+0.02 {
				t.Errorf("share of the middle kind in time: %.3f, by counts %.3f", with.kinds[1].inTimeShare(), without.kinds[1].inTimeShare())
			}
		})
	}
}

// TestQuietKinds guards against refusals while there is room.
func TestQuietKinds(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{12, 130} {
		if dy := newDay(1, hosts, 0.75, dayParts{work: true, ranks: true}).run(); dy.refused > 0 {
			t.Errorf("%d hosts: %d requests were refused without overload", hosts, dy.refused)
		}
	}
}

// TestRanksOfCompetingKinds guards against urgent requests that are late because less urgent ones take the engines, against a less
// urgent rank that is refused less often than a more urgent one, and against a rank that starves.
func TestRanksOfCompetingKinds(t *testing.T) {
	t.Parallel()
	cases := []struct {
		hosts int
		seeds uint64
		// gain is the least rise of the share of urgent requests in time.
		gain float64
	}{
		{12, 3, 0.02},
		{35, 2, 0.04},
		{130, 1, 0.06},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprint(tc.hosts), func(t *testing.T) {
			t.Parallel()
			inTime, inTimeWithout := 0.0, 0.0
			for seed := uint64(1); seed <= tc.seeds; seed++ {
				dy := newDay(seed, tc.hosts, 0, dayParts{work: true, ranks: true}).run()
				inTime += dy.kinds[0].inTimeShare() / float64(tc.seeds)
				inTimeWithout += newDay(seed, tc.hosts, 0, dayParts{work: true}).run().kinds[0].inTimeShare() / float64(tc.seeds)
				checkKinds(t, dy)
			}
			t.Logf("urgent requests in time: %.3f, %.3f without", inTime, inTimeWithout)
			if inTime < inTimeWithout+tc.gain {
				t.Errorf("urgent requests in time: %.3f, %.3f without", inTime, inTimeWithout)
			}
		})
	}
}

// checkKinds checks that the kinds are refused in the order of their ranks, and none is served less than 0.3 times as often as all.
func checkKinds(t *testing.T, dy *day) {
	t.Helper()
	served, asked := 0, 0
	for index := range kinds {
		served += dy.kinds[index].served
		asked += dy.kinds[index].asked
	}
	for index := range kinds {
		share := dy.kinds[index].servedShare()
		t.Logf("kind %d: served %.3f, in time %.3f, refused %.3f", index, share, dy.kinds[index].inTimeShare(), dy.kinds[index].refusedShare())
		if index > 0 && dy.kinds[index].refusedShare() < dy.kinds[index-1].refusedShare() {
			t.Errorf("kind %d is refused less often than the more urgent one: %.3f", index, dy.kinds[index].refusedShare())
		}
		if share < 0.3*float64(served)/float64(asked) {
			t.Errorf("kind %d is served %.3f times, all %.3f", index, share, float64(served)/float64(asked))
		}
	}
}
