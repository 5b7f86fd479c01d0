package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/locality"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestTwoDataCentres guards against requests that leave the host's data centre without need, against requests that are not served once
// its targets leave, and against requests that are divided where the settings or the configuration don't enable it.
func TestTwoDataCentres(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		kvBytes int
		mode    locality.Mode
		without mechanism.Set
		divided bool
	}{
		{name: "default", kvBytes: 16 << 10},
		{name: "fetches", kvBytes: 16 << 10, mode: locality.Auto, divided: true},
		{name: "large cache", kvBytes: 36 << 10, mode: locality.Auto},
		{name: "always on", kvBytes: 36 << 10, mode: locality.On, divided: true},
		{name: "off", kvBytes: 16 << 10, mode: locality.Off},
		{name: "disabled", kvBytes: 16 << 10, mode: locality.Auto, without: mechanism.Set{mechanism.Locality: true}},
		{name: "fetches are disabled", kvBytes: 16 << 10, mode: locality.Auto, without: mechanism.Set{mechanism.KVFetch: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.ConfigureFetch(3, tc.kvBytes, 200_000, true, "k-1")
			local, remote := st.runner("i-1", standin.ModelService), st.runner("i-2", standin.ModelService)
			st.store.PutTarget(remote.ID, remote.Entry(standin.ModelService, "dc-b", "ready"))
			for _, rn := range []*standin.Runner{local, remote} {
				rn.Events, rn.Gap = 3, time.Millisecond
			}
			ht := st.start("host-1", true, func(set *settings.Entry) { set.RemoteTraffic, set.Without = tc.mode, tc.without })
			gauge := `chestnutroad_leaving_share{service="model"}`
			if tc.divided {
				ht.eventually(3*time.Second, "the host has a share", func() bool { return ht.metric(gauge) == "0" })
			}
			const calls = 12
			call := func(number int) {
				got := ht.call(t.Context(), standin.Call{
					ID: fmt.Sprint("r-", number), Key: "k-1", Method: http.MethodPost, Path: standin.ChatPath + "x", Body: "b",
					Prefix: fmt.Sprintf("chat-%d:100,own-%d:50", number, number),
				})
				if got.err != nil || got.status != http.StatusOK || got.body != standin.Events(3) {
					t.Fatalf("request %d: status %d, error %v, body %q\n%s", number, got.status, got.err, got.body, ht.log)
				}
			}
			for number := range calls {
				call(number)
			}
			if left := len(remote.Runs()); tc.divided != (left == 0) {
				t.Errorf("%d of %d requests left", left, calls)
			}
			if line := ht.log.line(`"Left":false`); tc.divided != strings.Contains(line, `"LeftReason":"`) {
				t.Errorf("the log has the line %q", line)
			}
			st.store.PutTarget(local.ID, local.Entry(standin.ModelService, "dc-a", "draining"))
			ht.eventually(3*time.Second, "the host knows that the target leaves", func() bool {
				return ht.metric(`chestnutroad_targets{state="Leaving"}`) == "1"
			})
			before := len(remote.Runs())
			for number := range calls {
				call(calls + number)
			}
			if left := len(remote.Runs()) - before; left != calls {
				t.Errorf("%d of %d requests left a data centre without targets", left, calls)
			}
			if !tc.divided {
				if ht.metric(gauge) != "" || strings.Contains(ht.log.String(), "LeftReason") {
					t.Errorf("requests are divided: share %q\n%s", ht.metric(gauge), ht.log)
				}
				return
			}
			ht.eventually(3*time.Second, "the share is one", func() bool { return ht.metric(gauge) == "1" })
			if count := ht.metric(`chestnutroad_requests_left_total{service="model",reason="NoTarget"}`); count != fmt.Sprint(calls) {
				t.Errorf("%q requests are counted, want %d", count, calls)
			}
			if line := ht.log.line("share of requests that leave the data centre changed"); !strings.Contains(line, `"Service":"model"`) ||
				!strings.Contains(line, `"Share":1`) {
				t.Errorf("the log has the line %q", line)
			}
			if line := ht.log.line(`"Left":true`); !strings.Contains(line, `"LeftReason":"NoTarget"`) {
				t.Errorf("the log has the line %q", line)
			}
		})
	}
}
