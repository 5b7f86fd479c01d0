package attempt_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
)

// TestNext guards against running a request twice that may run once only, and against answering that a request did not run
// although it may have.
func TestNext(t *testing.T) {
	t.Parallel()
	runOnce := attempt.State{Repeat: chestnutroad.RepeatNever, Sent: 1, MaxSends: 2, Remaining: time.Second, HasTargets: true}
	repeatable := attempt.State{Repeat: chestnutroad.RepeatAllowed, Sent: 1, MaxSends: 2, Remaining: time.Second, HasTargets: true}
	with := func(st attempt.State, change func(st *attempt.State)) attempt.State {
		change(&st)
		return st
	}
	mayHaveRun := func(st *attempt.State) { st.MayHaveRun = true }
	cases := []struct {
		name         string
		state        attempt.State
		outcome      attempt.Outcome
		retryAllowed bool
		want         attempt.Action
	}{
		{"run once, not sent", runOnce, attempt.NotSent, false, attempt.Retry},
		{"run once, not run", runOnce, attempt.NotRun, true, attempt.Retry},
		{"run once, not run, no budget", runOnce, attempt.NotRun, false, attempt.Refuse},
		{"run once, broken", with(runOnce, mayHaveRun), attempt.Broken, true, attempt.Fail},
		{"run once, failed by target", with(runOnce, mayHaveRun), attempt.TargetFailed, true, attempt.Deliver},
		{"repeatable, broken", with(repeatable, mayHaveRun), attempt.Broken, true, attempt.Retry},
		{"repeatable, broken, no budget", with(repeatable, mayHaveRun), attempt.Broken, false, attempt.Fail},
		{"repeatable, failed by target", with(repeatable, mayHaveRun), attempt.TargetFailed, true, attempt.Retry},
		{
			"repeatable, broken, then not run", with(repeatable, func(st *attempt.State) { st.Sent, st.MayHaveRun = 2, true }),
			attempt.NotRun, true, attempt.Fail,
		},
		{"no sends left", with(repeatable, func(st *attempt.State) { st.Sent = 2 }), attempt.NotRun, true, attempt.Refuse},
		{
			"no sends left, return to a target", with(repeatable, func(st *attempt.State) { st.Sent, st.Returns = 2, true }),
			attempt.NotRun, true, attempt.Retry,
		},
		{
			"no sends left, return to a target without a budget",
			with(repeatable, func(st *attempt.State) { st.Sent, st.Returns, st.MayHaveRun = 2, true, true }),
			attempt.NotRun, false, attempt.Fail,
		},
		{
			"no time left", with(repeatable, func(st *attempt.State) { st.Remaining = time.Millisecond }),
			attempt.NotSent, true, attempt.Refuse,
		},
		{"no other target", with(repeatable, func(st *attempt.State) { st.HasTargets = false }), attempt.NotSent, true, attempt.Refuse},
		{"too many dials", with(repeatable, func(st *attempt.State) { st.Dials = 6 }), attempt.NotSent, true, attempt.Refuse},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := tc.state
			st.TakeRetry = func() bool { return tc.retryAllowed }
			if got := attempt.Next(tc.outcome, &st); got != tc.want {
				t.Errorf("got action %d, want %d", got, tc.want)
			}
		})
	}
}
