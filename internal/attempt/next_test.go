package attempt_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
)

// TestNext guards against a second run of what may run once, and against refusals that are not true.
func TestNext(t *testing.T) {
	t.Parallel()
	once := attempt.State{Repeat: chestnutroad.RepeatNever, Sent: 1, MaxSends: 2, Remaining: time.Second, HasTargets: true}
	again := attempt.State{Repeat: chestnutroad.RepeatAllowed, Sent: 1, MaxSends: 2, Remaining: time.Second, HasTargets: true}
	with := func(st attempt.State, change func(st *attempt.State)) attempt.State {
		change(&st)
		return st
	}
	ran := func(st *attempt.State) { st.MayHaveRun = true }
	cases := []struct {
		name   string
		state  attempt.State
		end    attempt.Outcome
		budget bool
		want   attempt.Action
	}{
		{"once, not sent", once, attempt.NotSent, false, attempt.Retry},
		{"once, not run", once, attempt.NotRun, true, attempt.Retry},
		{"once, not run, no budget", once, attempt.NotRun, false, attempt.Refuse},
		{"once, broken", with(once, ran), attempt.Broken, true, attempt.Fail},
		{"once, failed by the target", with(once, ran), attempt.TargetFailed, true, attempt.Deliver},
		{"again, broken", with(again, ran), attempt.Broken, true, attempt.Retry},
		{"again, broken, no budget", with(again, ran), attempt.Broken, false, attempt.Fail},
		{"again, failed by the target", with(again, ran), attempt.TargetFailed, true, attempt.Retry},
		{
			"again, broken, then refused", with(again, func(st *attempt.State) { st.Sent, st.MayHaveRun = 2, true }),
			attempt.NotRun, true, attempt.Fail,
		},
		{"sends used up", with(again, func(st *attempt.State) { st.Sent = 2 }), attempt.NotRun, true, attempt.Refuse},
		{"no time left", with(again, func(st *attempt.State) { st.Remaining = time.Millisecond }), attempt.NotSent, true, attempt.Refuse},
		{"no other target", with(again, func(st *attempt.State) { st.HasTargets = false }), attempt.NotSent, true, attempt.Refuse},
		{"many dials", with(again, func(st *attempt.State) { st.Dials = 6 }), attempt.NotSent, true, attempt.Refuse},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := tc.state
			st.TakeRetry = func() bool { return tc.budget }
			if got := attempt.Next(tc.end, &st); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}
