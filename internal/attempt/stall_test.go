package attempt_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/attempt"
)

// TestAfterStall guards against an attempt that is given up although there can't be another one, and against a target that is
// chosen without need.
func TestAfterStall(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name               string
		remaining, reserve time.Duration
		hasRetry           bool
		hasTarget          bool
		want               attempt.StallEnd
		chooses            bool
	}{
		{"another target", time.Second, 500 * time.Millisecond, true, true, attempt.StallRetried, true},
		{"less time than reserved", time.Second, 1100 * time.Millisecond, true, true, attempt.StallNoTime, false},
		{"no time", time.Millisecond, 0, true, true, attempt.StallNoTime, false},
		{"no retry", time.Second, 0, false, true, attempt.StallNoBudget, false},
		{"no target", time.Second, 0, true, false, attempt.StallNoTarget, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			chosen := false
			got := attempt.AfterStall(&attempt.Stall{
				Remaining: tc.remaining, Reserve: tc.reserve, HasRetry: func() bool { return tc.hasRetry },
				HasTarget: func() bool {
					chosen = true
					return tc.hasTarget
				},
			})
			if got != tc.want || chosen != tc.chooses {
				t.Errorf("got %s and chose: %t, want %s and %t", got, chosen, tc.want, tc.chooses)
			}
		})
	}
}
