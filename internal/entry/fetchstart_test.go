package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// small makes a host one that prefers the copy of a larger host at its start.
func small(set *settings.Entry) { set.Processors = 0.1 }

// TestStateFromLargerHost guards against small hosts that read a large configuration from the store when they start: on a link of
// 10 Mbit/s that took 0.6 s, in which a fleet that had lost power refused its callers.
func TestStateFromLargerHost(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	large := []*host{st.start("host-1", true), st.start("host-2", true)}
	large[1].eventually(5*time.Second, "both hosts know each other", func() bool {
		return strings.Contains(large[0].log.String()+large[1].log.String(), `"Relaying":true`)
	})
	last := st.start("host-3", true, small)
	// The host is ready just before it writes the line.
	last.awaitLog(`"Message":"configuration in force"`)
	inForce := last.log.line(`"Message":"configuration in force"`)
	if !strings.Contains(inForce, `"Source":"host `) {
		t.Errorf("the configuration did not come from another host: %s", inForce)
	}
	if strings.Contains(last.log.String(), `"Message":"reading of the store changed"`) {
		t.Errorf("the host read the store although a larger host sent its copy:\n%s", last.log)
	}
	st.store.Configure(4, 1, "k-1", "k-3")
	last.eventually(2*time.Second, "the next version is in force", func() bool { return stockStatus(last, "k-3") == http.StatusOK })
}

// TestStartWithoutLargerHosts guards against a small host that waits for a larger one although none answers, or although the list
// of hosts can't be read.
func TestStartWithoutLargerHosts(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		prepare func(st *site)
	}{
		{"first host", func(*site) {}},
		{"larger hosts ended", func(st *site) {
			for _, id := range []string{"host-1", "host-2"} {
				ended := st.start(id, true)
				ended.stop()
				ended.ended <- <-ended.ended
			}
		}},
		{"list of hosts late", func(st *site) {
			st.store.SetFault(standin.Busy)
			time.AfterFunc(200*time.Millisecond, func() { st.store.SetFault(standin.Healthy) })
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			st.runner("i-1", "desk")
			tc.prepare(st)
			last := st.start("host-3", false, small)
			last.eventually(2*time.Second, "the host is ready", last.isReady)
			if got := stockStatus(last, "k-1"); got != http.StatusOK {
				t.Errorf("got status %d", got)
			}
		})
	}
}
