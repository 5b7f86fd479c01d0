package configcheck_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad/internal/configcheck"
	"github.com/chestnutroad/chestnutroad/platform"
)

const valid = `{"version":7,"routes":[
{"name":"chat","host":"a.example","path_prefix":"/chat/","route_kind":"streaming","timeout_ms":4000,"latency_goal_ms":500,"service":"model","max_attempts":2,"stream_resume":true,"itl_target_ms":200,"allowed_regions":["r-1","r-2"]},
{"name":"order","host":"a.example","path_prefix":"/order/","route_kind":"non_idempotent","timeout_ms":1000,"backends":[{"service":"desk","weight":9},{"service":"spare","weight":0}],"max_attempts":1}],
"services":[{"name":"desk","max_connections":50,"cold_start_s":3,"cold_per_s":2},{"name":"spare"},
{"name":"model","inference_engine":{"slots":8,"kv_capacity_tokens":1000,"kv_bytes":16384,"link_mbps":200000,"replicas":true}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"sales","api_keys":["secret-1","secret-2"],"allowed_regions":["r-2"]},{"name":"stock","api_keys":["secret-3"]}]}`

// TestChecks guards against a check that does not find its fault, names the wrong field or reports a valid configuration, and against a
// check without a case.
func TestChecks(t *testing.T) {
	t.Parallel()
	if found := configcheck.Check([]byte(valid)); len(found) > 0 {
		t.Errorf("valid configuration: got %v", found)
	}
	cases := []struct {
		check, path string
		severity    configcheck.Severity
		old, text   string
	}{
		{"Rejected", "config", configcheck.Error, `"version":7`, `"version":-7`},
		{"Rejected", "config", configcheck.Error, `["secret-3"]`, `["secret-3"`},
		{"Rejected", "version", configcheck.Error, `"version":7,`, ``},
		{"Rejected", "routes[1]", configcheck.Error, `non_idempotent`, `other`},
		{"Rejected", "tenants[0]", configcheck.Error, `["r-2"]`, `["r-2",""]`},
		{"UnknownService", "routes[0].service", configcheck.Error, `"service":"model"`, `"service":"other"`},
		{"UnknownService", "routes[1].backends[1].service", configcheck.Error, `"service":"spare"`, `"service":"spar"`},
		{"Name", "routes[1].name", configcheck.Error, `"name":"order"`, `"name":"chat"`},
		{"Name", "services[1].name", configcheck.Error, `{"name":"spare"}`, `{"name":"desk"}`},
		{"Name", "tenants[1].name", configcheck.Error, `"name":"stock"`, `"name":"sales"`},
		{"Key", "tenants[1].api_keys[0]", configcheck.Error, `secret-3`, `secret-1`},
		{"Key", "tenants[0].api_keys[1]", configcheck.Error, `secret-2`, ``},
		{"Prefix", "routes[1].path_prefix", configcheck.Error, `/order/`, `/order`},
		{"Prefix", "routes[1].path_prefix", configcheck.Error, `/order/`, `order/`},
		{"Weight", "routes[1].backends[0].weight", configcheck.Error, `"weight":9`, `"weight":-9`},
		{"Weight", "routes[1].backends[0].weight", configcheck.Error, `"weight":9`, `"weight":9e300`},
		{"Weight", "routes[1].backends", configcheck.Error, `"weight":9`, `"weight":0`},
		{"Range", "routes[0].timeout_ms", configcheck.Error, `"timeout_ms":4000`, `"timeout_ms":4e9`},
		{"Range", "routes[0].latency_goal_ms", configcheck.Error, `"latency_goal_ms":500`, `"latency_goal_ms":-1`},
		{"Range", "routes[0].itl_target_ms", configcheck.Error, `"itl_target_ms":200`, `"itl_target_ms":-1`},
		{"Range", "routes[1].max_attempts", configcheck.Error, `"max_attempts":1`, `"max_attempts":-1`},
		{"Range", "services[0].max_connections", configcheck.Error, `"max_connections":50`, `"max_connections":-50`},
		{"Range", "services[0].cold_start_s", configcheck.Error, `"cold_start_s":3`, `"cold_start_s":3601`},
		{"Range", "services[0].cold_per_s", configcheck.Error, `"cold_per_s":2`, `"cold_per_s":-2`},
		{"Range", "services[2].inference_engine.slots", configcheck.Error, `"slots":8`, `"slots":-8`},
		{"Range", "services[2].inference_engine.kv_capacity_tokens", configcheck.Error, `tokens":1000`, `tokens":-1`},
		{"Range", "limits.max_header_bytes", configcheck.Error, `"max_header_bytes":16384`, `"max_header_bytes":16384000`},
		{"Range", "limits.max_body_bytes", configcheck.Error, `"max_body_bytes":4096`, `"max_body_bytes":-1`},
		{"Range", "limits.header_timeout_ms", configcheck.Error, `"header_timeout_ms":3000`, `"header_timeout_ms":-1`},
		{"Range", "limits.idle_timeout_ms", configcheck.Error, `"idle_timeout_ms":15000`, `"idle_timeout_ms":1e12`},
		{"NoTimeout", "routes[1].timeout_ms", configcheck.Error, `"timeout_ms":1000,`, ``},
		{"Ignored", "services[2].inference_engine.kv_bytes", configcheck.Error, `"kv_bytes":16384`, `"kv_bytes":-1`},
		{"Ignored", "services[2].inference_engine.replicas", configcheck.Error, `"replicas":true`, `"replicas":2`},
		{"Hidden", "routes[1]", configcheck.Error, `"host":"a.example","path_prefix":"/order/"`, `"host":"A.Example","path_prefix":"/chat/"`},
		{"NoBackend", "routes[0].backends", configcheck.Error, `"service":"model",`, ``},
		{"UnusedService", "services[1]", configcheck.Warning, `,{"service":"spare","weight":0}`, ``},
		{"NoKey", "tenants[1].api_keys", configcheck.Warning, `["secret-3"]`, `[]`},
		{"Regions", "tenants[0].allowed_regions", configcheck.Warning, `["r-2"]`, `["r-3"]`},
		{"LatencyTarget", "routes[0].latency_goal_ms", configcheck.Warning, `"latency_goal_ms":500`, `"latency_goal_ms":4001`},
		{"EventGap", "routes[0].itl_target_ms", configcheck.Warning, `"itl_target_ms":200`, `"itl_target_ms":4001`},
		{"HeaderTimeout", "limits.header_timeout_ms", configcheck.Warning, `"header_timeout_ms":3000`, `"header_timeout_ms":15001`},
		{"Attempts", "routes[1].max_attempts", configcheck.Warning, `"max_attempts":1`, `"max_attempts":2`},
		{"Attempts", "routes[0].max_attempts", configcheck.Warning, `"stream_resume":true`, `"stream_resume":false`},
		{"ColdTime", "services[0].cold_start_s", configcheck.Warning, `,"cold_per_s":2`, ``},
		{"ColdRate", "services[0].cold_per_s", configcheck.Warning, `"cold_start_s":3,`, ``},
		{"Fetch", "services[2].inference_engine.kv_bytes", configcheck.Warning, `"link_mbps":200000,`, ``},
		{"Slots", "services[2].inference_engine.kv_capacity_tokens", configcheck.Warning, `"kv_capacity_tokens":1000,`, ``},
	}
	missing := configcheck.Names()
	for _, tc := range cases {
		missing = slices.DeleteFunc(missing, func(name string) bool { return name == tc.check })
		if strings.Count(valid, tc.old) != 1 {
			t.Errorf("%s %s: %q does not occur once in the valid configuration", tc.check, tc.path, tc.old)
		}
		found := configcheck.Check([]byte(strings.Replace(valid, tc.old, tc.text, 1)))
		if !slices.ContainsFunc(found, func(fd configcheck.Finding) bool {
			return fd.Check == tc.check && fd.Path == tc.path && fd.Severity == tc.severity
		}) {
			t.Errorf("%s with %s: got %v, want %s %s at %s", tc.old, tc.text, found, tc.severity, tc.check, tc.path)
		}
		if tc.severity == configcheck.Warning && (len(found) != 1 || configcheck.HasErrors(found)) {
			t.Errorf("%s with %s: got %v, want one warning", tc.old, tc.text, found)
		}
	}
	if len(missing) > 0 {
		t.Errorf("checks without a case: %v", missing)
	}
}

