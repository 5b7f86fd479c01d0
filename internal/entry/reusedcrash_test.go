package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestCrashOnReusedConnection guards against a request that ends target after target at once, over connections that were in use
// before, and leaves no evidence since each of them is taken for one that had ended as idle. Each target is in a data centre of its
// own, since a host opens new connections to a data centre after one of its connections had ended.
func TestCrashOnReusedConnection(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		idle time.Duration
		most int
	}{
		{"just used", 0, 3},
		{"idle for a while", 1200 * time.Millisecond, 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			crashes := &crashLog{}
			targets := make([]*standin.Runner, 8)
			for index := range targets {
				rn := st.runner(fmt.Sprintf("i-%d", index), "desk")
				rn.Gap, rn.OnCrash = 100*time.Millisecond, crashes.add
				rn.CrashRequest = func(req *http.Request, _ string) bool { return req.URL.Path == "/stock/deadly" }
				st.store.PutTarget(rn.ID, rn.Entry("desk", fmt.Sprint("dc-", index), "ready"))
				targets[index] = rn
			}
			ht := st.start("host-1", true)
			warm := func() bool {
				return !slices.ContainsFunc(targets, func(rn *standin.Runner) bool { return rn.Opened() == 0 })
			}
			for round := 0; !warm(); round++ {
				var running sync.WaitGroup
				for index := range 3 * len(targets) {
					running.Go(func() {
						ht.call(t.Context(), standin.Call{
							Method: http.MethodGet, Path: "/stock/x", ID: fmt.Sprint("s-", round, "-", index), Key: "k-1",
						})
					})
				}
				running.Wait()
			}
			time.Sleep(tc.idle)
			for index := range 4 {
				ht.call(t.Context(), standin.Call{Method: http.MethodGet, Path: "/stock/deadly", ID: fmt.Sprint("d-", index), Key: "k-1"})
				time.Sleep(250 * time.Millisecond)
			}
			if total, _ := crashes.after(1, 0); total == 0 || total > tc.most {
				t.Errorf("%d targets crashed, want at most %d\n%s", total, tc.most, ht.log)
			}
		})
	}
}
