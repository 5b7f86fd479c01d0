package baseline_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/pool/baseline"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func requestOf(number int) chestnutroad.Request {
	return chestnutroad.Request{
		ID: chestnutroad.RequestID(fmt.Sprint(number)), Chat: chestnutroad.ChatID(number%7 + 1), Priority: chestnutroad.PriorityChat,
		Repeat: chestnutroad.RepeatAllowed, Prompt: 100, MaxOutput: 50, Deadline: start.Add(time.Hour),
	}
}

// Guards against a policy that a replay can't use in place of the owner. Each policy must start requests on targets
// that are not leaving, retry after a failure, and decide the same with the same seed.
func TestPoliciesAnswerLikeTheOwner(t *testing.T) {
	for _, entry := range baseline.Table() {
		t.Run(entry.Name, func(t *testing.T) {
			first, second := entry.New(baseline.Setup{Seed: 3}), entry.New(baseline.Setup{Seed: 3})
			listed := []pool.Target{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d", Leaving: true}}
			for _, po := range []pool.Policy{first, second} {
				po.SetTargets(start, listed)
				po.SetLeaving(start, "c")
				po.SetTargets(start, listed)
			}
			for number := range 40 {
				ac, same := first.Submit(start, requestOf(number))[0], second.Submit(start, requestOf(number))[0]
				if ac.Type != pool.ActionStart || (ac.Target != "a" && ac.Target != "b") || ac.Target != same.Target {
					t.Fatalf("request %d got %+v and %+v", number, ac, same)
				}
			}
			moved := first.Fail(start, "0", pool.FailureBroken)
			if len(moved) != 1 || moved[0].Type != pool.ActionStart || !moved[0].Resume {
				t.Errorf("a broken chat got %+v", moved)
			}
			first.Finish(start, "1")
			if again := first.Fail(start, "1", pool.FailureBroken); len(again) != 0 {
				t.Errorf("a finished request got %+v", again)
			}
		})
	}
}
