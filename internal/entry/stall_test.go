package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// withoutRetries sets an empty retry budget.
func withoutRetries(set *settings.Entry) { set.RetryRatio, set.RetrySlack = 0, 0 }

// TestStallEndsAreLogged guards against stalled requests in whose log line nothing tells a lack of retries from a lack of
// targets.
func TestStallEndsAreLogged(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// others is the number of targets beside the one that hangs.
		others int
		opts   []func(*settings.Entry)
		want   string
	}{
		{"another target", 1, nil, `"Stalls":["Retried"]`},
		{"no retry left", 1, []func(*settings.Entry){withoutRetries}, `"Stalls":["NoBudget"]`},
		{"no other target", 0, nil, `"Stalls":["NoTarget"]`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			runners := []*standin.Runner{st.runner("i-1", "desk")}
			for range tc.others {
				runners = append(runners, st.runner("i-2", "desk"))
			}
			for _, rn := range runners {
				rn.SetDefault(standin.Hang)
			}
			ht := st.start("host-1", true, tc.opts...)
			ht.call(t.Context(), standin.Call{
				Method: http.MethodGet, Path: "/stock/x", ID: "r-1", Key: "k-1", Budget: 400 * time.Millisecond,
			})
			if line := ht.log.line(`"Message":"request"`); !strings.Contains(line, tc.want) {
				t.Errorf("got line %q, want it to contain %s", line, tc.want)
			}
		})
	}
}
