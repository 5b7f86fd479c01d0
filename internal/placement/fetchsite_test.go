package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// fetchSimulation simulates chats that return at any of many hosts while targets drain and join. Hosts learn counts lag ticks late
// and tell each other nothing of holders.
type fetchSimulation struct {
	hosts, targets, chats, perTick, stay, lag int
	// drains is the number of targets that drain, one after the other, each replaced by one that joins.
	drains int
	off    bool
}

// fetchTotals are tokens that were cached at some target but not at the chosen one, by what happened to them, and the requests.
type fetchTotals struct {
	prefilled, fetched chestnutroad.Tokens
	named, wrong       int
	above, requests    int
}

const fetchTick = 50 * time.Millisecond

// run plays 30 s.
func (fs *fetchSimulation) run(seed uint64) fetchTotals {
	rnd := rand.New(rand.NewPCG(seed, 1))
	pools := make([]*placement.Pool, fs.hosts)
	for index := range pools {
		pools[index] = newPool(fs.targets, 12)
		if fs.off {
			pools[index].Configure(placement.WithoutMechanisms(mechanism.Set{mechanism.KVFetch: true}))
		}
	}
	type running struct {
		pool *placement.Pool
		id   chestnutroad.TargetID
	}
	ends := map[int][]running{}
	load := map[chestnutroad.TargetID]int{}
	cached := map[string]map[chestnutroad.TargetID]bool{}
	totals, drained := fetchTotals{}, 0
	const ticks = 600
	history := make([]map[chestnutroad.TargetID]int, 0, ticks)
	for tick := range ticks {
		now := start.Add(time.Duration(tick) * fetchTick)
		for _, rn := range ends[tick] {
			rn.pool.Finish(rn.id)
			load[rn.id]--
		}
		if drained < fs.drains && tick == (drained+1)*ticks/(fs.drains+2) {
			leaving := entry(drained, "a", 12)
			leaving.Leaving = true
			for _, pl := range pools {
				pl.Set(leaving)
				join(pl, now, entry(fs.targets+drained, "a", 12))
			}
			drained++
		}
		snapshot := map[chestnutroad.TargetID]int{}
		for id, count := range load {
			snapshot[id] = count
		}
		history = append(history, snapshot)
		if tick >= fs.lag {
			for _, pl := range pools {
				others, own := map[chestnutroad.TargetID]int{}, pl.OwnCounts()
				for id, count := range history[tick-fs.lag] {
					others[id] = max(0, count-own[id])
				}
				pl.SetPeerCounts(others)
			}
		}
		for range fs.perTick {
			pl := pools[rnd.IntN(len(pools))]
			// A quarter of the requests is of a few popular chats.
			chat := rnd.IntN(fs.chats)
			if rnd.IntN(4) == 0 {
				chat = rnd.IntN(3)
			}
			req := newRequest(fmt.Sprint("chat-", chat), int(rnd.Int64()))
			req.SharedParts = []chestnutroad.PromptPart{
				{ID: fmt.Sprint("system-", chat%24), Tokens: 2000}, {ID: req.Affinity, Tokens: 4000},
			}
			req.Fetch = fetchProfile
			choice, found := pl.Choose(now, req)
			if !found {
				continue
			}
			pl.StartParts(now, req, &choice)
			totals.count(cached, load, fs.targets, req, &choice)
			pl.Start(choice.Entry.ID)
			pl.ConfirmParts(now, req, &choice.Entry)
			load[choice.Entry.ID]++
			ends[tick+fs.stay] = append(ends[tick+fs.stay], running{pl, choice.Entry.ID})
		}
	}
	return totals
}

// count adds a request and updates which targets have its parts.
func (ft *fetchTotals) count(
	cached map[string]map[chestnutroad.TargetID]bool, load map[chestnutroad.TargetID]int, targets int,
	req *placement.Request, choice *placement.Choice,
) {
	ft.requests++
	sum := 0
	for _, count := range load {
		sum += count
	}
	if float64(load[choice.Entry.ID]) > 2*float64(sum)/float64(targets)+3 {
		ft.above++
	}
	useful := false
	for _, part := range req.SharedParts {
		at := cached[part.ID]
		if at == nil {
			at = map[chestnutroad.TargetID]bool{}
			cached[part.ID] = at
		}
		if len(at) > 0 && !at[choice.Entry.ID] {
			if at[choice.Fetch.Target] {
				ft.fetched += part.Tokens
				useful = true
			} else {
				ft.prefilled += part.Tokens
			}
		}
		at[choice.Entry.ID] = true
	}
	if choice.Fetch.Target != "" && choice.Fetch.Reason != placement.FetchHome {
		ft.named++
		if !useful {
			ft.wrong++
		}
	}
}

// TestFetchesReplacePrefills guards against parts that are prefilled again although another target has them, where hosts know of it
// only from their own requests, and against more requests over the load bound than without fetches.
func TestFetchesReplacePrefills(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		sim  fetchSimulation
	}{
		{"35 hosts, 140 targets", fetchSimulation{hosts: 35, targets: 140, chats: 2000, perTick: 32, stay: 24, lag: 6, drains: 20}},
		{"12 hosts, 9 targets", fetchSimulation{hosts: 12, targets: 9, chats: 150, perTick: 2, stay: 24, lag: 6, drains: 4}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			without := tc.sim
			without.off = true
			on, off := tc.sim.run(1), without.run(1)
			t.Logf("%d requests, tokens prefilled again %d with fetches, %d without; %d fetched; %d of %d sources without use; over the bound %.4f, %.4f",
				on.requests, on.prefilled, off.prefilled, on.fetched, on.wrong, on.named,
				float64(on.above)/float64(on.requests), float64(off.above)/float64(off.requests))
			if on.above > off.above || on.above*100 > on.requests*3 {
				t.Errorf("%d requests went over the load bound, %d without fetches", on.above, off.above)
			}
			if on.prefilled > off.prefilled/2 {
				t.Errorf("%d tokens were prefilled again, %d without fetches", on.prefilled, off.prefilled)
			}
		})
	}
}
