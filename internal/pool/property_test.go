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

func drawRequest(rt *rapid.T, wd *world, orders bool) chestnutroad.Request {
	number := len(wd.order)
	req := chestnutroad.Request{
		ID:   chestnutroad.RequestID(fmt.Sprintf("request-%d", number)),
		Team: chestnutroad.TeamID(rapid.SampledFrom([]string{"north", "south", "east"}).Draw(rt, "team")),
		Chat: chestnutroad.ChatID(rapid.IntRange(1, 40).Draw(rt, "chat")), Priority: chestnutroad.PriorityChat,
		Repeat: chestnutroad.RepeatAllowed, Arrived: wd.now,
		Prompt:    chestnutroad.Tokens(rapid.IntRange(10, 4000).Draw(rt, "prompt")),
		MaxOutput: chestnutroad.Tokens(rapid.SampledFrom([]int{5, 50, 300, 2000}).Draw(rt, "output")),
		Deadline:  wd.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "deadline")) * time.Millisecond),
	}
	if orders && rapid.IntRange(0, 3).Draw(rt, "order") == 0 {
		req.Chat, req.Priority, req.Repeat = 0, chestnutroad.PriorityOrder, chestnutroad.RepeatNever
		req.Prompt, req.MaxOutput = 10, 1
	}
	return req
}

// step draws one event and lets the policy see it.
func (wd *world) step(rt *rapid.T, orders bool) {
	running := wd.in("Running")
	tg := rapid.SampledFrom(wd.targets).Draw(rt, "target")
	switch event := rapid.IntRange(0, 31).Draw(rt, "event"); {
	case event < 13:
		wd.submit(drawRequest(rt, wd, orders))
	case event < 21 && len(running) > 0:
		rq := rapid.SampledFrom(running).Draw(rt, "running")
		if event < 19 {
			wd.finish(rq)
			return
		}
		rq.sent = max(rq.sent, chestnutroad.Tokens(rapid.IntRange(0, int(rq.MaxOutput)).Draw(rt, "sent")))
		wd.policy.Progress(wd.now, rq.ID, rq.sent)
	case event == 21 && len(running) > 0:
		kind := rapid.SampledFrom([]pool.FailureKind{pool.FailureNotRun, pool.FailureBroken, pool.FailureBadAnswer}).Draw(rt, "failure")
		wd.fail(rapid.SampledFrom(running).Draw(rt, "running"), kind)
	case event == 22 && len(wd.order) > 0:
		wd.cancel(wd.requests[rapid.SampledFrom(wd.order).Draw(rt, "cancelled")])
	case event < 26:
		wd.advance(time.Duration(rapid.IntRange(1, 400).Draw(rt, "milliseconds")) * time.Millisecond)
	case event < 28:
		wd.report(rt, tg)
	default:
		wd.change(rt, tg, event)
	}
}

func (wd *world) cancel(rq *worldRequest) {
	if rq.state == "Done" {
		return
	}
	rq.state = "Done"
	wd.apply(wd.policy.Cancel(wd.now, rq.ID))
}

// change lets a target leave by a peer's word, come or go in the list, or restart.
func (wd *world) change(rt *rapid.T, tg *worldTarget, event int) {
	switch event {
	case 28:
		tg.Leaving = true
		wd.apply(wd.policy.SetLeaving(wd.now, tg.ID))
	case 29:
		tg.listed = !tg.listed
		wd.list()
	case 30:
		wd.restart(tg)
	default:
		if tg.listed && tg.Leaving && rapid.Bool().Draw(rt, "returns") {
			wd.list()
			tg.Leaving = false
			wd.list()
		}
	}
}

// drive runs random events and then lets everything end; it returns the first broken invariant.
func drive(rt *rapid.T, policy pool.Policy, floor chestnutroad.WorkUnits, orders, remote bool) *world {
	wd := newWorld(policy, floor, rapid.IntRange(2, 8).Draw(rt, "targets"))
	for range propertySteps {
		if remote && rapid.IntRange(0, 9).Draw(rt, "summary") == 0 {
			wd.summary(rt)
		}
		wd.step(rt, orders)
		if wd.err != nil {
			return wd
		}
	}
	for _, rq := range wd.in("Running") {
		if rq.state == "Running" {
			wd.finish(rq)
		}
	}
	wd.advance(time.Minute)
	if left := wd.in("Queued"); len(left) > 0 {
		wd.failf("%s is queued for ever", left[0].ID)
	}
	return wd
}

func (wd *world) summary(rt *rapid.T) {
	wd.remote = pool.Summary{
		Shard: otherSide, Taken: wd.now, Targets: rapid.IntRange(1, 5).Draw(rt, "targets"),
		Work: chestnutroad.WorkUnits(rapid.IntRange(0, 5000).Draw(rt, "work")),
	}
	if !wd.heard.Before(wd.now) {
		wd.now = wd.now.Add(time.Millisecond)
		wd.remote.Taken = wd.now
	}
	wd.heard = wd.now
	wd.apply(wd.policy.(*pool.Owner).PeerSummary(wd.now, wd.remote))
}

func testOwner(opts ...pool.Option) *pool.Owner {
	opts = append([]pool.Option{pool.QueueLimit(testQueue), pool.Slots(testSlots)}, opts...)
	return pool.New(testShard, opts...)
}

// Guards against a start beyond the load bound, a target left above it by departures, work for a leaving target, a
// request that is lost or answered twice, an unbounded queue and a request queued past its deadline.
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
				wd := drive(rt, testOwner(pool.LoadFloor(tc.floor)), tc.floor, tc.orders, tc.remote)
				if wd.err != nil {
					rt.Fatal(wd.err)
				}
			})
		})
	}
}

// Guards against a check of the bound that nothing can fail: policies without the mechanism must be caught by it.
func TestBoundCheckBites(t *testing.T) {
	policies := []struct {
		name string
		make func() pool.Policy
	}{
		{"least loaded on late reports", func() pool.Policy { return lookup(t, "LeastLoaded") }},
		{"consistent hash", func() pool.Policy { return lookup(t, "ConsistentHash") }},
		{"single router without moves", func() pool.Policy { return lookup(t, "SingleRouter") }},
		{"owner without moves", func() pool.Policy { return testOwner(pool.Moves(false)) }},
	}
	for _, tc := range policies {
		t.Run(tc.name, func(t *testing.T) {
			runs := rapid.Custom(func(rt *rapid.T) string {
				wd := drive(rt, tc.make(), 0, false, false)
				return fmt.Sprint(wd.err)
			})
			caught := 0
			for seed := range 20 {
				if strings.HasPrefix(runs.Example(seed+1), "bound: ") {
					caught++
				}
			}
			t.Logf("the bound check failed in %d of 20 runs", caught)
			if caught == 0 {
				t.Error("the bound check found nothing")
			}
		})
	}
}

func lookup(t *testing.T, name string) pool.Policy {
	t.Helper()
	entry, found := baseline.Lookup(name)
	if !found {
		t.Fatalf("no policy %s", name)
	}
	return entry.New(baseline.Setup{Shard: testShard, Seed: 1})
}
