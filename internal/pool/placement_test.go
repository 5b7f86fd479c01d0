package pool_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// chatHarness submits requests of chats to an owner, one at a time.
type chatHarness struct {
	*pool.Owner
	now    time.Time
	number int
}

func newChatHarness(targets int, opts ...pool.Option) *chatHarness {
	hn := &chatHarness{Owner: pool.New(testShard, opts...), now: testStart}
	hn.SetTargets(hn.now, targetList(targets))
	return hn
}

func targetList(targets int) []pool.Target {
	listed := make([]pool.Target, targets)
	for index := range listed {
		listed[index].ID = chestnutroad.TargetID(fmt.Sprintf("engine-%d", index))
	}
	return listed
}

// submitChat submits a request of the chat and returns the first action; a started request keeps running.
func (hn *chatHarness) submitChat(chat chestnutroad.ChatID) pool.Action {
	hn.number++
	actions := hn.Submit(hn.now, chestnutroad.Request{
		ID: chestnutroad.RequestID(fmt.Sprint(hn.number)), Chat: chat, Priority: chestnutroad.PriorityChat,
		Repeat: chestnutroad.RepeatAllowed, Prompt: 1000, MaxOutput: 100,
	})
	if len(actions) == 0 {
		return pool.Action{}
	}
	return actions[0]
}

// runChat submits a request of the chat and finishes it.
func (hn *chatHarness) runChat(chat chestnutroad.ChatID) pool.Action {
	ac := hn.submitChat(chat)
	hn.Finish(hn.now, ac.Request)
	return ac
}

// placements runs each chat once and returns the targets.
func (hn *chatHarness) placements(chats int) map[chestnutroad.ChatID]chestnutroad.TargetID {
	places := map[chestnutroad.ChatID]chestnutroad.TargetID{}
	for chat := range chestnutroad.ChatID(chats) {
		places[chat+1] = hn.runChat(chat + 1).Target
	}
	return places
}

// Guards against chats that lose their context when targets join, leave, flap or restart, or when the owner changes.
func TestReturningChatsStay(t *testing.T) {
	const chats = 500
	cases := []struct {
		name   string
		change func(hn *chatHarness)
		lost   chestnutroad.TargetID // the only target whose chats may move
	}{
		{"targets join", func(hn *chatHarness) { hn.SetTargets(hn.now, targetList(12)) }, ""},
		{"a target leaves", func(hn *chatHarness) { hn.SetTargets(hn.now, targetList(9)) }, "engine-9"},
		{"a target flaps", func(hn *chatHarness) {
			hn.SetTargets(hn.now, targetList(9))
			hn.now = hn.now.Add(10 * time.Second)
			hn.SetTargets(hn.now, targetList(10))
		}, ""},
		{"a target restarts empty", func(hn *chatHarness) {
			hn.Report(hn.now, chestnutroad.LoadReport{Target: "engine-9", Incarnation: 7, Taken: hn.now})
			hn.now = hn.now.Add(time.Second)
			hn.Report(hn.now, chestnutroad.LoadReport{Target: "engine-9", Incarnation: 8, Taken: hn.now})
		}, "engine-9"},
		{"the owner is replaced", func(hn *chatHarness) {
			state := hn.Export()
			hn.Owner = pool.New(testShard)
			if err := hn.Import(hn.now, state); err != nil {
				t.Fatal(err)
			}
			hn.SetTargets(hn.now, targetList(12))
		}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			hn := newChatHarness(10)
			before := hn.placements(chats)
			tc.change(hn)
			for chat, place := range before {
				ac := hn.runChat(chat)
				if place == tc.lost && ac.Cached > 0 {
					t.Fatalf("chat %s expects context on %s, which lost it", chat, ac.Target)
				}
				if place != tc.lost && (ac.Target != place || ac.Cached == 0) {
					t.Fatalf("chat %s moved from %s to %s", chat, place, ac.Target)
				}
			}
		})
	}
}

