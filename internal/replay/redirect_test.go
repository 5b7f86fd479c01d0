package replay_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/knownred"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// chatRequest returns a chat request with a prompt of the given tokens and at most 100 output tokens.
func chatRequest(id chestnutroad.RequestID, chat chestnutroad.ChatID, prompt chestnutroad.Tokens) chestnutroad.Request {
	return chestnutroad.Request{
		ID: id, Team: "desk", Service: "assistant", Chat: chat, Priority: chestnutroad.PriorityChat,
		Repeat: chestnutroad.RepeatAllowed, Prompt: prompt, MaxOutput: 100,
	}
}

// Guards against an owner that admits the next turn of a chat that it redirected. The chat's context is in the other shard,
// where a redirected chat must stay; this shard would have to process the whole prompt again.
func TestGoalRedirectedChatStaysInItsShard(t *testing.T) {
	knownred.Skip(t, "internal/replay")
	servicePool := chestnutroad.PoolID{Site: "north", Service: "assistant"}
	shard := chestnutroad.ShardID{Pool: servicePool, DataCentre: "a"}
	other := chestnutroad.ShardID{Pool: servicePool, DataCentre: "b"}
	now := time.Unix(1_800_000_000, 0)
	owner := pool.New(shard, pool.LoadFloor(150), pool.SlowStart(0))
	owner.SetTargets(now, []pool.Target{{ID: "e1"}})
	reportPeerLoad := func(work chestnutroad.WorkUnits) {
		now = now.Add(100 * time.Millisecond)
		owner.PeerSummary(now, pool.Summary{Shard: other, Targets: 3, Work: work, Taken: now})
	}
	reportPeerLoad(15)
	owner.Submit(now, chatRequest("r1", 1, 0))
	actions := owner.Submit(now, chatRequest("r2", 2, 200))
	if len(actions) != 1 || actions[0].Type != pool.ActionRedirect || actions[0].Shard != other {
		t.Fatalf("the full shard returned %+v, want a redirect to %s", actions, other)
	}
	owner.Finish(now, "r1")
	reportPeerLoad(15)
	actions = owner.Submit(now, chatRequest("r3", 2, 320))
	if len(actions) != 1 || actions[0].Type != pool.ActionRedirect || actions[0].Shard != other {
		t.Errorf("the chat's next turn got %+v, want a redirect to %s, which has its context", actions, other)
	}
}
