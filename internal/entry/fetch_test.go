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

// TestFetchByFurtherSends guards against retries, resumed streams and replacements of stalled targets that name no source, and
// against the target that broke off or stalled as the source.
func TestFetchByFurtherSends(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		end  standin.Behaviour
		// resumeAfter is the id of the last event that the first target has sent.
		resumeAfter string
	}{
		{"resumed stream", standin.Cut, "1"},
		{"stalled target", standin.Hang, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.ConfigureFetch(3, 16<<10, 200_000, true, "k-1")
			idle := map[*standin.Runner]bool{}
			for index := range 3 {
				rn := st.runner(fmt.Sprint("i-", index), standin.ModelService)
				rn.Events, rn.Gap = 3, 5*time.Millisecond
				idle[rn] = true
			}
			ht := st.start("host-1", true)
			// call sends a request and returns the runner that ran its part of the prompt for the first time.
			call := func(number int) *standin.Runner {
				got := ht.call(t.Context(), standin.Call{
					ID: fmt.Sprint("r-", number), Key: "k-1", Method: http.MethodPost, Path: standin.ChatPath + "x", Body: "b",
					Prefix: fmt.Sprintf("shared:9000,chat:1000,own-%d:50", number),
				})
				if got.err != nil || got.status != http.StatusOK || got.body != standin.Events(3) {
					t.Fatalf("request %d: status %d, error %v, body %q\n%s", number, got.status, got.err, got.body, ht.log)
				}
				for rn := range idle {
					if len(rn.Runs()) > 0 {
						delete(idle, rn)
						return rn
					}
				}
				t.Fatalf("request %d ran at no further target\n%s", number, ht.log)
				return nil
			}
			first := call(0)
			first.SetNext(standin.Refuse)
			second := call(1)
			if run := second.Runs()[0]; run.FetchFrom != first.Address().String() || run.FetchFailed {
				t.Errorf("the retry names the source %q, want %s, which refused the request", run.FetchFrom, first.Address())
			}
			// The first target, in the data centre of the third one, would come first if it could be a source.
			st.store.PutTarget(second.ID, second.Entry(standin.ModelService, "dc-b", "draining"))
			ht.eventually(3*time.Second, "the host knows that the target leaves", func() bool {
				return ht.metric(`chestnutroad_targets{state="Leaving"}`) == "1"
			})
			first.SetNext(tc.end)
			third := call(2)
			run := third.Runs()[0]
			if run.FetchFrom != second.Address().String() || run.ResumeAfter != tc.resumeAfter {
				t.Errorf("the send after %q names the source %q, want %s", run.ResumeAfter, run.FetchFrom, second.Address())
			}
		})
	}
}

// TestInvalidFetchFields guards against a configuration that is not applied for an invalid size of the KV cache, and against one of
// which nothing tells.
func TestInvalidFetchFields(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.ConfigureFetch(3, -1, 200_000, true, "k-1")
	ht := st.start("host-1", true)
	if line := ht.log.line("count as missing"); !strings.Contains(line, "service model: inference_engine.kv_bytes") {
		t.Errorf("the log has the line %q\n%s", line, ht.log)
	}
	if count := ht.metric("chestnutroad_configuration_fields_ignored_total"); count != "1" {
		t.Errorf("%q fields were counted, want 1", count)
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