// TestCompare guards against changes that are not listed, or under another name, and against keys in the output.
func TestCompare(t *testing.T) {
	t.Parallel()
	next := strings.NewReplacer(`"version":7`, `"version":8`, `"name":"order"`, `"name":"orders"`, `"max_connections":50`, `"max_connections":60`,
		`"secret-1","secret-2"`, `"secret-2","secret-4","secret-5"`, `["secret-3"]`, `["secret-6"],"allowed_regions":[]`, `"kv_bytes":16384,`, ``, `"idle_timeout_ms":15000`, `"idle_timeout_ms":9000`).
		Replace(valid)
	lines := []string{
		`change: limits.idle_timeout_ms: 15000 -> 9000`,
		`change: routes["order"]: removed`,
		`change: routes["orders"]: added`,
		`change: services["desk"].max_connections: 50 -> 60`,
		`change: services["model"].inference_engine.kv_bytes: 16384 -> (none)`,
		`change: tenants["sales"].api_keys: 2 -> 3 keys, 2 added and 1 removed`,
		`change: tenants["stock"].api_keys: 1 -> 1 keys, 1 added and 1 removed`,
	}
	cases := []struct {
		name, inForce, next string
		want                []string
	}{
		{"changes", valid, next, lines},
		{"same version", valid, valid, []string{`error: version: 7 is not higher than 7, the version in force; hosts keep that`}},
		{
			"second entry of a name", `{"version":1,"services":[{"name":"a"},{"name":"a"}]}`, `{"version":2,"services":[{"name":"a"}]}`,
			[]string{`change: services["a", 2]: removed`},
		},
		{"no JSON", valid, `{`, nil},
	}
	for _, tc := range cases {
		got := []string(nil)
		for _, fd := range configcheck.Compare([]byte(tc.inForce), []byte(tc.next)) {
			got = append(got, fd.String())
		}
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: got\n%s\nwant\n%s", tc.name, strings.Join(got, "\n"), strings.Join(tc.want, "\n"))
		}
	}
	if found := configcheck.Compare([]byte(`{`), []byte(valid)); !configcheck.HasErrors(found) {
		t.Errorf("configuration in force that is no JSON: got %v, want an error", found)
	}
}

