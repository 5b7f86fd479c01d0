package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// shop is an owner with few slots, so that its queue fills.
type shop struct {
	*pool.Owner
	now     time.Time
	number  int
	running []chestnutroad.RequestID
	teams   map[chestnutroad.RequestID]chestnutroad.TeamID
	started map[chestnutroad.TeamID]int
	refused map[chestnutroad.TeamID][]*chestnutroad.Refusal
}

func newShop(slots int, opts ...pool.Option) *shop {
	sp := &shop{
		Owner: pool.New(testShard, append([]pool.Option{pool.Slots(slots), pool.ReservedShare(0)}, opts...)...), now: testStart,
		teams:   map[chestnutroad.RequestID]chestnutroad.TeamID{},
		started: map[chestnutroad.TeamID]int{}, refused: map[chestnutroad.TeamID][]*chestnutroad.Refusal{},
	}
	sp.SetTargets(sp.now, []pool.Target{{ID: "engine-0"}, {ID: "engine-1"}})
	return sp
}

func (sp *shop) apply(actions []pool.Action) {
	for _, ac := range actions {
		team := sp.teams[ac.Request]
		if ac.Type == pool.ActionRefuse {
			sp.refused[team] = append(sp.refused[team], ac.Refusal)
			continue
		}
		sp.started[team]++
		sp.running = append(sp.running, ac.Request)
	}
}

func (sp *shop) submit(team chestnutroad.TeamID, priority chestnutroad.Priority, output chestnutroad.Tokens, timeout time.Duration) {
	sp.number++
	req := chestnutroad.Request{
		ID: chestnutroad.RequestID(fmt.Sprint(sp.number)), Team: team, Priority: priority, MaxOutput: output,
		Repeat: chestnutroad.RepeatAllowed, Deadline: sp.now.Add(timeout),
	}
	sp.teams[req.ID] = team
	sp.apply(sp.Submit(sp.now, req))
}

func (sp *shop) finishFirst(step time.Duration) {
	sp.now = sp.now.Add(step)
	first := sp.running[0]
	sp.running = sp.running[1:]
	sp.apply(sp.Finish(sp.now, first))
}

// Guards against a surging team that takes others' shares, in the queue's places or in the order of dispatch.
func TestSurgeKeepsShares(t *testing.T) {
	cases := []struct {
		name   string
		weight float64 // of the surging team
		want   [3]int  // starts of the surging team and of two steady ones
	}{
		{"equal weights", 1, [3]int{100, 100, 100}},
		{"half weight", 0.5, [3]int{60, 120, 120}},
		{"double weight", 2, [3]int{150, 75, 75}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			sp := newShop(2, pool.QueueLimit(30), pool.TeamWeight("surge", tc.weight))
			for range 4 {
				sp.submit("filler", chestnutroad.PriorityChat, 100, time.Hour)
			}
			// Each round the surging team sends ten requests and each other team one and a half, with one end.
			for round := range 304 {
				for range 10 {
					sp.submit("surge", chestnutroad.PriorityChat, 100, time.Hour)
				}
				for range 1 + round%2 {
					sp.submit("north", chestnutroad.PriorityChat, 100, time.Hour)
					sp.submit("south", chestnutroad.PriorityChat, 100, time.Hour)
				}
				sp.finishFirst(10 * time.Millisecond)
			}
			for index, team := range []chestnutroad.TeamID{"surge", "north", "south"} {
				if got := sp.started[team]; got < tc.want[index] || got > tc.want[index]+4 {
					t.Errorf("%s started %d requests, want %d to %d", team, got, tc.want[index], tc.want[index]+4)
				}
			}
		})
	}
}

// Guards against a team below its share that waits or is refused because another surges tenfold.
func TestTeamBelowItsShareIsNotRefused(t *testing.T) {
	sp := newShop(2, pool.QueueLimit(30))
	sent := 0
	for range 300 {
		for range 10 {
			sp.submit("surge", chestnutroad.PriorityChat, 100, time.Hour)
		}
		if sp.number%3 == 0 {
			sp.submit("north", chestnutroad.PriorityChat, 100, time.Hour)
			sent++
		}
		sp.finishFirst(10 * time.Millisecond)
	}
	if refused := len(sp.refused["north"]); refused > 0 || sp.started["north"] < sent-1 {
		t.Errorf("%d of %d requests started, %d were refused", sp.started["north"], sent, refused)
	}
	for _, refusal := range sp.refused["surge"] {
		if !refusal.NotRun || refusal.RetryAfter <= 0 || refusal.Kind == chestnutroad.DeadlineExceeded {
			t.Fatalf("the surging team is refused with %+v", refusal)
		}
	}
}

