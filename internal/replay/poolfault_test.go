package replay_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// chatRequest returns a chat request of that prompt whose answer takes 100 units.
func chatRequest(id chestnutroad.RequestID, chat chestnutroad.ChatID, prompt chestnutroad.Tokens) chestnutroad.Request {
	return chestnutroad.Request{
		ID: id, Team: "desk", Service: "assistant", Chat: chat, Priority: chestnutroad.PriorityChat,
		Repeat: chestnutroad.RepeatAllowed, Prompt: prompt, MaxOutput: 100,
	}
}

// A chat whose context is in another shard must go there again and not start without context at home: the design says
// that a moved chat stays where it is.
func TestGoalRedirectedChatStaysInItsShard(t *testing.T) {
	skipKnownRed(t)
	site := chestnutroad.PoolID{Site: "north", Service: "assistant"}
	home := chestnutroad.ShardID{Pool: site, DataCentre: "a"}
	other := chestnutroad.ShardID{Pool: site, DataCentre: "b"}
	now := time.Unix(1_800_000_000, 0)
	owner := pool.New(home, pool.LoadFloor(150), pool.SlowStart(0))
	owner.SetTargets(now, []pool.Target{{ID: "e1"}})
	hear := func(work chestnutroad.WorkUnits) {
		now = now.Add(100 * time.Millisecond)
		owner.PeerSummary(now, pool.Summary{Shard: other, Targets: 3, Work: work, Taken: now})
	}
	hear(15)
	owner.Submit(now, chatRequest("r1", 1, 0))
	actions := owner.Submit(now, chatRequest("r2", 2, 200))
	if len(actions) != 1 || actions[0].Type != pool.ActionRedirect || actions[0].Shard != other {
		t.Fatalf("the full shard answered %+v, want a redirect to %s", actions, other)
	}
	owner.Finish(now, "r1")
	hear(15)
	actions = owner.Submit(now, chatRequest("r3", 2, 320))
	if len(actions) != 1 || actions[0].Type != pool.ActionRedirect || actions[0].Shard != other {
		t.Errorf("the chat's next turn got %+v, want a redirect to %s, which has its context", actions, other)
	}
}
