package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/knownred"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// limitWindow is the span in which a target's requests are counted against its limit.
const limitWindow = 4 * time.Second

// allowedInWindow returns the number of requests that a target with the limit may get in limitWindow.
func allowedInWindow(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// mostInWindow returns the highest number of arrivals later than from in a span of limitWindow.
func mostInWindow(arrivals []time.Time, from time.Time) int {
	most := 0
	for first, at := range arrivals {
		if at.Before(from) {
			continue
		}
		count := 0
		for _, other := range arrivals[first:] {
			if other.Sub(at) >= limitWindow {
				break
			}
			count++
		}
		most = max(most, count)
	}
	return most
}

// TestTargetLimit guards against a target that gets far more requests than the limit that it has named, summed over the hosts, and
// against requests that are refused although another target has room.
func TestTargetLimit(t *testing.T) {
	t.Parallel()
	knownred.Skip(t, "internal/entry")
	const limit, limited, rate, duration = 2.0, 3, 40, 10 * time.Second
	cases := []struct {
		name, service string
		call          standin.Call
	}{
		{"engines", "model", standin.Call{Method: http.MethodPost, Path: "/chat/x", Body: "b"}},
		{"plain service", "desk", standin.Call{Method: http.MethodGet, Path: "/stock/x"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			targets := make([]*standin.Runner, limited+1)
			for index := range targets {
				targets[index] = st.runner(fmt.Sprintf("i-%d", index), tc.service)
				targets[index].Gap = 10 * time.Millisecond
				if tc.service == "model" {
					targets[index].Events = 3
				}
			}
			hosts := []*host{st.start("host-1", true), st.start("host-2", true), st.start("host-3", true)}
			// Wait until the hosts exchange messages.
			time.Sleep(1500 * time.Millisecond)
			for _, rn := range targets[:limited] {
				rn.SetLimit(fmt.Sprint(limit))
			}
			settled := time.Now().Add(3 * time.Second)
			var mu sync.Mutex
			failed := map[string]int{}
			var running sync.WaitGroup
			for index := range int(duration.Seconds() * rate) {
				call := tc.call
				call.ID, call.Key = fmt.Sprint("r-", index), "k-1"
				if tc.service == "model" {
					call.Prefix = fmt.Sprintf("shared:10,chat-%d:10,own-%d:5", index%40, index)
				}
				running.Go(func() {
					got := hosts[index%len(hosts)].call(t.Context(), call)
					if got.err != nil || got.status != http.StatusOK {
						mu.Lock()
						defer mu.Unlock()
						failed[fmt.Sprint(got.status, got.err)]++
					}
				})
				time.Sleep(time.Second / rate)
			}
			running.Wait()
			for _, rn := range targets[:limited] {
				if most := mostInWindow(rn.Arrivals(), settled); most > allowedInWindow(limit) {
					t.Errorf("%s with a limit of %g a second got %d requests in %s, want at most %d", rn.ID, limit, most,
						limitWindow, allowedInWindow(limit))
				}
				if total := len(rn.Arrivals()); total < int(limit*duration.Seconds()/2) {
					t.Errorf("%s with a limit of %g a second got %d requests in %s, want half of the limit at least", rn.ID, limit,
						total, duration)
				}
			}
			if len(failed) > 0 {
				t.Errorf("requests failed although a target without a limit had room: %v", failed)
			}
		})
	}
}
