package pool_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/pool/baseline"
)

const propertySteps = 150

func drawRequest(rt *rapid.T, sm *simulation, orders bool) chestnutroad.Request {
	number := len(sm.submitted)
	req := chestnutroad.Request{
		ID:   chestnutroad.RequestID(fmt.Sprintf("request-%d", number)),
		Team: chestnutroad.TeamID(rapid.SampledFrom([]string{"north", "south", "east"}).Draw(rt, "team")),
		Chat: chestnutroad.ChatID(rapid.IntRange(1, 40).Draw(rt, "chat")), Priority: chestnutroad.PriorityChat,
		Repeat: chestnutroad.RepeatAllowed, Arrived: sm.now,
		Prompt:    chestnutroad.Tokens(rapid.IntRange(10, 4000).Draw(rt, "prompt")),
		MaxOutput: chestnutroad.Tokens(rapid.SampledFrom([]int{5, 50, 300, 2000}).Draw(rt, "output")),
		Deadline:  sm.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "deadline")) * time.Millisecond),
	}
	if orders && rapid.IntRange(0, 3).Draw(rt, "order") == 0 {
		req.Chat, req.Priority, req.Repeat = 0, chestnutroad.PriorityOrder, chestnutroad.RepeatNever
		req.Prompt, req.MaxOutput = 10, 1
	}
	return req
}

// randomEvent draws one event and applies it to the policy.
func (sm *simulation) randomEvent(rt *rapid.T, orders bool) {
	running := sm.inState("Running")
	tg := rapid.SampledFrom(sm.targets).Draw(rt, "target")
	switch event := rapid.IntRange(0, 31).Draw(rt, "event"); {
	case event < 13:
		sm.submit(drawRequest(rt, sm, orders))
	case event < 21 && len(running) > 0:
		rq := rapid.SampledFrom(running).Draw(rt, "running")
		if event < 19 {
			sm.finish(rq)
			return
		}
		rq.sent = max(rq.sent, chestnutroad.Tokens(rapid.IntRange(0, int(rq.MaxOutput)).Draw(rt, "sent")))
		sm.policy.Progress(sm.now, rq.ID, rq.sent)
	case event == 21 && len(running) > 0:
		kind := rapid.SampledFrom([]pool.FailureKind{pool.FailureNotRun, pool.FailureBroken, pool.FailureBadAnswer}).Draw(rt, "failure")
		sm.fail(rapid.SampledFrom(running).Draw(rt, "running"), kind)
	case event == 22 && len(sm.submitted) > 0:
		sm.cancel(sm.requests[rapid.SampledFrom(sm.submitted).Draw(rt, "cancelled")])
	case event < 26:
		sm.advance(time.Duration(rapid.IntRange(1, 400).Draw(rt, "milliseconds")) * time.Millisecond)
	case event < 28:
		sm.report(rt, tg)
	default:
		sm.changeTarget(rt, tg, event)
	}
}

func (sm *simulation) cancel(rq *simulatedRequest) {
	if rq.state == "Done" {
		return
	}
	rq.state = "Done"
	sm.apply(sm.policy.Cancel(sm.now, rq.ID))
}

// changeTarget makes a target leave by a peer's notice, appear in or disappear from the list, or restart.
func (sm *simulation) changeTarget(rt *rapid.T, tg *simulatedTarget, event int) {
	switch event {
	case 28:
		tg.Leaving = true
		sm.apply(sm.policy.SetLeaving(sm.now, tg.ID))
	case 29:
		tg.listed = !tg.listed
		sm.setTargets()
	case 30:
		sm.restart(tg)
	default:
		if tg.listed && tg.Leaving && rapid.Bool().Draw(rt, "returns") {
			sm.setTargets()
			tg.Leaving = false
			sm.setTargets()
		}
	}
}

