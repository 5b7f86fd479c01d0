package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// queueHarness drives an owner with few slots, so that its queue fills, and counts starts and refusals by team.
type queueHarness struct {
	*pool.Owner
	now     time.Time
	number  int
	running []chestnutroad.RequestID
	teams   map[chestnutroad.RequestID]chestnutroad.TeamID
	started map[chestnutroad.TeamID]int
	refused map[chestnutroad.TeamID][]*chestnutroad.Refusal
}

func newQueueHarness(slots int, opts ...pool.Option) *queueHarness {
	qh := &queueHarness{
		Owner: pool.New(testShard, append([]pool.Option{pool.Slots(slots), pool.ReservedShare(0)}, opts...)...), now: testStart,
		teams:   map[chestnutroad.RequestID]chestnutroad.TeamID{},
		started: map[chestnutroad.TeamID]int{}, refused: map[chestnutroad.TeamID][]*chestnutroad.Refusal{},
	}
	qh.SetTargets(qh.now, []pool.Target{{ID: "engine-0"}, {ID: "engine-1"}})
	return qh
}

func (qh *queueHarness) apply(actions []pool.Action) {
	for _, ac := range actions {
		team := qh.teams[ac.Request]
		if ac.Type == pool.ActionRefuse {
			qh.refused[team] = append(qh.refused[team], ac.Refusal)
			continue
		}
		qh.started[team]++
		qh.running = append(qh.running, ac.Request)
	}
}

func (qh *queueHarness) submit(
	team chestnutroad.TeamID, priority chestnutroad.Priority, output chestnutroad.Tokens, timeout time.Duration,
) {
	qh.number++
	req := chestnutroad.Request{
		ID: chestnutroad.RequestID(fmt.Sprint(qh.number)), Team: team, Priority: priority, MaxOutput: output,
		Repeat: chestnutroad.RepeatAllowed, Deadline: qh.now.Add(timeout),
	}
	qh.teams[req.ID] = team
	qh.apply(qh.Submit(qh.now, req))
}

// finishFirst advances the time and finishes the request that started first.
func (qh *queueHarness) finishFirst(step time.Duration) {
	qh.now = qh.now.Add(step)
	first := qh.running[0]
	qh.running = qh.running[1:]
	qh.apply(qh.Finish(qh.now, first))
}

// Guards against a surging team that takes other teams' shares of the queue or of the starts.
func TestSurgeKeepsShares(t *testing.T) {
	cases := []struct {
		name   string
		weight float64 // weight of the surging team
		want   [3]int  // starts of the surging team and of two steady ones
	}{
		{"equal weights", 1, [3]int{100, 100, 100}},
		{"half weight", 0.5, [3]int{60, 120, 120}},
		{"double weight", 2, [3]int{150, 75, 75}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			qh := newQueueHarness(2, pool.QueueLimit(30), pool.TeamWeight("surge", tc.weight))
			for range 4 {
				qh.submit("filler", chestnutroad.PriorityChat, 100, time.Hour)
			}
			// Each round the surging team sends ten requests and each other team one and a half on average, and one request ends.
			for round := range 304 {
				for range 10 {
					qh.submit("surge", chestnutroad.PriorityChat, 100, time.Hour)
				}
				for range 1 + round%2 {
					qh.submit("north", chestnutroad.PriorityChat, 100, time.Hour)
					qh.submit("south", chestnutroad.PriorityChat, 100, time.Hour)
				}
				qh.finishFirst(10 * time.Millisecond)
			}
			for index, team := range []chestnutroad.TeamID{"surge", "north", "south"} {
				if got := qh.started[team]; got < tc.want[index] || got > tc.want[index]+4 {
					t.Errorf("%s started %d requests, want %d to %d", team, got, tc.want[index], tc.want[index]+4)
				}
			}
		})
	}
}

// Guards against a team below its share that waits or is refused while another surges to ten times its rate.
func TestTeamBelowItsShareIsNotRefused(t *testing.T) {
	qh := newQueueHarness(2, pool.QueueLimit(30))
	sent := 0
	for range 300 {
		for range 10 {
			qh.submit("surge", chestnutroad.PriorityChat, 100, time.Hour)
		}
		if qh.number%3 == 0 {
			qh.submit("north", chestnutroad.PriorityChat, 100, time.Hour)
			sent++
		}
		qh.finishFirst(10 * time.Millisecond)
	}
	if refused := len(qh.refused["north"]); refused > 0 || qh.started["north"] < sent-1 {
		t.Errorf("%d of %d requests of the steady team started, %d were refused", qh.started["north"], sent, refused)
	}
	for _, refusal := range qh.refused["surge"] {
		if !refusal.NotRun || refusal.RetryAfter <= 0 || refusal.Kind == chestnutroad.DeadlineExceeded {
			t.Fatalf("the surging team was refused with %+v", refusal)
		}
	}
}

