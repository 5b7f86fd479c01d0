package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// plainSimulation simulates requests of 15 ms to a plain service with one target in each data centre, from hosts whose peer
// counts are 0.2 to 0.35 s old. Requests arrive in bursts.
type plainSimulation struct {
	// shares are the data centres' shares of the traffic.
	shares []float64
	// perSecond is the number of requests per second, burst how many of them arrive within 20 ms at one data centre.
	perSecond float64
	burst     int
	// hosts is the number of hosts in each data centre.
	hosts int
	slots int
}

const (
	plainSeconds = 30
	// plainWork is the mean duration of a request, plainLag the age of the counts when they are set and plainTick the
	// interval at which they are, all in ms.
	plainWork = 15
	plainLag  = 200
	plainTick = 150
)

// run returns the largest share of requests in any five seconds that went to a target above twice the mean + 3, where at
// least 20 did, and the share of all requests that went to another data centre.
func (ps *plainSimulation) run(seed uint64, opts ...placement.Option) (over, away float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	centres := len(ps.shares)
	pools := make([][]*placement.Pool, centres)
	for centre := range pools {
		for range ps.hosts {
			pl := placement.NewPool(chestnutroad.DataCentreID(fmt.Sprint(centre)), opts...)
			for index := range centres {
				pl.Set(entry(index, chestnutroad.DataCentreID(fmt.Sprint(index)), ps.slots))
			}
			pools[centre] = append(pools[centre], pl)
		}
	}
	type running struct {
		pool *placement.Pool
		id   chestnutroad.TargetID
	}
	const length = plainSeconds * 1000
	ends, loads := map[int][]running{}, make([]map[chestnutroad.TargetID]int, length)
	load := map[chestnutroad.TargetID]int{}
	arrivals, overs, others := make([]int, length), make([]int, length), 0
	due := make([][]int, length+20)
	for tick := range length {
		for _, rn := range ends[tick] {
			rn.pool.Finish(rn.id)
			load[rn.id]--
		}
		loads[tick] = map[chestnutroad.TargetID]int{}
		for id, count := range load {
			loads[tick][id] = count
		}
		for rnd.Float64() < ps.perSecond/1000/float64(ps.burst) {
			centre, left := 0, rnd.Float64()
			for left -= ps.shares[0]; left > 0 && centre < centres-1; left -= ps.shares[centre] {
				centre++
			}
			for range ps.burst {
				at := tick + rnd.IntN(20)
				due[at] = append(due[at], centre)
			}
		}
		if tick >= plainLag && tick%plainTick == 0 {
			for _, group := range pools {
				for _, pl := range group {
					own, counts := pl.OwnCounts(), map[chestnutroad.TargetID]int{}
					for id, count := range loads[tick-plainLag] {
						counts[id] = max(0, count-own[id])
					}
					pl.SetPeerCounts(counts)
					pl.ObserveSides(start.Add(time.Duration(tick) * time.Millisecond))
				}
			}
		}
		for _, centre := range due[tick] {
			pl := pools[centre][rnd.IntN(ps.hosts)]
			now := start.Add(time.Duration(tick) * time.Millisecond)
			choice, _ := pl.Choose(now, &placement.Request{
				Service: "s", ID: chestnutroad.RequestID(fmt.Sprint(rnd.Uint64())),
			})
			mean := 0.0
			for _, count := range load {
				mean += float64(count) / float64(centres)
			}
			arrivals[tick]++
			if float64(load[choice.Entry.ID]) > 2*mean+3 {
				overs[tick]++
			}
			if choice.Entry.DataCentre != chestnutroad.DataCentreID(fmt.Sprint(centre)) {
				others++
			}
			pl.Start(choice.Entry.ID)
			load[choice.Entry.ID]++
			// A request runs for 0.5 to 1.5 times the mean duration.
			end := tick + plainWork/2 + rnd.IntN(plainWork)
			ends[end] = append(ends[end], running{pl, choice.Entry.ID})
		}
	}
	total := 0
	for tick := range length {
		total += arrivals[tick]
	}
	for from := 0; from+5000 <= length; from += 100 {
		count, above := 0, 0
		for tick := from; tick < from+5000; tick++ {
			count += arrivals[tick]
			above += overs[tick]
		}
		if above >= 20 {
			over = max(over, float64(above)/float64(count))
		}
	}
	return over, float64(others) / float64(total)
}

// TestUnevenCallers guards against a plain service's target that goes over the bound because its data centre has most of
// the callers, and against requests that leave their data centre needlessly.
func TestUnevenCallers(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		sim  plainSimulation
		away float64
	}{
		{"even", plainSimulation{[]float64{0.2, 0.2, 0.2, 0.2, 0.2}, 220, 3, 39, 6}, 0.5},
		{"double share at one", plainSimulation{[]float64{0.18, 0.19, 0.36, 0.18, 0.09}, 240, 3, 39, 6}, 0.5},
		{"double share at one, higher rate", plainSimulation{[]float64{0.18, 0.19, 0.36, 0.18, 0.09}, 340, 3, 39, 6}, 1},
		{"most callers at one", plainSimulation{[]float64{0.1, 0.1, 0.6, 0.1, 0.1}, 220, 3, 39, 6}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				over, away := tc.sim.run(seed)
				if over > 0.03 {
					t.Errorf("seed %d: %.3f of the requests of five seconds went to a target over the bound", seed, over)
				}
				if away > tc.away {
					t.Errorf("seed %d: %.2f of the requests left their data centre", seed, away)
				}
			}
		})
	}
}