// runRandomEvents applies random events and then ends all requests; the simulation's err holds the first broken
// invariant.
func runRandomEvents(rt *rapid.T, policy pool.Policy, floor chestnutroad.WorkUnits, orders, remote bool) *simulation {
	sm := newSimulation(policy, floor, rapid.IntRange(2, 8).Draw(rt, "targets"))
	for range propertySteps {
		if remote && rapid.IntRange(0, 9).Draw(rt, "summary") == 0 {
			sm.summary(rt)
		}
		sm.randomEvent(rt, orders)
		if sm.err != nil {
			return sm
		}
	}
	for _, rq := range sm.inState("Running") {
		if rq.state == "Running" {
			sm.finish(rq)
		}
	}
	sm.advance(time.Minute)
	if left := sm.inState("Queued"); len(left) > 0 {
		sm.failf("%s is still queued after a minute", left[0].ID)
	}
	return sm
}

// summary applies a random summary of another shard.
func (sm *simulation) summary(rt *rapid.T) {
	sm.remote = pool.Summary{
		Shard: otherShard, Taken: sm.now, Targets: rapid.IntRange(1, 5).Draw(rt, "targets"),
		Work: chestnutroad.WorkUnits(rapid.IntRange(0, 5000).Draw(rt, "work")),
	}
	if !sm.remoteReceivedAt.Before(sm.now) {
		sm.now = sm.now.Add(time.Millisecond)
		sm.remote.Taken = sm.now
	}
	sm.remoteReceivedAt = sm.now
	sm.apply(sm.policy.(*pool.Owner).PeerSummary(sm.now, sm.remote))
}

func testOwner(opts ...pool.Option) *pool.Owner {
	opts = append([]pool.Option{pool.QueueLimit(testQueue), pool.Slots(testSlots)}, opts...)
	return pool.New(testShard, opts...)
}

// Guards against a start beyond the load bound, a target that departures leave above it, work for a leaving target, a
// request that is lost or answered twice, an unbounded queue and a request that stays queued past its deadline.
func TestOwnerKeepsInvariants(t *testing.T) {
	cases := []struct {
		name   string
		floor  chestnutroad.WorkUnits
		orders bool
		remote bool
	}{
		{"chats", 0, false, false},
		{"chats with a floor", 700, false, false},
		{"chats and orders", 0, true, false},
		{"two shards", 0, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				sm := runRandomEvents(rt, testOwner(pool.LoadFloor(tc.floor)), tc.floor, tc.orders, tc.remote)
				if sm.err != nil {
					rt.Fatal(sm.err)
				}
			})
		})
	}
}

// Guards against a bound check that never fails: it must detect violations by policies without a load bound or moves.
func TestBoundCheckDetectsViolations(t *testing.T) {
	policies := []struct {
		name string
		make func() pool.Policy
	}{
		{"least loaded on late reports", func() pool.Policy { return lookupPolicy(t, "LeastLoaded") }},
		{"consistent hash", func() pool.Policy { return lookupPolicy(t, "ConsistentHash") }},
		{"single router without moves", func() pool.Policy { return lookupPolicy(t, "SingleRouter") }},
		{"owner without moves", func() pool.Policy { return testOwner(pool.Moves(false)) }},
	}
	for _, tc := range policies {
		t.Run(tc.name, func(t *testing.T) {
			runs := rapid.Custom(func(rt *rapid.T) string {
				sm := runRandomEvents(rt, tc.make(), 0, false, false)
				return fmt.Sprint(sm.err)
			})
			caught := 0
			for seed := range 20 {
				if strings.HasPrefix(runs.Example(seed+1), "bound: ") {
					caught++
				}
			}
			t.Logf("the bound check failed in %d of 20 runs", caught)
			if caught == 0 {
				t.Error("the bound check detected no violation")
			}
		})
	}
}

func lookupPolicy(t *testing.T, name string) pool.Policy {
	t.Helper()
	entry, found := baseline.Lookup(name)
	if !found {
		t.Fatalf("no policy %s", name)
	}
	return entry.New(baseline.Setup{Shard: testShard, Seed: 1})
}
