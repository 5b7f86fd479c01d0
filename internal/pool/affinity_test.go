package pool_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// Guards against a returning chat that loses its context because it does not wait for its busy target, and against one
// that waits for ever. Without an affinity wait the chat starts on another target at once.
func TestReturningChatWaitsForItsTarget(t *testing.T) {
	const wait = 500 * time.Millisecond
	cases := []struct {
		name string
		wait time.Duration
		// freed is true when the chat's target becomes free before the wait ends.
		freed bool
		stays bool
	}{
		{"the target is freed in time", wait, true, true},
		{"the target stays busy", wait, false, false},
		{"no wait", 0, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			hn := newChatHarness(3, pool.LoadFloor(150), pool.SlowStart(0), pool.Moves(false), pool.AffinityWait(tc.wait))
			initial := hn.runChat(1).Target
			blocker := hn.occupy(initial)
			started := hn.submitChat(1)
			waits := tc.wait > 0
			if waits != (started.Request == "") {
				t.Fatalf("got %+v at once, want a wait: %v", started, waits)
			}
			hn.now = hn.now.Add(wait / 2)
			if tc.freed && waits {
				started = startOf(hn.Finish(hn.now, blocker))
			}
			hn.now = hn.now.Add(wait)
			if late := startOf(hn.Tick(hn.now)); late.Request != "" {
				started = late
			}
			if started.Request == "" || (started.Target == initial) != tc.stays {
				t.Errorf("the chat started as %+v, want a start on its earlier target %s: %v", started, initial, tc.stays)
			}
		})
	}
}

// occupy starts another chat on the target and returns its request.
func (hn *chatHarness) occupy(id chestnutroad.TargetID) chestnutroad.RequestID {
	for chat := chestnutroad.ChatID(100); ; chat++ {
		started := hn.submitChat(chat)
		if started.Target == id {
			return started.Request
		}
		hn.Finish(hn.now, started.Request)
	}
}

func startOf(actions []pool.Action) pool.Action {
	for _, action := range actions {
		if action.Type == pool.ActionStart {
			return action
		}
	}
	return pool.Action{}
}

// Guards against admissions up to the bound itself, which departures elsewhere and the age of the known mean would then
// break. A headroom of 1 must admit more requests than one of 0.5.
func TestAdmissionsLeaveHeadroom(t *testing.T) {
	started := func(headroom float64) int {
		hn := newChatHarness(2, pool.LoadFloor(600), pool.SlowStart(0), pool.Moves(false), pool.Headroom(headroom))
		hn.SetLeaving(hn.now, "engine-1")
		hn.PeerSummary(hn.now, pool.Summary{
			Shard:   chestnutroad.ShardID{Pool: testShard.Pool, DataCentre: "elsewhere"},
			Targets: 9, Work: 9 * 2000, Taken: hn.now,
		})
		count := 0
		for chat := chestnutroad.ChatID(1); hn.submitChat(chat).Type == pool.ActionStart && count < 100; chat++ {
			if hn.load("engine-0") > 0 {
				count++
			}
		}
		return count
	}
	if full, part := started(1), started(0.5); part >= full {
		t.Errorf("%d requests were admitted with a headroom of 0.5, %d with 1", part, full)
	}
}

// BenchmarkManyWaitingChats measures one event while a full queue of returning chats waits for one busy target.
func BenchmarkManyWaitingChats(b *testing.B) {
	const waiting = 1000
	hn := newChatHarness(2, pool.LoadFloor(150), pool.SlowStart(0), pool.Moves(false), pool.AffinityWait(time.Hour))
	var chats []chestnutroad.ChatID
	busy := chestnutroad.TargetID("engine-0")
	for chat := chestnutroad.ChatID(1); len(chats) < waiting; chat++ {
		if hn.runChat(chat).Target == busy {
			chats = append(chats, chat)
		}
	}
	hn.occupy(busy)
	for _, chat := range chats {
		hn.submitChat(chat)
	}
	b.ResetTimer()
	for range b.N {
		hn.now = hn.now.Add(time.Microsecond)
		hn.Tick(hn.now)
	}
}
