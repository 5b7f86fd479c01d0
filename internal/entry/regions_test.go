package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// regionConfiguration has a rule without and one with allowed regions, and teams without and with them.
const regionConfiguration = `{"version":%d,"routes":[
{"name":"any","host":"a.example","path_prefix":"/any/","route_kind":"idempotent","timeout_ms":2000,"latency_goal_ms":500,"service":"desk","max_attempts":3},
{"name":"two","host":"a.example","path_prefix":"/two/","route_kind":"idempotent","timeout_ms":2000,"latency_goal_ms":500,"service":"desk","max_attempts":3,"allowed_regions":["r-1","r-2"]}],
"services":[{"name":"desk","max_connections":50}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t-any","api_keys":["k-any"]},{"name":"t-one","api_keys":["k-one"],"allowed_regions":["r-2"]},
{"name":"t-none","api_keys":["k-none"],"allowed_regions":["r-9"]}]}`

// TestRegions guards against requests that reach a target outside of the regions that their route and their team allow, or one whose region
// is unknown, and against a refusal that comes late, without the reason or without a time after which to retry.
func TestRegions(t *testing.T) {
	t.Parallel()
	es := &evacuationSite{site: newSite(t)}
	es.store.PutConfiguration(fmt.Sprintf(regionConfiguration, 3))
	for _, zone := range zones {
		rn := es.runner("desk-"+zone, standin.DeskService)
		es.store.PutTarget(rn.ID, rn.Entry(standin.DeskService, zone, "ready"))
		es.runners = append(es.runners, rn)
	}
	// The region of dc-c is unknown.
	regions := map[chestnutroad.DataCentreID]chestnutroad.RegionID{"dc-a": "r-1", "dc-b": "r-2"}
	ht := es.startIn("dc-a", func(set *settings.Entry) { set.Regions = regions })
	cases := []struct {
		path, key string
		// outside are the data centres that no request may reach; refused is true when none is left.
		outside []string
		refused bool
	}{
		{"/any/x", "k-any", nil, false},
		{"/any/x", "k-one", []string{"dc-a", "dc-c"}, false},
		{"/any/x", "k-none", zones, true},
		{"/two/x", "k-any", []string{"dc-c"}, false},
		{"/two/x", "k-one", []string{"dc-a", "dc-c"}, false},
		{"/two/x", "k-none", zones, true},
	}
	for _, tc := range cases {
		before := es.runsIn(tc.outside...)
		for index := range callsPerHost {
			started := time.Now()
			got := ht.call(t.Context(), standin.Call{Method: http.MethodGet, Path: tc.path, Key: tc.key, ID: fmt.Sprintf("%s-%s-%d", tc.path, tc.key, index)})
			switch {
			case !tc.refused && got.status != http.StatusOK:
				t.Errorf("%s with %s: got status %d\n%s", tc.path, tc.key, got.status, ht.log)
			case tc.refused && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" ||
				!strings.Contains(got.body, "no target of the service is in an allowed region") || time.Since(started) > 500*time.Millisecond):
				t.Errorf("%s with %s: got status %d, header %v, body %q after %s", tc.path, tc.key, got.status, got.header, got.body, time.Since(started))
			}
		}
		if got := es.runsIn(tc.outside...) - before; got > 0 {
			t.Errorf("%s with %s: %d requests reached targets in %v", tc.path, tc.key, got, tc.outside)
		}
	}
	// A retry after a failure stays inside too: the only target that k-one may reach fails its requests.
	es.runners[1].SetDefault(standin.FailRun)
	before := es.runsIn("dc-a", "dc-c")
	for index := range callsPerHost {
		ht.call(t.Context(), standin.Call{Method: http.MethodGet, Path: "/any/x", Key: "k-one", ID: fmt.Sprintf("failing-%d", index)})
	}
	if got := es.runsIn("dc-a", "dc-c") - before; got > 0 {
		t.Errorf("%d retries reached targets outside of the allowed regions", got)
	}
}
