package entry

import (
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
)

// TestAllowReturn guards against a request that is sent to more targets than its rule allows, or not back to one that stalled.
func TestAllowReturn(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		end      attempt.Outcome
		replaced bool
		want     chestnutroad.TargetID
	}{
		{"refused", attempt.NotRun, false, "i-1"},
		{"not sent", attempt.NotSent, false, "i-1"},
		{"broken off", attempt.Broken, false, ""},
		{"refused while a replacement was found", attempt.NotRun, true, ""},
		{"not sent while a replacement was found", attempt.NotSent, true, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ex := &exchange{stalledTarget: "i-1"}
			if tc.replaced {
				ex.replacement = &replacement{}
			}
			ex.allowReturn(tc.end)
			if ex.criteria.Only != tc.want || ex.progress.Returns != (tc.want != "") || ex.stalledTarget != "" {
				t.Errorf("the next target is %q, counted %t, want %q", ex.criteria.Only, !ex.progress.Returns, tc.want)
			}
		})
	}
}
