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

// crashLog records when targets crashed.
type crashLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (cl *crashLog) add() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.times = append(cl.times, time.Now())
}

// after returns the number of crashes, and of those later than the time after the crash with the number.
func (cl *crashLog) after(number int, wait time.Duration) (total, late int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for index, at := range cl.times {
		if index >= number && at.Sub(cl.times[number-1]) > wait {
			late++
		}
	}
	return len(cl.times), late
}

// TestPartThatCrashesTargets guards against targets that crash one after the other under requests with the same prompt part, and
// against sound requests with the same key and first part that are refused with them.
func TestPartThatCrashesTargets(t *testing.T) {
	t.Parallel()
	knownred.Skip(t, "internal/entry")
	cases := []struct {
		name     string
		prefix   string
		unframed bool
	}{
		{"first", "deadly:10,shared:10,own-%d:5", false},
		{"in the middle", "shared:10,deadly:10,own-%d:5", false},
		{"answers without a length", "shared:10,deadly:10,own-%d:5", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			crashes := &crashLog{}
			for index := range 12 {
				rn := st.runner(fmt.Sprintf("i-%d", index), "model")
				rn.Events, rn.Gap, rn.CrashPart = 3, 50*time.Millisecond, "deadly"
				rn.CrashUnframed = tc.unframed
				rn.OnCrash = func() {
					crashes.add()
					time.AfterFunc(time.Second, func() {
						if rn.Restart() == nil {
							st.store.PutTarget(rn.ID, rn.Entry("model", "dc-a", "ready"))
						}
					})
				}
			}
			hosts := []*host{st.start("host-1", true), st.start("host-2", true), st.start("host-3", true)}
			// Wait until the hosts exchange messages.
			time.Sleep(1500 * time.Millisecond)
			var mu sync.Mutex
			served, quarantined := 0, 0
			var running sync.WaitGroup
			started := time.Now()
			for index := range 120 {
				ht := hosts[index%len(hosts)]
				running.Go(func() {
					got := ht.call(t.Context(), standin.Call{
						Method: http.MethodPost, Path: "/chat/x", ID: fmt.Sprint("d-", index), Key: "k-1", Body: "b",
						Prefix: fmt.Sprintf(tc.prefix, index),
					})
					mu.Lock()
					defer mu.Unlock()
					if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" {
						quarantined++
					}
				})
				running.Go(func() {
					got := ht.call(t.Context(), standin.Call{
						Method: http.MethodPost, Path: "/chat/x", ID: fmt.Sprint("s-", index), Key: "k-1", Body: "b",
						Prefix: fmt.Sprintf("shared:10,chat-%d:10,own-%d:5", index/3, index),
					})
					mu.Lock()
					defer mu.Unlock()
					if got.status == http.StatusOK && got.err == nil && time.Since(started) > 6*time.Second {
						served++
					}
				})
				time.Sleep(75 * time.Millisecond)
			}
			running.Wait()
			total, late := crashes.after(5, 3*time.Second)
			if total < 2 || late > 3 || quarantined < 40 {
				t.Errorf("%d targets crashed, %d of them later than 3 s after the fifth; want at most 3 of those; %d requests refused",
					total, late, quarantined)
			}
			if served < 35 {
				t.Errorf("%d of 40 sound requests were served in the last 3 s\n%s", served, hosts[0].log)
			}
		})
	}
}

// TestFailureIsDeliveredWhenRetryIsRefused guards against a target's answer that is dropped because its request became suspect.
func TestFailureIsDeliveredWhenRetryIsRefused(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	desk := []*standin.Runner{st.runner("i-1", "desk"), st.runner("i-2", "desk")}
	for _, rn := range desk {
		rn.Gap = 400 * time.Millisecond
		rn.SetDefault(standin.FailRun)
	}
	for _, rn := range []*standin.Runner{st.runner("i-3", "model"), st.runner("i-4", "model")} {
		rn.CrashPart = "deadly"
	}
	ht := st.start("host-1", true)
	failed := make(chan reply, 1)
	go func() {
		failed <- ht.call(t.Context(), standin.Call{
			Method: http.MethodGet, Path: "/stock/x", ID: "r-1", Key: "k-1", Prefix: "deadly:10,own:5",
		})
	}()
	for index := range 2 {
		ht.call(t.Context(), standin.Call{
			Method: http.MethodPost, Path: "/chat/x", ID: fmt.Sprint("d-", index), Key: "k-1", Body: fmt.Sprint("b-", index),
			Prefix: "deadly:10,other:5",
		})
		time.Sleep(110 * time.Millisecond)
	}
	if got := <-failed; got.status != http.StatusInternalServerError || !got.metadata().Receipt {
		t.Errorf("got status %d %q, want the answer of a target", got.status, got.body)
	}
	if count := len(desk[0].Runs()) + len(desk[1].Runs()); count != 1 {
		t.Errorf("%d targets ran the request, want 1", count)
	}
}