// Guards against a chat that returns to its former target after a move and so loses its context twice.
func TestMovedChatStaysAtItsNewTarget(t *testing.T) {
	hn := newChatHarness(10)
	initial := hn.runChat(1).Target
	hn.SetLeaving(hn.now, initial)
	moved := hn.runChat(1).Target
	listed := targetList(10)
	for _, leaving := range []bool{true, false} {
		for index := range listed {
			listed[index].Leaving = leaving && listed[index].ID == initial
		}
		hn.SetTargets(hn.now, listed)
	}
	if after := hn.runChat(1); moved == initial || after.Target != moved || after.Cached == 0 {
		t.Errorf("the chat moved from %s to %s and then to %s", initial, moved, after.Target)
	}
}

// Guards against the loss of moved chats' placements when an owner crashes. Rendezvous order alone gives another target
// for them.
func TestExceptionsReachTheNextOwner(t *testing.T) {
	hn, next := newChatHarness(10), newChatHarness(10)
	hn.SetLeaving(hn.now, "engine-4")
	hn.SetTargets(hn.now, targetList(10))
	before := hn.placements(300)
	hn.SetLeaving(hn.now, "engine-7")
	moved := 0
	for chat, place := range before {
		if place == "engine-7" {
			before[chat] = hn.runChat(chat).Target
			moved++
		}
	}
	exceptions := hn.PopExceptions(1000)
	if len(exceptions) != moved {
		t.Errorf("%d exceptions for %d moved chats", len(exceptions), moved)
	}
	next.SetLeaving(next.now, "engine-4")
	for _, ex := range exceptions {
		next.ApplyException(next.now, ex)
	}
	for chat, place := range before {
		if got := next.runChat(chat).Target; got != place {
			t.Fatalf("the next owner sends chat %s to %s instead of %s", chat, got, place)
		}
	}
}

// Guards against new chats that fill targets up to the bound, which leaves no room there for returning chats.
func TestNewChatsSpread(t *testing.T) {
	hn := newChatHarness(10)
	for chat := range chestnutroad.ChatID(400) {
		hn.submitChat(chat + 1)
	}
	for _, ts := range hn.Status(hn.now).Targets {
		if ts.Load > 8000+200 {
			t.Errorf("%s has a load of %d units with a mean of 8000 and requests of 200", ts.ID, ts.Load)
		}
	}
}

// Guards against a load floor without effect. With a floor, a chat's second request starts on the chat's busy target, whose
// load stays below the floor. Without a floor, the bound does not admit the request there.
func TestLoadFloorKeepsChats(t *testing.T) {
	for _, floor := range []chestnutroad.WorkUnits{0, 1000} {
		hn := newChatHarness(2, pool.LoadFloor(floor))
		initial := hn.submitChat(1).Target
		if stays := hn.submitChat(1).Target == initial; stays != (floor > 0) {
			t.Errorf("with a floor of %d the chat stays: %v", floor, stays)
		}
	}
}

// Guards against moving a stream other than the youngest, which has the least context to lose.
func TestDeparturesMoveTheYoungest(t *testing.T) {
	hn := newChatHarness(2)
	var newest, other []pool.Action
	for chat := range chestnutroad.ChatID(6) {
		hn.now = hn.now.Add(time.Second)
		if ac := hn.submitChat(chat + 1); ac.Target == "engine-0" {
			newest = append([]pool.Action{ac}, newest...)
		} else {
			other = append(other, ac)
		}
	}
	moves := make([]pool.Action, 0, 1)
	for _, ac := range other {
		moves = append(moves, hn.Finish(hn.now, ac.Request)...)
	}
	if len(moves) != 1 || moves[0].Type != pool.ActionMove || moves[0].Request != newest[0].Request {
		t.Errorf("got %+v, want a move of %s", moves, newest[0].Request)
	}
}

