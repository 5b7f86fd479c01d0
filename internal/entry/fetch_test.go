package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/kvfetch"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestFetchFromEndedSource guards against requests that are not served because the source that they name has ended, and against
// sources that are named where fetches are off.
func TestFetchFromEndedSource(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		kvBytes  int
		replicas bool
		mode     kvfetch.Mode
		without  mechanism.Set
		named    bool
	}{
		{name: "replicas with a small cache", kvBytes: 16 << 10, replicas: true, named: true},
		{name: "large cache", kvBytes: 36 << 10, replicas: true},
		{name: "large cache, always on", kvBytes: 36 << 10, mode: kvfetch.On, named: true},
		{name: "no replicas", kvBytes: 16 << 10},
		{name: "off", kvBytes: 16 << 10, replicas: true, mode: kvfetch.Off},
		{name: "disabled", kvBytes: 16 << 10, replicas: true, without: mechanism.Set{mechanism.KVFetch: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.ConfigureFetch(3, tc.kvBytes, 200_000, tc.replicas, "k-1")
			targets := map[string]*standin.Runner{}
			for _, id := range []string{"i-1", "i-2"} {
				targets[id] = st.runner(id, standin.ModelService)
				targets[id].Events, targets[id].Gap = 3, 5*time.Millisecond
			}
			ht := st.start("host-1", true, func(set *settings.Entry) { set.KVFetch, set.Without = tc.mode, tc.without })
			call := func(number int) {
				got := ht.call(t.Context(), standin.Call{
					ID: fmt.Sprint("r-", number), Key: "k-1", Method: http.MethodPost, Path: standin.ChatPath + "x", Body: "b",
					Prefix: fmt.Sprintf("shared:9000,chat:1000,own-%d:50", number),
				})
				if got.err != nil || got.status != http.StatusOK || got.body != standin.Events(3) {
					t.Fatalf("request %d: status %d, error %v, body %q", number, got.status, got.err, got.body)
				}
			}
			call(0)
			source, other := targets["i-1"], targets["i-2"]
			if len(other.Runs()) > 0 {
				source, other = other, source
			}
			// The source leaves the list, and ends before the host knows that it is gone.
			st.store.PutTarget(source.ID, source.Entry(standin.ModelService, "dc-a", "draining"))
			ht.eventually(3*time.Second, "the host knows that the target leaves", func() bool {
				return ht.metric(`chestnutroad_targets{state="Leaving"}`) == "1"
			})
			source.Close()
			call(1)
			run := other.Runs()[0]
			if tc.named != (run.FetchFrom == source.Address().String()) || tc.named != run.FetchFailed || !tc.named && run.FetchFrom != "" {
				t.Errorf("the request names the source %q (failed %t), want %s: %t", run.FetchFrom, run.FetchFailed, source.Address(), tc.named)
			}
			// The target has the parts now.
			call(2)
			if run := other.Runs()[1]; run.FetchFrom != "" {
				t.Errorf("a request at a target with its parts names the source %q", run.FetchFrom)
			}
			if line := ht.log.line(`"FetchFrom":"` + source.ID); tc.named != strings.Contains(line, `"FetchReason":"Draining"`) {
				t.Errorf("the log has the line %q", line)
			}
			if count := ht.metric(`chestnutroad_kv_fetches_total{service="model",reason="Draining"}`); tc.named != (count == "1") {
				t.Errorf("the metric of fetches is %q", count)
			}
		})
	}
}

// metric returns the value of a metric of the host, or an empty string when it has none of the name.
func (ht *host) metric(name string) string {
	ht.t.Helper()
	req, err := http.NewRequestWithContext(ht.t.Context(), http.MethodGet, "http://"+ht.ready+"/metrics", http.NoBody)
	if err != nil {
		ht.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		ht.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		ht.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