// Guards against drafts that delay orders, and against chats that use the slots reserved for orders and lookups.
func TestPrioritiesAndReservedSlots(t *testing.T) {
	sp := newShop(5, pool.ReservedShare(0.2))
	for range 12 {
		sp.submit("drafts", chestnutroad.PriorityDraft, 10, time.Hour)
	}
	if sp.started["drafts"] != 8 {
		t.Errorf("%d drafts run on 10 slots with a fifth reserved", sp.started["drafts"])
	}
	for range 4 {
		sp.submit("orders", chestnutroad.PriorityOrder, 10, time.Hour)
	}
	if sp.started["orders"] != 2 {
		t.Errorf("%d orders run on the reserved slots", sp.started["orders"])
	}
	sp.finishFirst(time.Second)
	sp.finishFirst(time.Second)
	if sp.started["orders"] != 4 || sp.started["drafts"] != 8 {
		t.Errorf("started %v: drafts went before orders", sp.started)
	}
}

// Guards against small drafts that pass a large order which the bound holds back.
func TestBlockedOrderHoldsBackDrafts(t *testing.T) {
	dk := newDesk(1)
	dk.PeerSummary(dk.now, pool.Summary{Shard: otherSide, Targets: 1, Work: 600, Taken: dk.now, Queued: 1})
	requests := []chestnutroad.Request{
		{ID: "held", Priority: chestnutroad.PriorityOrder, MaxOutput: 700},
		{ID: "order", Priority: chestnutroad.PriorityOrder, MaxOutput: 900},
		{ID: "draft", Priority: chestnutroad.PriorityDraft, MaxOutput: 10},
	}
	for index, req := range requests {
		if started := len(dk.Submit(dk.now, req)) > 0; started != (index == 0) {
			t.Errorf("%s started: %v", req.ID, started)
		}
	}
}

// Guards against a request that waits although its deadline can't be met, and against a late or wrong answer to it.
func TestDeadlines(t *testing.T) {
	sp := newShop(1)
	sp.submit("team", chestnutroad.PriorityChat, 100, time.Hour)
	sp.submit("team", chestnutroad.PriorityChat, 100, time.Hour)
	sp.finishFirst(time.Second)
	sp.submit("team", chestnutroad.PriorityChat, 100, time.Hour)
	// Two targets with one slot each take a second for a request: two requests a second.
	sp.submit("team", chestnutroad.PriorityChat, 100, 700*time.Millisecond)
	sp.submit("team", chestnutroad.PriorityChat, 100, 700*time.Millisecond)
	if refused := sp.refused["team"]; len(refused) != 1 || refused[0].Kind != chestnutroad.Overloaded || !refused[0].NotRun {
		t.Fatalf("refused %v, want the second waiting request at once", refused)
	}
	if wait := sp.refused["team"][0].RetryAfter; wait < 900*time.Millisecond || wait > 1100*time.Millisecond {
		t.Errorf("retry after %s, want the estimated second", wait)
	}
	wake, waiting := sp.NextWake()
	if !waiting || !wake.Equal(sp.now.Add(700*time.Millisecond)) {
		t.Fatalf("next wake at %s, %v", wake, waiting)
	}
	sp.apply(sp.Tick(wake))
	refused := sp.refused["team"]
	sp.submit("slow", chestnutroad.PriorityChat, 100, time.Hour)
	sp.submit("slow", chestnutroad.PriorityChat, 100, 1500*time.Millisecond)
	sp.now = sp.now.Add(600 * time.Millisecond)
	sp.apply(sp.Tick(sp.now))
	if late := sp.refused["slow"]; len(late) != 1 || late[0].Kind != chestnutroad.Overloaded {
		t.Errorf("refused %v, want the request that can no longer start in time", late)
	}
	if len(refused) != 2 || refused[1].Kind != chestnutroad.DeadlineExceeded || !refused[1].NotRun {
		t.Errorf("refused %v, want the deadline as not run", refused)
	}
}
