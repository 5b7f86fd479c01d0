package placement_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

var start = time.Unix(1_000_000, 0)

func entry(index int, dataCentre chestnutroad.DataCentreID, slots int) *chestnutroad.TargetEntry {
	return &chestnutroad.TargetEntry{
		ID: chestnutroad.TargetID(fmt.Sprintf("i-%03d", index)), Service: "s", DataCentre: dataCentre, Slots: slots,
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+index)),
	}
}

func newPool(count, slots int) *placement.Pool {
	pl := placement.NewPool("a")
	for index := range count {
		pl.Set(entry(index, "a", slots))
	}
	return pl
}

func newRequest(part string, request int) *placement.Request {
	return &placement.Request{
		Service: "s", Affinity: part, ID: chestnutroad.RequestID(fmt.Sprintf("r-%d", request)),
	}
}

// TestSamePartSameTarget guards against a shared prompt part that is prefilled at more targets than the load requires:
// requests with one part go to one target, and removing a target moves only its own parts.
func TestSamePartSameTarget(t *testing.T) {
	t.Parallel()
	full, reduced := newPool(9, 64), newPool(9, 64)
	reduced.Remove("i-008")
	moved := 0
	for index := range 50 {
		part := fmt.Sprintf("part-%d", index)
		first, _ := full.Choose(start, newRequest(part, index))
		again, _ := full.Choose(start, newRequest(part, index+1000))
		if first.Entry.ID != again.Entry.ID {
			t.Errorf("%s goes to %s and %s", part, first.Entry.ID, again.Entry.ID)
		}
		other, _ := reduced.Choose(start, newRequest(part, index))
		if other.Entry.ID != first.Entry.ID {
			moved++
			if first.Entry.ID != "i-008" {
				t.Errorf("%s moved although its target was not removed", part)
			}
		}
	}
	if moved == 0 {
		t.Error("no part moved from the removed target")
	}
}

// TestUnusableTargetIsNotChosen guards against requests to a target that leaves, was removed, is excluded, lacks the model,
// belongs to another service or is unreachable. A target that fails or is full is still used when it is the only one.
func TestUnusableTargetIsNotChosen(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		change func(pl *placement.Pool, req *placement.Request)
		found  bool
	}{
		{"usable", func(*placement.Pool, *placement.Request) {}, true},
		{"leaving", func(pl *placement.Pool, _ *placement.Request) {
			en := entry(0, "a", 8)
			en.Leaving = true
			pl.Set(en)
		}, false},
		{"removed", func(pl *placement.Pool, _ *placement.Request) { pl.Remove("i-000") }, false},
		{"excluded", func(_ *placement.Pool, req *placement.Request) {
			req.Excluded = []chestnutroad.TargetID{"i-000"}
		}, false},
		{"another model", func(pl *placement.Pool, req *placement.Request) {
			en := entry(0, "a", 8)
			en.Models = []string{"m"}
			pl.Set(en)
			req.Model = "n"
		}, false},
		{"another service", func(_ *placement.Pool, req *placement.Request) { req.Service = "other" }, false},
		{"failing, but the only one", func(pl *placement.Pool, _ *placement.Request) {
			for range 10 {
				pl.Observe(start, "i-000", placement.Failed)
			}
		}, true},
		{"full, but the only one", func(pl *placement.Pool, _ *placement.Request) {
			pl.Observe(start, "i-000", placement.Shed)
		}, true},
		{"unreachable", func(pl *placement.Pool, _ *placement.Request) {
			pl.Observe(start, "i-000", placement.Unreachable)
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl, req := newPool(1, 8), newRequest("part", 1)
			tc.change(pl, req)
			if _, found := pl.Choose(start, req); found != tc.found {
				t.Errorf("found is %t, want %t", found, tc.found)
			}
		})
	}
}

// TestFailingTargetIsEjected guards against a target that passes health checks, fails part of its requests and keeps getting
// them, and against one that stays ejected after its failures have decayed.
func TestFailingTargetIsEjected(t *testing.T) {
	t.Parallel()
	pl := newPool(3, 64)
	preferred, _ := pl.Choose(start, newRequest("part", 1))
	for index := range 8 {
		outcome := placement.Served
		if index%2 == 0 {
			outcome = placement.Failed
		}
		pl.Observe(start, preferred.Entry.ID, outcome)
	}
	if choice, _ := pl.Choose(start, newRequest("part", 2)); choice.Entry.ID == preferred.Entry.ID {
		t.Error("the failing target is still used")
	}
	later := start.Add(10 * time.Second)
	if choice, _ := pl.Choose(later, newRequest("part", 3)); choice.Entry.ID != preferred.Entry.ID {
		t.Error("the target is not used again after its failures decayed")
	}
}

// TestUnreachablePool covers a data centre that is cut off from all targets of a service: one request at a time probes a
// target, the others are refused at once, and the first answer makes the pool usable again.
func TestUnreachablePool(t *testing.T) {
	t.Parallel()
	pl := newPool(2, 8)
	plain := &placement.Request{Service: "s"}
	for _, id := range []chestnutroad.TargetID{"i-000", "i-001"} {
		pl.Observe(start, id, placement.Unreachable)
	}
	probes := 0
	for tick := range 300 {
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		if choice, found := pl.Choose(now, plain); found {
			probes++
			pl.Observe(now, choice.Entry.ID, placement.Unreachable)
		}
	}
	// Backoffs of 0.5 s and then 1 s allow at most four probes of each target in 3 s.
	if probes == 0 || probes > 8 {
		t.Errorf("%d of 300 requests in 3 s were sent to an unreachable target", probes)
	}
	later := start.Add(10 * time.Second)
	choice, found := pl.Choose(later, plain)
	if !found {
		t.Fatal("no request probes after the backoff")
	}
	if again, other := pl.Choose(later, plain); other && again.Entry.ID == choice.Entry.ID {
		t.Error("two requests probe the same target at once")
	}
	pl.Observe(later, choice.Entry.ID, placement.Served)
	if _, found := pl.Choose(later, plain); !found {
		t.Error("no target is chosen after one has answered")
	}
}