// Guards against a new target with an empty cache that gets its full share of the new chats at once.
func TestSlowStart(t *testing.T) {
	hn := newChatHarness(9)
	hn.SetTargets(hn.now, targetList(10))
	cases := []struct {
		after       time.Duration
		least, most int
	}{{0, 0, 0}, {15 * time.Second, 30, 70}, {30 * time.Second, 75, 125}}
	chat := chestnutroad.ChatID(0)
	for _, tc := range cases {
		hn.now = testStart.Add(tc.after)
		got := 0
		for range 1000 {
			chat++
			if hn.runChat(chat).Target == "engine-9" {
				got++
			}
		}
		if got < tc.least || got > tc.most {
			t.Errorf("%s after joining, the target got %d of 1000 new chats", tc.after, got)
		}
	}
}

// Guards against cache events that are ignored, and against an unnoticed gap in their sequence numbers.
func TestCacheEvents(t *testing.T) {
	hn := newChatHarness(10)
	initial := hn.runChat(1).Target
	event := chestnutroad.CacheEvent{Target: initial, Incarnation: 2, Sequence: 1, Chat: 1, Cached: 400}
	hn.CacheEvent(hn.now, event)
	if ac := hn.submitChat(1); ac.Cached != 400 {
		t.Errorf("%d tokens expected in the cache after an event of 400", ac.Cached)
	}
	event.Sequence, event.Cached = 4, 0
	hn.CacheEvent(hn.now, event)
	if ac := hn.submitChat(1); ac.Cached != 0 || hn.Status(hn.now).Counts.CacheGaps != 1 {
		t.Errorf("%d tokens expected in the cache after the eviction", ac.Cached)
	}
	hn.CacheEvent(hn.now, chestnutroad.CacheEvent{Target: "engine-3", Incarnation: 1, Sequence: 9, Chat: 77, Cached: 500})
	if ac := hn.submitChat(77); ac.Target != "engine-3" || ac.Cached != 500 {
		t.Errorf("the chat of a cache event started on %s with %d tokens", ac.Target, ac.Cached)
	}
}

// Guards against a failed request that runs twice, is lost or gets the wrong refusal.
func TestFailures(t *testing.T) {
	cases := []struct {
		name   string
		repeat chestnutroad.Repeat
		kind   pool.FailureKind
		again  bool
		resume bool
		want   chestnutroad.Kind
		notRun bool
	}{
		{"order not run", chestnutroad.RepeatNever, pool.FailureNotRun, true, false, "", false},
		{"order broken", chestnutroad.RepeatNever, pool.FailureBroken, false, false, chestnutroad.OutcomeUnknown, false},
		{"order for a target that deduplicates", chestnutroad.RepeatTargetDeduplicates, pool.FailureBroken, true, false, "", false},
		{"chat broken", chestnutroad.RepeatAllowed, pool.FailureBroken, true, true, "", false},
		{"chat not run", chestnutroad.RepeatAllowed, pool.FailureNotRun, true, false, "", false},
		{"bad answer", chestnutroad.RepeatAllowed, pool.FailureBadAnswer, false, false, chestnutroad.BadAnswer, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ow := pool.New(testShard)
			ow.SetTargets(testStart, targetList(3))
			first := ow.Submit(testStart, chestnutroad.Request{ID: "one", Chat: 5, Repeat: tc.repeat, MaxOutput: 10})[0]
			next := ow.Fail(testStart, "one", tc.kind)[0]
			if again := next.Type == pool.ActionStart; again != tc.again || next.Target == first.Target || next.Resume != tc.resume {
				t.Fatalf("first on %s, then %+v", first.Target, next)
			}
			if !tc.again && (next.Refusal.Kind != tc.want || next.Refusal.NotRun != tc.notRun) {
				t.Errorf("refused with %+v", next.Refusal)
			}
		})
	}
}

