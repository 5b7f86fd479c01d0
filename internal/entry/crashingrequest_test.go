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

// TestRequestThatCrashesTargets guards against targets that crash one after the other under the same request, and against sound
// requests that are refused since they share its caller, path or prompt parts.
func TestRequestThatCrashesTargets(t *testing.T) {
	t.Parallel()
	knownred.Skip(t, "internal/entry")
	cases := []struct {
		name, service string
		deadly, sound standin.Call
		delay         time.Duration
	}{
		{
			"engine", "model",
			standin.Call{Method: http.MethodPost, Path: "/chat/x", Body: "deadly", Prefix: "shared:10,chat:10,own:5"},
			standin.Call{Method: http.MethodPost, Path: "/chat/x", Body: "sound", Prefix: "shared:10,chat:10,own:5"},
			0,
		},
		{
			"engine, after a second in its queue", "model",
			standin.Call{Method: http.MethodPost, Path: "/chat/x", Body: "deadly", Prefix: "shared:10,chat:10,own:5"},
			standin.Call{Method: http.MethodPost, Path: "/chat/x", Body: "sound", Prefix: "shared:10,chat:10,own:5"},
			time.Second,
		},
		{
			"plain request without a body", "desk",
			standin.Call{Method: http.MethodGet, Path: "/stock/deadly"},
			standin.Call{Method: http.MethodGet, Path: "/stock/sound"},
			0,
		},
		{
			"order", "desk",
			standin.Call{Method: http.MethodPost, Path: "/order/x", Body: "deadly"},
			standin.Call{Method: http.MethodPost, Path: "/order/x", Body: "sound"},
			0,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			crashes := &crashLog{}
			for index := range 12 {
				rn := st.runner(fmt.Sprintf("i-%d", index), tc.service)
				if tc.service == "model" {
					rn.Events = 3
				}
				rn.Gap, rn.CrashDelay = 20*time.Millisecond, tc.delay
				rn.CrashRequest = func(req *http.Request, body string) bool {
					return req.URL.Path == tc.deadly.Path && body == tc.deadly.Body
				}
				rn.OnCrash = func() {
					crashes.add()
					time.AfterFunc(time.Second, func() {
						if rn.Restart() == nil {
							st.store.PutTarget(rn.ID, rn.Entry(tc.service, "dc-a", "ready"))
						}
					})
				}
			}
			hosts := []*host{st.start("host-1", true), st.start("host-2", true), st.start("host-3", true)}
			// Wait until the hosts exchange messages.
			time.Sleep(1500 * time.Millisecond)
			// Callers keep their connections, so that hosts reuse theirs to the targets.
			client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 20}}
			var mu sync.Mutex
			served, late := 0, 0
			var running sync.WaitGroup
			started := time.Now()
			const count = 130
			for index := range count {
				ht := hosts[index%len(hosts)]
				if index%3 == 0 {
					call := tc.deadly
					call.ID, call.Key = fmt.Sprint("d-", index), "k-1"
					running.Go(func() { ht.callWith(t.Context(), client, call) })
				}
				call := tc.sound
				call.ID, call.Key = fmt.Sprint("s-", index), "k-1"
				if call.Body != "" {
					call.Body = fmt.Sprint("sound-", index/4)
				}
				running.Go(func() {
					begun := time.Since(started)
					got := ht.callWith(t.Context(), client, call)
					mu.Lock()
					defer mu.Unlock()
					if begun > 6*time.Second {
						late++
						if got.status == http.StatusOK && got.err == nil {
							served++
						}
					}
				})
				time.Sleep(75 * time.Millisecond)
			}
			running.Wait()
			total, after := crashes.after(3, 3*time.Second)
			if total < 2 || after > 3 {
				t.Errorf("%d targets crashed, %d of them later than 3 s after the third; want at most 3 of those", total, after)
			}
			if served*10 < late*9 {
				t.Errorf("%d of %d sound requests were served in the last seconds, want nine in ten\n%s", served, late, hosts[0].log)
			}
		})
	}
}
