package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chestnutroad/chestnutroad/internal/operator"
)

func get(t *testing.T, hd http.Handler, method, path string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	hd.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), method, path, http.NoBody))
	return recorder
}

// TestPaths guards against paths that are missing, that serve profiles although profiling is not enabled, or that answer
// with the wrong status or content.
func TestPaths(t *testing.T) {
	t.Parallel()
	orders := operator.Reason{Part: "Orders", Message: "no base", Partial: true}
	draining := operator.Reason{Part: "Host", Message: "draining"}
	cases := []struct {
		Name, Method, Path string
		Reasons            []operator.Reason
		Profiling          bool
		Status             int
		Contains           string
	}{
		{"Metrics", http.MethodGet, "/metrics", nil, false, http.StatusOK, "requests_total{team=\"a\"} 3"},
		{"ProcessMetrics", http.MethodGet, "/metrics", nil, false, http.StatusOK, "process_resident_memory_bytes"},
		{"Health", http.MethodGet, "/health", []operator.Reason{draining}, false, http.StatusOK, `"Healthy": true`},
		{"Ready", http.MethodGet, "/ready", nil, false, http.StatusOK, `"Reasons": []`},
		{"PartlyReady", http.MethodGet, "/ready", []operator.Reason{orders}, false, http.StatusOK, "no base"},
		{"NotReady", http.MethodGet, "/ready", []operator.Reason{orders, draining}, false, http.StatusServiceUnavailable, "draining"},
		{"Status", http.MethodGet, "/status", nil, false, http.StatusOK, `"Host": "h1"`},
		{"Post", http.MethodPost, "/status", nil, false, http.StatusMethodNotAllowed, ""},
		{"NoProfiles", http.MethodGet, "/debug/pprof/", nil, false, http.StatusNotFound, ""},
		{"NoCommandLine", http.MethodGet, "/debug/pprof/cmdline", nil, false, http.StatusNotFound, ""},
		{"Profiles", http.MethodGet, "/debug/pprof/", nil, true, http.StatusOK, "goroutine"},
	}
	for _, cs := range cases {
		t.Run(cs.Name, func(t *testing.T) {
			t.Parallel()
			set := metrics.NewSet()
			set.NewCounter(`requests_total{team="a"}`).Add(3)
			hd := operator.New(
				operator.WithMetrics(set),
				operator.WithReadiness(func() []operator.Reason { return cs.Reasons }),
				operator.WithStatus(func() operator.Status { return operator.Status{Host: "h1"} }),
				operator.WithProfiling(cs.Profiling),
			)
			answer := get(t, hd, cs.Method, cs.Path)
			if answer.Code != cs.Status {
				t.Errorf("status %d, want %d", answer.Code, cs.Status)
			}
			if !strings.Contains(answer.Body.String(), cs.Contains) {
				t.Errorf("answer does not contain %q: %s", cs.Contains, answer.Body)
			}
		})
	}
}

// TestStatusRoundTrip guards against a status that the status command can't decode.
func TestStatusRoundTrip(t *testing.T) {
	t.Parallel()
	sent := operator.Status{Host: "h1", Shards: []operator.Shard{{Pool: "s/a", Own: true, Targets: []operator.Target{{Target: "e1", Work: 5}}}}}
	hd := operator.New(operator.WithStatus(func() operator.Status { return sent }))
	var read operator.Status
	if err := json.Unmarshal(get(t, hd, http.MethodGet, "/status").Body.Bytes(), &read); err != nil {
		t.Fatal(err)
	}
	if read.Host != "h1" || len(read.Shards) != 1 || read.Shards[0].Targets[0].Work != 5 {
		t.Errorf("decoded status %+v", read)
	}
}
