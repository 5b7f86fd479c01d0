package pool_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

func (hn *chatHarness) load(id chestnutroad.TargetID) chestnutroad.WorkUnits {
	for _, ts := range hn.Status(hn.now).Targets {
		if ts.ID == id {
			return ts.Load
		}
	}
	return -1
}

// Guards against other owners' work that is ignored or counted twice, and against late reports that replace newer ones.
func TestReportsOfOthersWork(t *testing.T) {
	late := testStart.Add(time.Second)
	report := func(taken time.Time, incarnation chestnutroad.Incarnation, running int, work chestnutroad.WorkUnits) chestnutroad.LoadReport {
		return chestnutroad.LoadReport{Target: "engine-0", Taken: taken, Incarnation: incarnation, Running: running, Work: work}
	}
	// The owner runs one request of 200 units on the only target.
	cases := []struct {
		name    string
		reports []chestnutroad.LoadReport
		want    chestnutroad.WorkUnits
	}{
		{"none", nil, 200},
		{"own work only", []chestnutroad.LoadReport{report(late, 1, 1, 200)}, 200},
		{"work of another owner", []chestnutroad.LoadReport{report(late, 1, 2, 500)}, 500},
		{"remaining work only", []chestnutroad.LoadReport{report(late, 1, 2, 100)}, 250},
		{"before the own request started", []chestnutroad.LoadReport{report(testStart.Add(-time.Second), 1, 1, 300)}, 500},
		{"out of order", []chestnutroad.LoadReport{report(late, 1, 2, 500), report(late.Add(-time.Millisecond), 1, 3, 900)}, 500},
		{"earlier incarnation", []chestnutroad.LoadReport{report(late, 2, 2, 500), report(late.Add(time.Millisecond), 1, 3, 900)}, 500},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			hn := newChatHarness(1)
			hn.submitChat(1)
			hn.now = late
			for _, rp := range tc.reports {
				hn.Report(hn.now, rp)
			}
			if got := hn.load("engine-0"); got != tc.want {
				t.Errorf("the owner assumes %d units, want %d", got, tc.want)
			}
		})
	}
}

// Guards against a successor that treats targets with work of the former owner as idle.
func TestHandoverKeepsLoad(t *testing.T) {
	old := newChatHarness(2)
	busy := old.submitChat(1).Target
	next := newChatHarness(2)
	if err := next.Import(next.now, old.Export()); err != nil {
		t.Fatal(err)
	}
	next.TakeOver(next.now, chestnutroad.Epoch{Millis: 2}, true)
	if got := next.load(busy); got != 200 {
		t.Errorf("the successor assumes %d units on %s, want 200", got, busy)
	}
	if err := next.Import(next.now, []byte("no state")); err == nil {
		t.Error("an undecodable state was accepted")
	}
}

// Guards against new work for a target whose leaving a peer has announced while the list lags, and against a target
// that stays excluded after its return.
func TestLeavingNoticeOverridesLateList(t *testing.T) {
	hn := newChatHarness(1)
	listed := targetList(1)
	steps := []struct {
		name    string
		do      func()
		serving bool
	}{
		{"a peer announces the leaving", func() { hn.SetLeaving(hn.now, "engine-0") }, false},
		{"the list lags", func() { hn.SetTargets(hn.now, listed) }, false},
		{"the list has caught up", func() { listed[0].Leaving = true; hn.SetTargets(hn.now, listed) }, false},
		{"the target is back", func() { listed[0].Leaving = false; hn.SetTargets(hn.now, listed) }, true},
		{"a peer is wrong", func() { hn.SetLeaving(hn.now, "engine-0") }, false},
		{"the notice expires", func() { hn.now = hn.now.Add(6 * time.Minute); hn.SetTargets(hn.now, listed) }, true},
	}
	for _, step := range steps {
		step.do()
		if serving := hn.runChat(1).Type == pool.ActionStart; serving != step.serving {
			t.Errorf("%s: the target serves: %v", step.name, serving)
		}
	}
}

// Guards against ejecting so many targets that the rest can't carry the load.
func TestEjectionIsLimited(t *testing.T) {
	hn := newChatHarness(10)
	for number := range 400 {
		ac := hn.submitChat(chestnutroad.ChatID(number + 1))
		hn.Fail(hn.now, ac.Request, pool.FailureNotRun)
	}
	ejected := 0
	for _, ts := range hn.Status(hn.now).Targets {
		if ts.Ejected {
			ejected++
		}
	}
	if ejected != 3 {
		t.Errorf("%d of 10 targets are ejected, want 3", ejected)
	}
}

// Guards against an old summary that loosens the bound. Work that the other shard may have finished since then must not
// count, and after SummaryMaxAge the shard is ignored.
func TestOldSummariesMakeTheBoundStricter(t *testing.T) {
	cases := []struct {
		age    time.Duration
		starts int
	}{{0, 1}, {900 * time.Millisecond, 0}, {1100 * time.Millisecond, 1}}
	for _, tc := range cases {
		hn := newChatHarness(1)
		hn.Submit(hn.now, chestnutroad.Request{ID: "held", MaxOutput: 700})
		summary := pool.Summary{Shard: otherShard, Targets: 1, Work: 720, Taken: hn.now}
		hn.PeerSummary(hn.now, summary)
		hn.now = hn.now.Add(250 * time.Millisecond)
		summary.Taken, summary.Drained = hn.now, 100
		hn.PeerSummary(hn.now, summary)
		older := summary
		older.Taken, older.Work = testStart.Add(100*time.Millisecond), 5000
		hn.PeerSummary(hn.now, older)
		hn.now = hn.now.Add(tc.age)
		if started := len(hn.Submit(hn.now, chestnutroad.Request{ID: "next", MaxOutput: 10})); started != tc.starts {
			t.Errorf("%d requests start at %s after the summary, want %d", started, tc.age, tc.starts)
		}
		if mean := hn.Status(hn.now).Mean; mean > 1000 {
			t.Errorf("a summary out of order was applied: the mean is %.0f", mean)
		}
	}
}

// Guards against a former owner that still admits requests, queued requests that get no answer, and "not run" for a
// request that an earlier owner had started.
func TestStepDown(t *testing.T) {
	hn := newChatHarness(1, pool.Slots(1))
	hn.submitChat(1)
	hn.Submit(hn.now, chestnutroad.Request{ID: "resumed", Chat: 2, Prompt: 1000, MaxOutput: 100}, pool.Resumed(40))
	hn.Submit(hn.now, chestnutroad.Request{ID: "new", Chat: 3, Prompt: 1000, MaxOutput: 100})
	refused := hn.StepDown(hn.now)
	if len(refused) != 2 {
		t.Errorf("two requests waited, %d are refused", len(refused))
	}
	for _, ac := range refused {
		if want := ac.Request == "new"; ac.Refusal.NotRun != want || ac.Refusal.Kind != chestnutroad.NotReady {
			t.Errorf("%s is refused as %+v", ac.Request, ac.Refusal)
		}
	}
	if ac := hn.submitChat(3); ac.Type != pool.ActionRefuse {
		t.Errorf("the former owner returned %+v", ac)
	}
}
