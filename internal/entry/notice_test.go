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

// lookups sends stock lookups one after the other and returns the number with each status.
func lookups(ht *host, prefix string, count int) map[int]int {
	statuses := map[int]int{}
	for index := range count {
		got := ht.call(ht.t.Context(), standin.Call{
			Method: http.MethodGet, Path: "/stock/x", ID: fmt.Sprintf("%s-%d", prefix, index), Key: "k-1",
		})
		statuses[got.status]++
	}
	return statuses
}

// TestLeavingByAnswers guards against new requests to a target that says in its answers that it leaves, while the store
// is silent, or calls the target ready, or lists it again after its entry had lapsed.
func TestLeavingByAnswers(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		upset func(st *site, leaving *standin.Runner)
	}{
		{"the store is silent", func(st *site, _ *standin.Runner) { st.store.SetFault(standin.Silent) }},
		{"the store says that it is ready", func(st *site, leaving *standin.Runner) {
			text := leaving.Entry("desk", "dc-a", "ready")
			st.store.PutTarget("i-1", strings.Replace(text, `"sequence":1`, `"sequence":2`, 1))
		}},
		{"its entry lapses and comes back", func(st *site, leaving *standin.Runner) {
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
			one := st.runner("i-1", "desk")
			st.runner("i-2", "desk")
			hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
			// Both hosts have the same targets and trade messages.
			time.Sleep(1500 * time.Millisecond)
			one.Leave()
			for index := 0; len(one.Arrivals()) == 0; index++ {
				lookups(hosts[0], fmt.Sprintf("first-%d", index), 1)
			}
			tc.upset(st, one)
			// Drain time of the settings.
			time.Sleep(2 * time.Second)
			before := len(one.Arrivals())
			for _, ht := range hosts {
				if got := lookups(ht, "later-"+ht.address, 40); got[http.StatusOK] != 40 {
					t.Errorf("got %v\n%s", got, ht.log)
				}
			}
			if later := len(one.Arrivals()) - before; later > 0 {
				t.Errorf("%d requests reached the target that leaves\n%s", later, hosts[0].log)
			}
			if before > 10 {
				t.Errorf("%d requests reached the target after its first answer that it leaves", before)
			}
		})
	}
}

// TestLeavingEndsWithALife guards against a target that gets nothing after it restarted under its id and address.
func TestLeavingEndsWithALife(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	rn.Then(standin.Refuse)
	rn.RefuseFor = time.Hour
	if got := lookups(ht, "refused", 2); got[http.StatusServiceUnavailable] != 2 || len(rn.Arrivals()) != 1 {
		t.Fatalf("got %v with %d arrivals", got, len(rn.Arrivals()))
	}
	text := rn.Entry("desk", "dc-a", "ready")
	st.store.PutTarget("i-1", strings.Replace(text, `"born":1`, `"born":2`, 1))
	ht.eventually(applyTimeout, "the new life gets requests", func() bool { return stockStatus(ht, "k-1") == http.StatusOK })
}

// startLoad sends lookups to all hosts from several callers until the returned function is called, which returns the number of
// answers by status.
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

// TestTargetThatWantsNothing guards against requests to a target that turned one away for a stated time: hosts sent it
// the next one 100 ms later, and all of them while no other target was left.
func TestTargetThatWantsNothing(t *testing.T) {
	t.Parallel()
	const span = 2500 * time.Millisecond
	cases := []struct {
		name    string
		targets int
		// want is the status that nearly all answers have, after the time is stated.
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
			one := st.runner("i-1", "desk")
			for index := 1; index < tc.targets; index++ {
				st.runner(fmt.Sprintf("i-%d", index+1), "desk")
			}
			hosts := []*host{st.start("host-1", true), st.start("host-2", true), st.start("host-3", true)}
			one.RefuseFor = span
			one.Always(standin.Refuse)
			stop := startLoad(hosts, 6)
			time.Sleep(2 * time.Second)
			statuses := stop()
			arrivals := one.Arrivals()
			if len(arrivals) == 0 {
				t.Fatal("no request reached the target")
			}
			late := 0
			for _, at := range arrivals {
				if at.Sub(arrivals[0]) > 500*time.Millisecond {
					late++
				}
			}
			// Each host may send two requests from 0.5 s on.
			if late > 2*len(hosts) {
				t.Errorf("%d of %d requests came 0.5 s or more after the first was turned away", late, len(arrivals))
			}
			total := 0
			for _, count := range statuses {
				total += count
			}
			if total < 200 || statuses[tc.want] < total-20 {
				t.Errorf("got %v", statuses)
			}
			one.Always(standin.Serve)
			hosts[0].eventually(span, "the target gets requests again", func() bool {
				lookups(hosts[0], "again", 10)
				return len(one.Runs()) > 0
			})
		})
	}
}

// TestRefusalTellsWhenTargetsReturn guards against callers that are told to return before any target takes requests
// again: their one return met the same refusal.
func TestRefusalTellsWhenTargetsReturn(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	rn.RefuseFor = 7 * time.Second
	rn.Then(standin.Refuse)
	for _, id := range []string{"r-1", "r-2"} {
		started := time.Now()
		got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: id, Key: "k-1", Body: "b"})
		if got.status != http.StatusServiceUnavailable {
			t.Fatalf("%s got %d", id, got.status)
		}
		wait := got.facts().RetryAfter
		if wait < 6*time.Second || wait > 8*time.Second {
			t.Errorf("%s was told to return after %s", id, wait)
		}
		if took := time.Since(started); took > 500*time.Millisecond {
			t.Errorf("%s was refused after %s", id, took)
		}
	}
}
