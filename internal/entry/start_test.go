package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestSeedsAreFallback guards against starting hosts that call the seeds although the store answers. When all hosts started at
// the same time after a power failure, each fetched the state of three seeds while it read the store: the seeds' links were
// full, each host's link carried the same configuration four times, and a start took 1.3 to 1.8 s. Seeds are called once the
// store has failed or does not answer.
func TestSeedsAreFallback(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fault standin.Fault
		// min and max bound the calls to the seed within the time; a seed that is down at first is called again.
		min, max int64
		within   time.Duration
	}{
		{"store answers", standin.Healthy, 0, 0, 1500 * time.Millisecond},
		{"store is busy", standin.Busy, 1, 1, 500 * time.Millisecond},
		{"store stays busy", standin.Busy, 2, 3, 2500 * time.Millisecond},
		{"store does not answer", standin.Silent, 1, 2, 1500 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			st.runner("i-1", "desk")
			st.store.SetFault(tc.fault)
			seed := reserveAddress(t)
			var config net.ListenConfig
			listener, err := config.Listen(t.Context(), "tcp", netip.AddrPortFrom(seed, peerPort).String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			var calls atomic.Int64
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					calls.Add(1)
					_ = conn.Close()
				}
			}()
			st.start("host-1", false, func(set *settings.Entry) {
				set.Seeds = []netip.AddrPort{netip.AddrPortFrom(seed, callerPort)}
			})
			time.Sleep(tc.within)
			if count := calls.Load(); count < tc.min || count > tc.max {
				t.Errorf("the seed was called %d times, want %d to %d", count, tc.min, tc.max)
			}
		})
	}
}

// TestTargetsFromAnotherHost guards against hosts that all read a long list of targets from the store when they start. With
// 300 hosts and 3,000 targets that took 6 s, and each host started over when its read timed out.
func TestTargetsFromAnotherHost(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	// The store's pages have three records, so that five targets take two pages.
	for index := range 5 {
		st.runner(fmt.Sprintf("i-%d", index), "desk")
	}
	hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
	hosts[1].eventually(5*time.Second, "a host relays", func() bool {
		return strings.Contains(hosts[0].log.String()+hosts[1].log.String(), `"Relaying":true`)
	})
	last := st.start("host-3", true, func(set *settings.Entry) { set.Processors = 0.1 })
	// A host is ready before it logs where its first list of targets came from.
	var listed string
	last.eventually(time.Second, "the host logs the source of its targets", func() bool {
		listed = last.log.line(`"Message":"targets listed"`)
		return listed != ""
	})
	if !strings.Contains(listed, `"Source":"host `) {
		t.Errorf("the targets did not come from another host: %s\n%s", listed, last.log)
	}
	if got := stockStatus(last, "k-1"); got != http.StatusOK {
		t.Errorf("got status %d", got)
	}
}