// TestPlainRequestsStayNear guards against plain requests that go to another data centre while the near target has free
// slots, and against ones that wait at a full near target while others are idle.
func TestPlainRequestsStayNear(t *testing.T) {
	t.Parallel()
	pl := placement.NewPool("b")
	for index, dataCentre := range []chestnutroad.DataCentreID{"a", "b", "c"} {
		pl.Set(entry(index, dataCentre, 6))
	}
	for index := range 20 {
		choice, _ := pl.Choose(start, &placement.Request{Service: "s", ID: chestnutroad.RequestID(fmt.Sprint(index))})
		if choice.Entry.DataCentre != "b" {
			t.Fatalf("a request left its data centre for %s", choice.Entry.DataCentre)
		}
	}
	for range 6 {
		pl.Start("i-001")
	}
	if choice, _ := pl.Choose(start, &placement.Request{Service: "s"}); choice.Entry.DataCentre == "b" {
		t.Error("a request goes to a full target while others are idle")
	}
}

// hotPartSimulation simulates many hosts with delayed counts and a hot part that a large share of the requests has.
type hotPartSimulation struct {
	hosts   int
	targets int
	// perTick is the number of requests that arrive in a tick of 50 ms, stay the number of ticks that each runs.
	perTick, stay int
	// lag is the number of ticks by which the hosts' counts are delayed.
	lag int
	// share is the share of requests with the hot part.
	share float64
}

// ticks is the length of a simulation; its first 100 ticks are not measured.
const ticks = 300

// run returns the share of requests that went to a target with a load above twice the mean + 3, and the share of the hot
// part's requests that its two most used targets got.
func (hs *hotPartSimulation) run(seed uint64) (over, concentrated float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	pools := make([]*placement.Pool, hs.hosts)
	for index := range pools {
		pools[index] = newPool(hs.targets, 64)
	}
	type running struct {
		pool *placement.Pool
		id   chestnutroad.TargetID
	}
	ends := map[int][]running{}
	load := map[chestnutroad.TargetID]int{}
	history := make([]map[chestnutroad.TargetID]int, 0, ticks)
	hot := map[chestnutroad.TargetID]int{}
	total, above, hotTotal := 0, 0, 0
	for tick := range ticks {
		for _, rn := range ends[tick] {
			rn.pool.Finish(rn.id)
			load[rn.id]--
		}
		snapshot := map[chestnutroad.TargetID]int{}
		for id, count := range load {
			snapshot[id] = count
		}
		history = append(history, snapshot)
		if tick >= hs.lag {
			for _, pl := range pools {
				others := map[chestnutroad.TargetID]int{}
				own := pl.OwnCounts()
				for id, count := range history[tick-hs.lag] {
					others[id] = max(0, count-own[id])
				}
				pl.SetPeerCounts(others)
			}
		}
		for range hs.perTick {
			pl := pools[rnd.IntN(len(pools))]
			part := fmt.Sprintf("part-%d", rnd.IntN(200))
			isHot := rnd.Float64() < hs.share
			if isHot {
				part = "hot"
			}
			now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
			choice, _ := pl.Choose(now, newRequest(part, int(rnd.Int64())))
			mean := 0.0
			for _, count := range load {
				mean += float64(count) / float64(hs.targets)
			}
			if tick > 100 {
				total++
				if float64(load[choice.Entry.ID]) > 2*mean+3 {
					above++
				}
				if isHot {
					hot[choice.Entry.ID]++
					hotTotal++
				}
			}
			pl.Start(choice.Entry.ID)
			load[choice.Entry.ID]++
			ends[tick+hs.stay] = append(ends[tick+hs.stay], running{pl, choice.Entry.ID})
		}
	}
	first, second := 0, 0
	for _, count := range hot {
		if count > first {
			first, second = count, first
		} else if count > second {
			second = count
		}
	}
	return float64(above) / float64(total), float64(first+second) / float64(hotTotal)
}

// TestHotPartSpreads guards against a part with a tenth of the traffic that overloads its targets because each host sees
// only a small part of its requests: no more than 3 in 100 requests, the users' limit, may go to a target above twice the
// mean + 3. It also guards against too wide a spread: where two targets can take the part's requests, most stay at two.
func TestHotPartSpreads(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		sim          hotPartSimulation
		concentrated float64
	}{
		{"few targets", hotPartSimulation{hosts: 21, targets: 9, perTick: 4, stay: 24, lag: 5, share: 0.1}, 0.6},
		{"many targets", hotPartSimulation{hosts: 94, targets: 140, perTick: 36, stay: 24, lag: 5, share: 0.1}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				over, concentrated := tc.sim.run(seed)
				if over > 0.03 {
					t.Errorf("seed %d: %.3f of the requests went to a target over the bound", seed, over)
				}
				if concentrated < tc.concentrated {
					t.Errorf("seed %d: the two most used targets got %.2f of the hot part's requests", seed, concentrated)
				}
			}
		})
	}
}