// Guards against drafts that delay orders, and against drafts that use the slots reserved for orders and lookups.
func TestPrioritiesAndReservedSlots(t *testing.T) {
	qh := newQueueHarness(5, pool.ReservedShare(0.2))
	for range 12 {
		qh.submit("drafts", chestnutroad.PriorityDraft, 10, time.Hour)
	}
	if qh.started["drafts"] != 8 {
		t.Errorf("%d drafts run on 10 slots with a fifth reserved", qh.started["drafts"])
	}
	for range 4 {
		qh.submit("orders", chestnutroad.PriorityOrder, 10, time.Hour)
	}
	if qh.started["orders"] != 2 {
		t.Errorf("%d orders run on the reserved slots", qh.started["orders"])
	}
	qh.finishFirst(time.Second)
	qh.finishFirst(time.Second)
	if qh.started["orders"] != 4 || qh.started["drafts"] != 8 {
		t.Errorf("started %v: drafts started before orders", qh.started)
	}
}

// Guards against small drafts that start before a large order that the bound blocks.
func TestBlockedOrderBlocksDrafts(t *testing.T) {
	hn := newChatHarness(1)
	hn.PeerSummary(hn.now, pool.Summary{Shard: otherShard, Targets: 1, Work: 600, Taken: hn.now, Queued: 1})
	requests := []chestnutroad.Request{
		{ID: "held", Priority: chestnutroad.PriorityOrder, MaxOutput: 700},
		{ID: "order", Priority: chestnutroad.PriorityOrder, MaxOutput: 900},
		{ID: "draft", Priority: chestnutroad.PriorityDraft, MaxOutput: 10},
	}
	for index, req := range requests {
		if started := len(hn.Submit(hn.now, req)) > 0; started != (index == 0) {
			t.Errorf("%s started: %v", req.ID, started)
		}
	}
}

// Guards against a request that waits although it can't start before its deadline, and against a late or wrong refusal.
func TestDeadlines(t *testing.T) {
	qh := newQueueHarness(1)
	qh.submit("team", chestnutroad.PriorityChat, 100, time.Hour)
	qh.submit("team", chestnutroad.PriorityChat, 100, time.Hour)
	qh.finishFirst(time.Second)
	qh.submit("team", chestnutroad.PriorityChat, 100, time.Hour)
	// Two targets with one slot each take a second for a request: two requests per second.
	qh.submit("team", chestnutroad.PriorityChat, 100, 700*time.Millisecond)
	qh.submit("team", chestnutroad.PriorityChat, 100, 700*time.Millisecond)
	if refused := qh.refused["team"]; len(refused) != 1 || refused[0].Kind != chestnutroad.Overloaded || !refused[0].NotRun {
		t.Fatalf("refused %v, want the second waiting request at once", refused)
	}
	if wait := qh.refused["team"][0].RetryAfter; wait < 900*time.Millisecond || wait > 1100*time.Millisecond {
		t.Errorf("retry after %s, want about 1 s", wait)
	}
	wake, waiting := qh.NextWake()
	if !waiting || !wake.Equal(qh.now.Add(700*time.Millisecond)) {
		t.Fatalf("next wake at %s, %v", wake, waiting)
	}
	qh.apply(qh.Tick(wake))
	refused := qh.refused["team"]
	qh.submit("slow", chestnutroad.PriorityChat, 100, time.Hour)
	qh.submit("slow", chestnutroad.PriorityChat, 100, 1500*time.Millisecond)
	qh.now = qh.now.Add(600 * time.Millisecond)
	qh.apply(qh.Tick(qh.now))
	if late := qh.refused["slow"]; len(late) != 1 || late[0].Kind != chestnutroad.Overloaded {
		t.Errorf("refused %v, want the request that can no longer start in time", late)
	}
	if len(refused) != 2 || refused[1].Kind != chestnutroad.DeadlineExceeded || !refused[1].NotRun {
		t.Errorf("refused %v, want a second refusal for the deadline, as not run", refused)
	}
}
