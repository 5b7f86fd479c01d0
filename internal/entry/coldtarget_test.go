package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// mostWithin returns the highest number of arrivals between two times in a span.
func mostWithin(arrivals []time.Time, from, to time.Time, span time.Duration) int {
	most := 0
	for first, at := range arrivals {
		count := 0
		for _, other := range arrivals[first:] {
			if other.Sub(at) >= span || !other.Before(to) {
				break
			}
			count++
		}
		if !at.Before(from) {
			most = max(most, count)
		}
	}
	return most
}

// TestColdTargets guards against targets that get more requests in a second, summed over the hosts, than they tolerate while they are cold,
// from when the hosts can know it, and against hosts that don't log it or don't find the end.
func TestColdTargets(t *testing.T) {
	t.Parallel()
	const (
		coldPerSecond, allowed, rate = 4.0, 11, 60
		coldTime, contact, duration  = 4 * time.Second, 700 * time.Millisecond, 9 * time.Second
	)
	cases := []struct {
		name    string
		without mechanism.Set
		held    bool
	}{
		{"with the mechanism", nil, true},
		{"without", mechanism.Set{mechanism.ColdStart: true}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.ConfigureCold(3, 1, coldTime.Seconds(), coldPerSecond, "k-1")
			targets := make([]*standin.Runner, 3)
			for index := range targets {
				targets[index] = st.runner(fmt.Sprintf("i-%d", index), "desk")
				targets[index].Gap = 10 * time.Millisecond
			}
			hosts := make([]*host, 0, 3)
			for index := range 3 {
				hosts = append(hosts, st.start(fmt.Sprint("host-", index), true, func(set *settings.Entry) { set.Without = tc.without }))
			}
			// Wait until the hosts exchange messages.
			time.Sleep(1500 * time.Millisecond)
			cold := targets[:2]
			var coldAt time.Time
			var mu sync.Mutex
			failed := map[string]int{}
			var running sync.WaitGroup
			for index := range int(duration.Seconds() * rate) {
				if index == rate {
					coldAt = time.Now()
					for _, rn := range cold {
						rn.SetCold(coldTime)
					}
				}
				running.Go(func() {
					call := standin.Call{Method: http.MethodGet, Path: "/stock/x", ID: fmt.Sprint("r-", index), Key: "k-1"}
					if got := hosts[index%len(hosts)].call(t.Context(), call); got.err != nil || got.status != http.StatusOK {
						mu.Lock()
						defer mu.Unlock()
						failed[fmt.Sprint(got.status, got.err)]++
					}
				})
				time.Sleep(time.Second / rate)
			}
			running.Wait()
			for _, rn := range cold {
				most := mostWithin(rn.Arrivals(), coldAt.Add(contact), coldAt.Add(coldTime), time.Second)
				t.Logf("%s got at most %d requests in a second", rn.ID, most)
				if held := most <= allowed; held != tc.held {
					t.Errorf("%s got %d requests in a second, %d are allowed; want the bound kept %t", rn.ID, most, allowed, tc.held)
				}
				if last := mostWithin(rn.Arrivals(), coldAt.Add(duration-2*time.Second), time.Now(), time.Second); last <= allowed {
					t.Errorf("%s gets only %d requests in a second after the cold time", rn.ID, last)
				}
			}
			if len(failed) > 0 {
				t.Errorf("requests failed although a warm target had room: %v", failed)
			}
			for _, line := range []string{"target is cold", "target is warm"} {
				for _, ht := range hosts {
					if logged := strings.Count(ht.log.String(), line) >= len(cold); logged != tc.held {
						t.Errorf("%q is logged for each cold target: %t, want %t", line, logged, tc.held)
					}
				}
			}
		})
	}
}

// TestInvalidColdTime guards against an invalid cold time that makes a target cold, or that is logged with each answer.
func TestInvalidColdTime(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.ConfigureCold(3, 1, 3, 4, "k-1")
	rn := st.runner("i-0", "desk")
	ht := st.start("host-0", true)
	for index, text := range []string{"-1", "soon", "3600001", "NaN"} {
		rn.SetInvalidCold(text)
		call := standin.Call{Method: http.MethodGet, Path: "/stock/x", ID: fmt.Sprint("r-", index), Key: "k-1"}
		if got := ht.call(t.Context(), call); got.err != nil || got.status != http.StatusOK {
			t.Errorf("%q: got %d, %v", text, got.status, got.err)
		}
	}
	time.Sleep(400 * time.Millisecond)
	if got := strings.Count(ht.log.String(), "target states an invalid time"); got != 1 {
		t.Errorf("invalid times are logged %d times, want once", got)
	}
	if strings.Contains(ht.log.String(), "target is cold") {
		t.Error("an invalid time made the target cold")
	}
}
