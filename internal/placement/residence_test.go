package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// afterGracePeriod is longer than a target that joined is kept from prompt parts.
const afterGracePeriod = 2 * time.Second

// join registers a target and says so.
func join(pl *placement.Pool, now time.Time, en *chestnutroad.TargetEntry) {
	if pl.Set(en) {
		pl.MarkJoined(now, en.ID)
	}
}

// chosenTarget returns the target at which a request with the part ends up.
func chosenTarget(t *testing.T, pl *placement.Pool, now time.Time, part string) chestnutroad.TargetID {
	t.Helper()
	choice, found := pl.Choose(now, newRequest(part, 1))
	if !found {
		t.Fatalf("no target for %s", part)
	}
	return choice.Entry.ID
}

// TestPartsStay guards against parts in use that are read again at a target that joined, and against a target that joined
// and gets no parts at all.
func TestPartsStay(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// idle is the time without requests before the target joins.
		idle time.Duration
		stay bool
	}{
		{"in use", 0, true},
		{"idle for longer than the memory", 2 * placement.DefaultPartMemory, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl := newPool(6, 64)
			before := map[string]chestnutroad.TargetID{}
			for index := range 60 {
				part := fmt.Sprintf("part-%d", index)
				before[part] = chosenTarget(t, pl, start, part)
			}
			now := start.Add(tc.idle)
			join(pl, now, entry(9, "a", 64))
			now = now.Add(afterGracePeriod)
			moved := 0
			for part, home := range before {
				if got := chosenTarget(t, pl, now, part); got != home {
					moved++
				}
			}
			if tc.stay && moved > 0 || !tc.stay && moved < 3 {
				t.Errorf("%d of 60 parts moved", moved)
			}
		})
	}
}

// TestPartsOfACrash guards against parts that move twice when a target crashes and comes back with nothing cached.
func TestPartsOfACrash(t *testing.T) {
	t.Parallel()
	pl := newPool(3, 64)
	home := chosenTarget(t, pl, start, "part")
	pl.Observe(start, home, placement.Unreachable)
	refuge := chosenTarget(t, pl, start, "part")
	if refuge == home {
		t.Fatal("the target that can't be reached is used")
	}
	back, _ := pl.Entry(home)
	back.Started++
	join(pl, start.Add(time.Second), &back)
	if got := chosenTarget(t, pl, start.Add(time.Second+afterGracePeriod), "part"); got != refuge {
		t.Errorf("the part moved from %s to %s", refuge, got)
	}
}

// TestPartsMoveToJoinedTargets guards against parts that crowd at a target that is over the bound while one that joined,
// and that the hash prefers, is empty.
func TestPartsMoveToJoinedTargets(t *testing.T) {
	t.Parallel()
	pl := newPool(3, 64)
	// The order of the part among all four targets decides which one joins last.
	all := newPool(4, 64)
	preferred := chosenTarget(t, all, start, "part")
	pl.Remove(preferred)
	join(pl, start.Add(-time.Minute), entry(3, "a", 64))
	en, _ := all.Entry(preferred)
	pl.Remove(preferred)
	home := chosenTarget(t, pl, start, "part")
	join(pl, start, &en)
	now := start.Add(afterGracePeriod)
	if got := chosenTarget(t, pl, now, "part"); got != home {
		t.Fatalf("the part moved from %s to %s at once", home, got)
	}
	pl.SetPeerCounts(map[chestnutroad.TargetID]int{home: 30})
	if got := chosenTarget(t, pl, now, "part"); got != preferred {
		t.Fatalf("the part overflowed to %s, want %s", got, preferred)
	}
	pl.SetPeerCounts(nil)
	if got := chosenTarget(t, pl, now, "part"); got != preferred {
		t.Errorf("the part went back to %s", got)
	}
}

// churnSimulation plays returning chats on several hosts that tell each other of parts with a delay, while targets join.
type churnSimulation struct {
	hosts, targets, joins int
	parts, perSecond      int
	// delay is the time from one host's message to the others; negative when hosts tell each other nothing.
	delay time.Duration
}

// run returns the share of requests whose part was cached at another target only.
func (pw *churnSimulation) run(seed uint64) float64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	pools := make([]*placement.Pool, pw.hosts)
	for index := range pools {
		pools[index] = newPool(pw.targets, 64)
	}
	type news struct {
		at   time.Time
		from int
		told []chestnutroad.Residence
	}
	var mail []news
	cached := map[string]map[chestnutroad.TargetID]bool{}
	again, total := 0, 0
	const length = 30 * time.Second
	step := time.Second / time.Duration(pw.perSecond)
	joined := 0
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if joined < pw.joins && at > time.Duration(joined+1)*length/time.Duration(pw.joins+2) {
			for _, pl := range pools {
				join(pl, now, entry(pw.targets+joined, "a", 64))
			}
			joined++
		}
		for len(mail) > 0 && !now.Before(mail[0].at) {
			for index, pl := range pools {
				if index != mail[0].from {
					pl.MergeResidences(now, mail[0].told)
				}
			}
			mail = mail[1:]
		}
		host := rnd.IntN(pw.hosts)
		part := fmt.Sprintf("part-%d", rnd.IntN(pw.parts))
		choice, _ := pools[host].Choose(now, newRequest(part, int(rnd.Int64())))
		holders := cached[part]
		if holders == nil {
			holders = map[chestnutroad.TargetID]bool{}
			cached[part] = holders
		}
		total++
		if len(holders) > 0 && !holders[choice.Entry.ID] {
			again++
		}
		holders[choice.Entry.ID] = true
		for index, pl := range pools {
			if told := pl.TakeResidences(now); len(told) > 0 && pw.delay >= 0 {
				mail = append(mail, news{now.Add(pw.delay), index, told})
			}
		}
	}
	return float64(again) / float64(total)
}

// TestReturningChatsThroughChurn answers the load of chats that return on any of many hosts while a third of the targets
// joins: with hosts that tell each other, at most a quarter of the parts is read again that hosts without a word read again.
func TestReturningChatsThroughChurn(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		world churnSimulation
	}{
		{"small", churnSimulation{hosts: 13, targets: 9, joins: 3, parts: 100, perSecond: 60, delay: 400 * time.Millisecond}},
		{"grown", churnSimulation{hosts: 60, targets: 60, joins: 20, parts: 800, perSecond: 400, delay: 400 * time.Millisecond}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			silent := tc.world
			silent.delay = -1
			told, alone := tc.world.run(1), silent.run(1)
			if told > alone/4 {
				t.Errorf("%.4f of the requests read their part again, %.4f where hosts tell nothing", told, alone)
			}
		})
	}
}