// TestSort guards against errors that are listed after the other findings, and against routes[10] before routes[2].
func TestSort(t *testing.T) {
	t.Parallel()
	got := configcheck.Sort([]configcheck.Finding{
		{Severity: configcheck.Change, Path: "a"},
		{Severity: configcheck.Error, Path: "routes[10]"},
		{Severity: configcheck.Warning, Path: "a"},
		{Severity: configcheck.Error, Path: "routes[2]", Message: "b"},
		{Severity: configcheck.Error, Path: "routes[2]", Message: "a"},
	})
	lines := make([]string, 0, len(got))
	for _, fd := range got {
		lines = append(lines, fd.String())
	}
	const want = "error: routes[2]: a|error: routes[2]: b|error: routes[10]: |warning: a: |change: a: "
	if text := strings.Join(lines, "|"); text != want {
		t.Errorf("got %s, want %s", text, want)
	}
}

// drawConfiguration draws a configuration with few different names and values, so that duplicates and references are frequent.
func drawConfiguration(rt *rapid.T) []byte {
	name := rapid.SampledFrom([]string{"", "a", "b", "A", "c\n]."})
	key := rapid.SampledFrom([]string{"", "secret-1", "secret-2", "secret-3"})
	number := rapid.OneOf(rapid.SampledFrom([]float64{0, 1, -1, 1000, 1e300, -1e300}), rapid.Float64Range(-10, 1e5))
	count := rapid.OneOf(rapid.SampledFrom([]int{0, 1, -1, 1 << 62}), rapid.IntRange(0, 9))
	optional := rapid.SampledFrom([]string{`null`, `1`, `-1`, `"x"`, `[]`, `{"y":null}`, `true`})
	var dc platform.ConfigurationRecord
	dc.Version = rapid.Uint64Range(0, 5).Draw(rt, "version")
	for range rapid.IntRange(0, 4).Draw(rt, "routes") {
		rr := platform.RouteRecord{
			Name: name.Draw(rt, "name"), Host: name.Draw(rt, "host"), PathPrefix: rapid.SampledFrom([]string{"", "/", "/a/", "a"}).Draw(rt, "prefix"),
			RouteKind: rapid.SampledFrom([]string{"idempotent", "non_idempotent", "streaming", "other"}).Draw(rt, "kind"),
			TimeoutMS: number.Draw(rt, "timeout"), LatencyGoalMS: number.Draw(rt, "latency"), ITLTargetMS: number.Draw(rt, "gap"),
			Service: name.Draw(rt, "service"), MaxAttempts: count.Draw(rt, "attempts"), Anonymous: rapid.Bool().Draw(rt, "anonymous"),
			AllowedRegions: rapid.SliceOfN(name, 0, 2).Draw(rt, "regions"), StreamResume: rapid.Bool().Draw(rt, "resume"),
		}
		for range rapid.IntRange(0, 2).Draw(rt, "backends") {
			rr.Backends = append(rr.Backends, platform.BackendRecord{Service: name.Draw(rt, "backend"), Weight: number.Draw(rt, "weight")})
		}
		dc.Routes = append(dc.Routes, rr)
	}
	for range rapid.IntRange(0, 3).Draw(rt, "services") {
		sr := platform.ServiceRecord{Name: name.Draw(rt, "name"), ColdStartS: number.Draw(rt, "time"), ColdPerS: number.Draw(rt, "rate")}
		if rapid.Bool().Draw(rt, "engine") {
			sr.Engine = &platform.EngineRecord{
				Slots: count.Draw(rt, "slots"), KVBytes: json.RawMessage(optional.Draw(rt, "bytes")),
				LinkMbps: json.RawMessage(optional.Draw(rt, "link")), Replicas: json.RawMessage(optional.Draw(rt, "replicas")),
			}
		}
		dc.Services = append(dc.Services, sr)
	}
	for range rapid.IntRange(0, 3).Draw(rt, "teams") {
		dc.Tenants = append(dc.Tenants, platform.TenantRecord{
			Name: name.Draw(rt, "name"), APIKeys: rapid.SliceOfN(key, 0, 3).Draw(rt, "keys"),
			AllowedRegions: rapid.SliceOfN(name, 0, 2).Draw(rt, "regions"),
		})
	}
	data, err := json.Marshal(dc)
	if err != nil {
		rt.Fatal(err)
	}
	return data
}

