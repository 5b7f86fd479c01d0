package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// sendLookups sends stock lookups one after the other and returns the number of answers by status.
func sendLookups(ht *host, prefix string, count int) map[int]int {
	statuses := map[int]int{}
	for index := range count {
		got := ht.call(ht.t.Context(), standin.Call{
			Method: http.MethodGet, Path: "/stock/x", ID: fmt.Sprintf("%s-%d", prefix, index), Key: "k-1",
		})
		statuses[got.status]++
	}
	return statuses
}

// TestLeavingNoticeInAnswers guards against new requests to a target that announces in its answers that it is leaving, while
// the store does not answer, lists the target as ready, or lists it again after its entry expired.
func TestLeavingNoticeInAnswers(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		disrupt func(st *site, leaving *standin.Runner)
	}{
		{"the store does not answer", func(st *site, _ *standin.Runner) { st.store.SetFault(standin.Silent) }},
		{"the store lists it as ready", func(st *site, leaving *standin.Runner) {
			text := leaving.Entry("desk", "dc-a", "ready")
			st.store.PutTarget("i-1", strings.Replace(text, `"sequence":1`, `"sequence":2`, 1))
		}},
		{"its entry expires and comes back", func(st *site, leaving *standin.Runner) {
			st.store.PutTarget("i-1", "")
			time.Sleep(time.Second)
			st.store.PutTarget("i-1", leaving.Entry("desk", "dc-a", "ready"))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			first := st.runner("i-1", "desk")
			st.runner("i-2", "desk")
			hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
			// Wait until both hosts have the same targets and exchange messages.
			time.Sleep(1500 * time.Millisecond)
			first.Leave()
			for index := 0; len(first.Arrivals()) == 0; index++ {
				sendLookups(hosts[0], fmt.Sprintf("first-%d", index), 1)
			}
			tc.disrupt(st, first)
			// The drain time in the settings is 2 s.
			time.Sleep(2 * time.Second)
			before := len(first.Arrivals())
			for _, ht := range hosts {
				if got := sendLookups(ht, "later-"+ht.address, 40); got[http.StatusOK] != 40 {
					t.Errorf("got statuses %v\n%s", got, ht.log)
				}
			}
			if later := len(first.Arrivals()) - before; later > 0 {
				t.Errorf("%d requests reached the leaving target\n%s", later, hosts[0].log)
			}
			if before > 10 {
				t.Errorf("%d requests reached the target after its first leaving notice", before)
			}
		})
	}
}

// TestNoticeEndsWithRestart guards against a target that gets no requests after it restarted under the same id and address.
func TestNoticeEndsWithRestart(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	rn.SetNext(standin.Refuse)
	rn.RetryAfter = time.Hour
	if got := sendLookups(ht, "refused", 2); got[http.StatusServiceUnavailable] != 2 || len(rn.Arrivals()) != 1 {
		t.Fatalf("got statuses %v with %d arrivals", got, len(rn.Arrivals()))
	}
	text := rn.Entry("desk", "dc-a", "ready")
	st.store.PutTarget("i-1", strings.Replace(text, `"born":1`, `"born":2`, 1))
	ht.eventually(applyTimeout, "the new incarnation gets requests", func() bool { return stockStatus(ht, "k-1") == http.StatusOK })
}

// startLoad sends lookups to all hosts from several callers until the returned function is called, which returns the number
// of answers by status.
func startLoad(hosts []*host, callers int) (stop func() map[int]int) {
	var mu sync.Mutex
	statuses := map[int]int{}
	done := make(chan struct{})
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			ht := hosts[caller%len(hosts)]
			for number := 0; ; number++ {
				select {
				case <-done:
					return
				case <-time.After(3 * time.Millisecond):
				}
				got := ht.call(ht.t.Context(), standin.Call{
					Method: http.MethodGet, Path: "/stock/x", ID: fmt.Sprintf("c-%d-%d", caller, number), Key: "k-1",
				})
				mu.Lock()
				statuses[got.status]++
				mu.Unlock()
			}
		})
	}
	return func() map[int]int {
		close(done)
		group.Wait()
		return statuses
	}
}

// TestTargetRetryAfter guards against requests to a target that refused one for a stated time. Hosts sent it the next request
// 100 ms later, and all requests while no other target was left.
func TestTargetRetryAfter(t *testing.T) {
	t.Parallel()
	const refuseFor = 2500 * time.Millisecond
	cases := []struct {
		name    string
		targets int
		// want is the status of nearly all answers after the target stated the time.
		want int
	}{
		{"another target is left", 2, http.StatusOK},
		{"no other target is left", 1, http.StatusServiceUnavailable},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			first := st.runner("i-1", "desk")
			for index := 1; index < tc.targets; index++ {
				st.runner(fmt.Sprintf("i-%d", index+1), "desk")
			}
			hosts := []*host{st.start("host-1", true), st.start("host-2", true), st.start("host-3", true)}
			first.RetryAfter = refuseFor
			first.SetDefault(standin.Refuse)
			stop := startLoad(hosts, 6)
			time.Sleep(2 * time.Second)
			statuses := stop()
			arrivals := first.Arrivals()
			if len(arrivals) == 0 {
				t.Fatal("no request reached the target")
			}
			late := 0
			for _, at := range arrivals {
				if at.Sub(arrivals[0]) > 500*time.Millisecond {
					late++
				}
			}
			// Each host may send two requests later than 0.5 s after the first one.
			if late > 2*len(hosts) {
				t.Errorf("%d of %d requests arrived more than 0.5 s after the first one was refused", late, len(arrivals))
			}
			total := 0
			for _, count := range statuses {
				total += count
			}
			if total < 200 || statuses[tc.want] < total-20 {
				t.Errorf("got statuses %v, want nearly all %d", statuses, tc.want)
			}
			first.SetDefault(standin.Serve)
			hosts[0].eventually(refuseFor, "the target gets requests again", func() bool {
				sendLookups(hosts[0], "again", 10)
				return len(first.Runs()) > 0
			})
		})
	}
}

// TestRefusalRetryAfter guards against refusals whose Retry-After ends before any target takes requests again, so that the
// caller's only retry is refused as well.
func TestRefusalRetryAfter(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	rn.RetryAfter = 7 * time.Second
	rn.SetNext(standin.Refuse)
	for _, id := range []string{"r-1", "r-2"} {
		started := time.Now()
		got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: id, Key: "k-1", Body: "b"})
		if got.status != http.StatusServiceUnavailable {
			t.Fatalf("%s got status %d", id, got.status)
		}
		wait := got.metadata().RetryAfter
		if wait < 6*time.Second || wait > 8*time.Second {
			t.Errorf("%s got a Retry-After of %s", id, wait)
		}
		if took := time.Since(started); took > 500*time.Millisecond {
			t.Errorf("%s was refused after %s", id, took)
		}
	}
}
