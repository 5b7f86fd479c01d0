package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const applyTimeout = 2 * time.Second

// stockStatus returns the status of a stock lookup with the key.
func stockStatus(ht *host, key string) int {
	return ht.call(ht.t.Context(), standin.Call{Method: http.MethodGet, Path: "/stock/x", ID: "r", Key: key}).status
}

// TestConfigurationInForce guards against a configuration that is not in force within 2 s: a key that was taken away
// still works, or the store's read that waits misses the change (warta trouble-3, seed 794556303936).
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		upset func(st *site)
	}{
		{"calm", func(*site) {}},
		{"reads that wait miss changes", func(st *site) { st.store.MissWakes(true) }},
		{"the store forgot its records", func(st *site) { st.store.Forget() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			st.runner("i-1", "desk")
			ht := st.start("host-1", true)
			tc.upset(st)
			time.Sleep(100 * time.Millisecond)
			st.store.Configure(8, 1, "k-2")
			ht.eventually(applyTimeout, "the key is refused", func() bool {
				return stockStatus(ht, "k-1") == http.StatusUnauthorized
			})
			if got := stockStatus(ht, "k-2"); got != http.StatusOK {
				t.Errorf("the kept key got %d", got)
			}
			st.store.Configure(7, 1, "k-1", "k-2")
			time.Sleep(300 * time.Millisecond)
			if got := stockStatus(ht, "k-1"); got != http.StatusUnauthorized {
				t.Errorf("an earlier version came back in force: %d", got)
			}
		})
	}
}

// TestTargetsFollow guards against requests to targets that leave or are gone, and against entries from other writers
// that name a target or hide the others.
func TestTargetsFollow(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	one, two := st.runner("i-1", "desk"), st.runner("i-2", "desk")
	ht := st.start("host-1", true)
	st.store.PutTarget("i-3", `{"service":"desk"}`)
	st.store.PutTarget("i-4", "\xff\x00")
	st.store.PutTarget("i-1", one.Entry("desk", "dc-a", "draining"))
	ht.eventually(applyTimeout, "the leaving target gets no requests", func() bool {
		before := len(one.Runs())
		for range 6 {
			if got := stockStatus(ht, "k-1"); got != http.StatusOK {
				t.Fatalf("got %d", got)
			}
		}
		return len(one.Runs()) == before
	})
	if len(two.Runs()) == 0 {
		t.Error("the other target got no request")
	}
	st.store.PutTarget("i-2", "")
	ht.eventually(applyTimeout, "no target is left", func() bool {
		return stockStatus(ht, "k-1") == http.StatusServiceUnavailable
	})
}

// TestReusedAddress guards against a request that runs at a target which took over the address of another one.
func TestReusedAddress(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	rn.ID = "i-9"
	got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: "r-1", Key: "k-1", Body: "b"})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(rn.Runs()) != 0 {
		t.Errorf("got %d, %d runs", got.status, len(rn.Runs()))
	}
}

// TestCutOffFromTheStore guards against a host that keeps an old configuration, or never gets one, because the store does
// not serve it while it serves another host.
func TestCutOffFromTheStore(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	served := st.start("host-1", true)
	down := standin.NewStore()
	t.Cleanup(down.Close)
	down.SetFault(standin.Silent)
	cut := st.start("host-2", false, func(set *settings.Entry) { set.StoreAddress = down.Address() })
	cut.eventually(3*time.Second, "the host starts with the state of another one", cut.isReady)
	st.store.Configure(5, 1, "k-2")
	for _, ht := range []*host{served, cut} {
		ht.eventually(applyTimeout, "the key is refused", func() bool {
			return stockStatus(ht, "k-1") == http.StatusUnauthorized
		})
	}
}

// TestOneHostReadsTheStore guards against calls of the store by each host, which are priced: while one relays, the
// others read nothing.
func TestOneHostReadsTheStore(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	st.start("host-1", true)
	st.start("host-2", true)
	third := st.start("host-3", true)
	time.Sleep(4 * time.Second)
	before := st.store.Calls("/log-read") + st.store.Calls("/log-newest")
	const seconds = 3
	time.Sleep(seconds * time.Second)
	calls := st.store.Calls("/log-read") + st.store.Calls("/log-newest") - before
	// One host makes 1.4 calls a second for the targets and 0.8 for the configuration.
	if calls > 3*seconds {
		t.Errorf("%d calls in %d s\n%s", calls, seconds, third.log)
	}
}

// TestRemovalAfterTrouble guards against requests to a target that left after the host's trouble with the store was over:
// it has to get none from 2 s on (kaffivakt trouble-1, seed 1032208799209).
func TestRemovalAfterTrouble(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	st.store.SetFault(standin.Busy)
	time.Sleep(time.Second)
	st.store.SetFault(standin.Healthy)
	time.Sleep(1700 * time.Millisecond)
	st.store.PutTarget("i-1", "")
	ht.eventually(applyTimeout, "the target gets no requests", func() bool {
		return stockStatus(ht, "k-1") == http.StatusServiceUnavailable
	})
}

// TestEntriesLapseInAnOutage guards against pools that are empty after an outage of the store, in which the entries of
// targets that live have lapsed, and against targets that stay although their entry does not come back.
func TestEntriesLapseInAnOutage(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	st.store.SetFault(standin.Busy)
	time.Sleep(time.Second)
	st.store.PutTarget("i-1", "")
	st.store.SetFault(standin.Healthy)
	time.Sleep(1500 * time.Millisecond)
	if got := stockStatus(ht, "k-1"); got != http.StatusOK {
		t.Errorf("got %d while the target may come back\n%s", got, ht.log)
	}
	ht.eventually(4*time.Second, "the target is gone", func() bool {
		return stockStatus(ht, "k-1") == http.StatusServiceUnavailable
	})
	st.store.PutTarget("i-1", rn.Entry("desk", "dc-a", "ready"))
	ht.eventually(applyTimeout, "the target is back", func() bool { return stockStatus(ht, "k-1") == http.StatusOK })
}