// TestRandomConfigurations guards against panics, keys and line ends in the output, a difference of a configuration from itself, a
// difference that depends on the direction, and a configuration that hosts reject but the checks don't, or the reverse.
func TestRandomConfigurations(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		first, second := drawConfiguration(rt), drawConfiguration(rt)
		found := configcheck.Check(first)
		_, err := platform.DecodeConfiguration(first)
		if rejected := slices.ContainsFunc(found, func(fd configcheck.Finding) bool { return fd.Check == "Rejected" }); rejected != (err != nil) {
			rt.Errorf("rejected %t, but the decoder returns %v", rejected, err)
		}
		changes := func(inForce, next []byte) int {
			compared := configcheck.Compare(inForce, next)
			found = append(found, compared...)
			return len(slices.DeleteFunc(slices.Clone(compared), func(fd configcheck.Finding) bool { return fd.Severity != configcheck.Change }))
		}
		if count := changes(first, first); count != 0 {
			rt.Errorf("%d differences of a configuration from itself", count)
		}
		if there, back := changes(first, second), changes(second, first); there != back {
			rt.Errorf("%d differences, but %d in the other direction", there, back)
		}
		for _, fd := range found {
			if line := fd.String(); strings.Contains(line, "secret") || strings.Contains(line, "\n") {
				rt.Errorf("key or line end in %q", line)
			}
		}
		configcheck.Check(rapid.SliceOf(rapid.Byte()).Draw(rt, "bytes"))
	})
}