// Guards against requests that wait in a loaded shard while another one has room, and against a chat that alternates
// between shards although its context is in one of them.
func TestRedirect(t *testing.T) {
	hn := newChatHarness(1, pool.Slots(1), pool.ReservedShare(0))
	hn.PeerSummary(hn.now, pool.Summary{Shard: otherShard, Targets: 4, Taken: hn.now, Queued: 1})
	held := hn.submitChat(1)
	if ac := hn.submitChat(4); ac.Type == pool.ActionRedirect {
		t.Error("a request was redirected to a shard with a queue")
	}
	hn.Cancel(hn.now, "2")
	hn.now = hn.now.Add(time.Millisecond)
	hn.PeerSummary(hn.now, pool.Summary{Shard: otherShard, Targets: 4, Taken: hn.now})
	if ac := hn.submitChat(2); ac.Type != pool.ActionRedirect || ac.Shard != otherShard {
		t.Fatalf("a request for a full shard got %+v", ac)
	}
	hn.now = hn.now.Add(time.Millisecond)
	hn.PeerSummary(hn.now, pool.Summary{Shard: otherShard, Targets: 4, Taken: hn.now})
	hn.Submit(hn.now, chestnutroad.Request{ID: "third", Chat: 3}, pool.Redirected(3))
	if waiting := hn.Status(hn.now).Queues; len(waiting) != 1 {
		t.Error("a request was redirected a fourth time")
	}
	hn.Finish(hn.now, held.Request)
	hn.Finish(hn.now, "third")
	hn.now = hn.now.Add(time.Second)
	hn.PeerSummary(hn.now, pool.Summary{Shard: otherShard, Targets: 4, Taken: hn.now})
	if ac := hn.submitChat(2); ac.Type != pool.ActionRedirect {
		t.Errorf("a chat whose context is in the other shard got %+v", ac)
	}
	hn.now = hn.now.Add(2 * time.Second)
	if ac := hn.submitChat(2); ac.Type != pool.ActionStart {
		t.Errorf("without a fresh summary of the other shard the chat got %+v", ac)
	}
}

// Guards against a ranking that moves more chats than a change of the targets requires.
func TestRankTargetsMovesFewChats(t *testing.T) {
	candidates := make([]pool.Candidate, 20)
	for index, tg := range targetList(20) {
		candidates[index] = pool.Candidate{ID: tg.ID, Shard: testShard, Weight: 1}
	}
	candidates[19].Weight = 0.5
	firsts := map[chestnutroad.TargetID]int{}
	for chat := range chestnutroad.ChatID(20_000) {
		ranked := pool.RankTargets(chat, candidates)
		firsts[ranked[0].ID]++
		without := pool.RankTargets(chat, candidates[1:])
		if ranked[0].ID != "engine-0" && without[0].ID != ranked[0].ID {
			t.Fatalf("chat %s moved from %s to %s, although its target stayed", chat, ranked[0].ID, without[0].ID)
		}
	}
	for id, count := range firsts {
		want := map[bool]int{false: 1026, true: 513}[id == "engine-19"]
		if count < want*85/100 || count > want*115/100 {
			t.Errorf("%s is first for %d chats, want about %d", id, count, want)
		}
	}
}

// Guards against a placement table that exceeds its limit or evicts chats in use before idle ones.
func TestTableKeepsRecentChats(t *testing.T) {
	hn := newChatHarness(4, pool.TableLimit(100))
	hn.placements(500)
	for chat := chestnutroad.ChatID(401); chat <= 450; chat++ {
		hn.runChat(chat)
	}
	for chat := chestnutroad.ChatID(501); chat <= 550; chat++ {
		hn.runChat(chat)
	}
	if chats := hn.Status(hn.now).Chats; chats != 100 {
		t.Errorf("%d chats in a table of 100", chats)
	}
	for chat := chestnutroad.ChatID(401); chat <= 450; chat++ {
		if hn.runChat(chat).Cached == 0 {
			t.Fatalf("chat %s was evicted", chat)
		}
	}
}
