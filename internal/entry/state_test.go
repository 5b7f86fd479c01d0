package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// applyTimeout is the time within which a change in the store must take effect.
const applyTimeout = 2 * time.Second

// stockStatus returns the status of a stock lookup with the key.
func stockStatus(ht *host, key string) int {
	return ht.call(ht.t.Context(), standin.Call{Method: http.MethodGet, Path: "/stock/x", ID: "r", Key: key}).status
}

// TestConfigurationInForce guards against a configuration that is not active within 2 s, so that a revoked key still works, for
// example because a waiting read of the store misses the change.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		disrupt func(st *site)
	}{
		{"undisturbed", func(*site) {}},
		{"waiting reads miss changes", func(st *site) { st.store.MissWakeups(true) }},
		{"the store deleted older records", func(st *site) { st.store.Compact() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			st.runner("i-1", "desk")
			ht := st.start("host-1", true)
			tc.disrupt(st)
			time.Sleep(100 * time.Millisecond)
			st.store.Configure(8, 1, "k-2")
			ht.eventually(applyTimeout, "the key is refused", func() bool {
				return stockStatus(ht, "k-1") == http.StatusUnauthorized
			})
			if got := stockStatus(ht, "k-2"); got != http.StatusOK {
				t.Errorf("the remaining key got status %d", got)
			}
			st.store.Configure(7, 1, "k-1", "k-2")
			time.Sleep(300 * time.Millisecond)
			if got := stockStatus(ht, "k-1"); got != http.StatusUnauthorized {
				t.Errorf("an earlier version became active again: status %d", got)
			}
		})
	}
}

// TestTargetUpdates guards against requests to targets that are leaving or removed, and against invalid entries of other
// writers that add a target or hide the others.
func TestTargetUpdates(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	first, second := st.runner("i-1", "desk"), st.runner("i-2", "desk")
	ht := st.start("host-1", true)
	st.store.PutTarget("i-3", `{"service":"desk"}`)
	st.store.PutTarget("i-4", "\xff\x00")
	st.store.PutTarget("i-1", first.Entry("desk", "dc-a", "draining"))
	ht.eventually(applyTimeout, "the leaving target gets no requests", func() bool {
		before := len(first.Runs())
		for range 6 {
			if got := stockStatus(ht, "k-1"); got != http.StatusOK {
				t.Fatalf("got status %d", got)
			}
		}
		return len(first.Runs()) == before
	})
	if len(second.Runs()) == 0 {
		t.Error("the other target got no request")
	}
	st.store.PutTarget("i-2", "")
	ht.eventually(applyTimeout, "no target is left", func() bool {
		return stockStatus(ht, "k-1") == http.StatusServiceUnavailable
	})
}

// TestReusedAddress guards against a request that runs at another target which now has the address of the chosen one.
func TestReusedAddress(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	rn.ID = "i-9"
	got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: "r-1", Key: "k-1", Body: "b"})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(rn.Runs()) != 0 {
		t.Errorf("got status %d, %d runs", got.status, len(rn.Runs()))
	}
}

// TestStoreUnreachable guards against a host that keeps an old configuration, or never gets one, because only other hosts can
// reach the store.
func TestStoreUnreachable(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	connected := st.start("host-1", true)
	down := standin.NewStore()
	t.Cleanup(down.Close)
	down.SetFault(standin.Silent)
	isolated := st.start("host-2", false, func(set *settings.Entry) { set.StoreAddress = down.Address() })
	isolated.eventually(3*time.Second, "the host starts with the state of another host", isolated.isReady)
	st.store.Configure(5, 1, "k-2")
	for _, ht := range []*host{connected, isolated} {
		ht.eventually(applyTimeout, "the key is refused", func() bool {
			return stockStatus(ht, "k-1") == http.StatusUnauthorized
		})
	}
}

// TestOneHostReadsTheStore guards against calls of the store by each host, which cost money. While one host relays, the others
// read nothing.
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
		t.Errorf("%d calls in %d s, want at most 3 per second\n%s", calls, seconds, third.log)
	}
}

// TestRemovalAfterOutage guards against requests to a target that was removed after an outage of the store had ended. It must
// get none from 2 s after its removal.
func TestRemovalAfterOutage(t *testing.T) {
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

// TestEntriesExpireDuringOutage guards against empty pools after an outage of the store, during which the entries of running
// targets expire, and against targets that stay in use although their entry does not come back.
func TestEntriesExpireDuringOutage(t *testing.T) {
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
		t.Errorf("got status %d while the target may come back\n%s", got, ht.log)
	}
	ht.eventually(4*time.Second, "the target is removed", func() bool {
		return stockStatus(ht, "k-1") == http.StatusServiceUnavailable
	})
	st.store.PutTarget("i-1", rn.Entry("desk", "dc-a", "ready"))
	ht.eventually(applyTimeout, "the target is back", func() bool { return stockStatus(ht, "k-1") == http.StatusOK })
}
