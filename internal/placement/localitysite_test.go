package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/locality"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// localitySite simulates hosts and targets in several data centres. Hosts learn counts 0.25 s late, in messages every 0.15 s.
type localitySite struct {
	// hosts and targets are the numbers in each data centre, slots those of a target.
	hosts, targets, slots int
	// perTick is the number of requests that arrive in a tick of 50 ms, shares those of them that arrive in each data centre. Each
	// request runs for stay ticks on average.
	perTick int
	shares  []float64
	stay    int
	// prompts is the number of prompt parts that the requests have in common, tokens their size. Requests are plain without any.
	prompts int
	tokens  chestnutroad.Tokens
	// hot is the share of the requests that have the same part.
	hot float64
	// requireSlot refuses requests that no target has a free slot for, as for engines.
	requireSlot bool
	// without disables the mechanism.
	without bool
	// change is called at the tick changeAt for each pool.
	changeAt int
	change   func(now time.Time, pl *placement.Pool)
}

// localityTotals are sums over the measured ticks.
type localityTotals struct {
	// arrived and left are the requests of each data centre, and those of them that left; history has both for each tick and the first
	// data centre.
	arrived, left []int
	history       [][2]int
	reasons       map[locality.Reason]int
	// over is the number of requests that went to a target with a load above twice the mean + 3, full to one without a free slot.
	over, full, total, refused int
	// prefills is the number of times that a part was used at a target for the first time.
	prefills int
}

const (
	siteTick  = 50 * time.Millisecond
	siteLag   = 5
	siteEvery = 3
)

func centreID(centre int) chestnutroad.DataCentreID {
	return chestnutroad.DataCentreID(fmt.Sprint("dc-", centre))
}

// newPools returns the pools of the hosts by data centre.
func (ls *localitySite) newPools() [][]*placement.Pool {
	pools := make([][]*placement.Pool, len(ls.shares))
	for centre := range pools {
		for range ls.hosts {
			pl := placement.NewPool(centreID(centre), placement.WithLocality(true))
			pl.SetCentreHostCount(ls.hosts)
			if ls.without {
				pl.Configure(placement.WithoutMechanisms(mechanism.Set{mechanism.Locality: true}))
			}
			for index := range ls.targets * len(ls.shares) {
				pl.Set(entry(index, centreID(index%len(ls.shares)), ls.slots))
			}
			pools[centre] = append(pools[centre], pl)
		}
	}
	return pools
}

// run plays a number of ticks; those from measureFrom on are measured.
func (ls *localitySite) run(seed uint64, length, measureFrom int) *localityTotals {
	rnd := rand.New(rand.NewPCG(seed, 1))
	pools := ls.newPools()
	totals := &localityTotals{
		arrived: make([]int, len(ls.shares)), left: make([]int, len(ls.shares)), reasons: map[locality.Reason]int{},
	}
	type running struct {
		pool *placement.Pool
		id   chestnutroad.TargetID
	}
	ends, load := map[int][]running{}, map[chestnutroad.TargetID]int{}
	history := make([]map[chestnutroad.TargetID]int, 0, length)
	cached := map[string]bool{}
	for tick := range length {
		now := start.Add(time.Duration(tick) * siteTick)
		for _, rn := range ends[tick] {
			rn.pool.Finish(rn.id)
			load[rn.id]--
		}
		snapshot := map[chestnutroad.TargetID]int{}
		for id, count := range load {
			snapshot[id] = count
		}
		history = append(history, snapshot)
		totals.history = append(totals.history, [2]int{})
		for centre := range pools {
			for index, pl := range pools[centre] {
				if ls.change != nil && tick == ls.changeAt {
					ls.change(now, pl)
				}
				// Messages to the hosts are not simultaneous.
				if tick >= siteLag && (tick+index)%siteEvery == 0 {
					own, others := pl.OwnCounts(), map[chestnutroad.TargetID]int{}
					for id, count := range history[tick-siteLag] {
						others[id] = max(0, count-own[id])
					}
					pl.SetPeerCounts(others)
					pl.ObserveSides(now)
				}
			}
		}
		for range ls.perTick {
			centre := ls.centre(rnd)
			pl := pools[centre][rnd.IntN(ls.hosts)]
			req := ls.request(rnd)
			choice, found := pl.Choose(now, req)
			if !found {
				totals.refused++
				continue
			}
			pl.ObserveDuration("s", time.Duration(ls.stay)*siteTick)
			leaves := choice.Entry.DataCentre != centreID(centre)
			if centre == 0 {
				totals.history[tick][0]++
				if leaves {
					totals.history[tick][1]++
				}
			}
			if key := req.Affinity + "/" + string(choice.Entry.ID); req.Affinity != "" && !cached[key] {
				cached[key] = true
				totals.prefills++
			}
			if tick >= measureFrom {
				totals.count(centre, leaves, &choice, load, ls)
			}
			pl.Start(choice.Entry.ID)
			load[choice.Entry.ID]++
			end := tick + ls.stay/2 + rnd.IntN(ls.stay+1)
			ends[end] = append(ends[end], running{pl, choice.Entry.ID})
		}
	}
	return totals
}

// centre returns the data centre in which a request arrives.
func (ls *localitySite) centre(rnd *rand.Rand) int {
	left := rnd.Float64()
	for centre, share := range ls.shares {
		if left -= share; left < 0 {
			return centre
		}
	}
	return len(ls.shares) - 1
}

// request returns a random request.
func (ls *localitySite) request(rnd *rand.Rand) *placement.Request {
	req := newRequest("", int(rnd.Int64()))
	req.RequireSlot, req.MaxOutputTokens = ls.requireSlot, ls.tokens
	switch {
	case rnd.Float64() < ls.hot:
		req.Affinity = "hot"
	case ls.prompts > 0:
		req.Affinity = fmt.Sprint("prompt-", rnd.IntN(ls.prompts))
	default:
		return req
	}
	req.SharedTokens = ls.tokens
	req.SharedParts = []chestnutroad.PromptPart{{ID: req.Affinity, Tokens: ls.tokens}}
	return req
}

func (lt *localityTotals) count(
	centre int, leaves bool, choice *placement.Choice, load map[chestnutroad.TargetID]int, ls *localitySite,
) {
	lt.total++
	lt.arrived[centre]++
	if leaves {
		lt.left[centre]++
	}
	lt.reasons[choice.Locality.Reason]++
	mean := 0.0
	for _, number := range load {
		mean += float64(number) / float64(ls.targets*len(ls.shares))
	}
	if float64(load[choice.Entry.ID]) > 2*mean+3 {
		lt.over++
	}
	if load[choice.Entry.ID] >= ls.slots {
		lt.full++
	}
}

// share returns the share of the requests of a data centre that left it.
func (lt *localityTotals) share(centre int) float64 {
	return float64(lt.left[centre]) / float64(max(1, lt.arrived[centre]))
}

// shareOver returns the share of all requests that went to a target above twice the mean + 3.
func (lt *localityTotals) shareOver() float64 { return float64(lt.over) / float64(max(1, lt.total)) }
