package configcheck

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/platform"
)

// The types of the document's records.
type (
	document = platform.ConfigurationRecord
	route    = platform.RouteRecord
	service  = platform.ServiceRecord
	team     = platform.TenantRecord
	backend  = platform.BackendRecord
)

type check struct {
	Name     string
	Severity Severity
	run      func(dc *document, rp *reporter)
}

var checkTable = []check{
	{"Rejected", Error, checkRejected},
	{"UnknownService", Error, checkUnknownServices},
	{"Name", Error, checkNames},
	{"Key", Error, checkKeys},
	{"Prefix", Error, routes("path_prefix", "the prefix does not begin and end with a slash; it matches other paths too, or none", badPrefix)},
	{"Weight", Error, checkWeights},
	{"Range", Error, checkRanges},
	{"NoTimeout", Error, routes("timeout_ms", "the timeout is zero or missing; requests that state no time of their own end at once", noTimeout)},
	{"Ignored", Error, checkIgnored},
	{"Hidden", Error, checkHidden},
	{"NoBackend", Error, routes("backends", "there is no backend; all requests are refused", noBackend)},
	{"UnusedService", Warning, checkUnusedServices},
	{"NoKey", Warning, checkTeamsWithoutKeys},
	{"Regions", Warning, checkRegions},
	{"LatencyTarget", Warning, routes("latency_goal_ms", "the latency target is above the timeout; no answer can be late", latencyAboveTimeout)},
	{"EventGap", Warning, routes("itl_target_ms", "the event gap target is above the timeout; stalled streams are not resumed", gapAboveTimeout)},
	{"HeaderTimeout", Warning, checkHeaderTimeout},
	{"Attempts", Warning, routes("max_attempts",
		"requests must not be repeated; more than one attempt only helps after sends that did not run", uselessAttempts)},
	{"ColdTime", Warning, services("cold_start_s", "there is a cold time without a cold rate; no target is ever cold", coldTimeOnly)},
	{"ColdRate", Warning, services("cold_per_s", "there is a cold rate without a cold time; it limits only targets that state a time", coldRateOnly)},
	{"Fetch", Warning, services("inference_engine.kv_bytes", "kv_bytes is stated without link_mbps; no KV cache is fetched", fetchWithoutLink)},
	{"Slots", Warning, services("inference_engine.kv_capacity_tokens", "the engine has slots but no KV capacity; it could hold no prompt", noCapacity)},
}

// Check returns the findings of all checks of a configuration, sorted.
func Check(data []byte) []Finding {
	dc, err := platform.ParseConfiguration(data)
	if err != nil {
		return []Finding{{Error, "Rejected", "config", err.Error() + "; hosts keep the version in force"}}
	}
	var findings []Finding
	for _, ck := range checkTable {
		rp := &reporter{severity: ck.Severity, check: ck.Name}
		ck.run(dc, rp)
		findings = append(findings, rp.findings...)
	}
	return Sort(findings)
}

// routes returns a check that reports the field of each route for which faulty returns true.
func routes(field, message string, faulty func(rt *route) bool) func(dc *document, rp *reporter) {
	return func(dc *document, rp *reporter) {
		for index := range dc.Routes {
			if faulty(&dc.Routes[index]) {
				rp.addf(fmt.Sprintf("routes[%d].%s", index, field), "route %q: %s", dc.Routes[index].Name, message)
			}
		}
	}
}

// services returns a check that reports the field of each service for which faulty returns true.
func services(field, message string, faulty func(sv *service) bool) func(dc *document, rp *reporter) {
	return func(dc *document, rp *reporter) {
		for index := range dc.Services {
			if faulty(&dc.Services[index]) {
				rp.addf(fmt.Sprintf("services[%d].%s", index, field), "service %q: %s", dc.Services[index].Name, message)
			}
		}
	}
}

func badPrefix(rt *route) bool {
	return !strings.HasPrefix(rt.PathPrefix, "/") || !strings.HasSuffix(rt.PathPrefix, "/")
}

func noTimeout(rt *route) bool { return rt.TimeoutMS == 0 }

func noBackend(rt *route) bool { return rt.Service == "" && len(rt.Backends) == 0 }

func latencyAboveTimeout(rt *route) bool { return rt.TimeoutMS > 0 && rt.LatencyGoalMS > rt.TimeoutMS }

func gapAboveTimeout(rt *route) bool { return rt.TimeoutMS > 0 && rt.ITLTargetMS > rt.TimeoutMS }

func uselessAttempts(rt *route) bool {
	cf, err := decode(document{Version: 1, Routes: []route{*rt}})
	return err == nil && rt.MaxAttempts > 1 && cf.Rules[0].Repeat != chestnutroad.RepeatAllowed
}

func coldTimeOnly(sv *service) bool { return sv.ColdStartS > 0 && sv.ColdPerS == 0 }

func coldRateOnly(sv *service) bool { return sv.ColdPerS > 0 && sv.ColdStartS == 0 }

func fetchWithoutLink(sv *service) bool {
	cf, err := decode(document{Version: 1, Services: []service{*sv}})
	return err == nil && sv.Engine != nil && cf.Services[0].Engine.KVBytes > 0 && cf.Services[0].Engine.LinkMbps == 0
}

func noCapacity(sv *service) bool {
	return sv.Engine != nil && sv.Engine.Slots > 0 && sv.Engine.KVCapacityTokens == 0
}

// decode decodes a part of a document, so that each entry that is rejected can be named.
func decode(part document) (*chestnutroad.Configuration, error) {
	data, err := json.Marshal(part)
	if err != nil {
		return nil, err
	}
	return platform.DecodeConfiguration(data)
}

func checkRejected(dc *document, rp *reporter) {
	decodePart := func(path string, part document) {
		if _, err := decode(part); err != nil {
			rp.addf(path, "%v; hosts keep the version in force", err)
		}
	}
	decodePart("version", document{Version: dc.Version})
	for index, rt := range dc.Routes {
		decodePart(fmt.Sprintf("routes[%d]", index), document{Version: 1, Routes: []route{rt}})
	}
	for index, tm := range dc.Tenants {
		decodePart(fmt.Sprintf("tenants[%d]", index), document{Version: 1, Tenants: []team{tm}})
	}
}

// checkIgnored reports optional fields whose values the decoder replaces by none.
func checkIgnored(dc *document, rp *reporter) {
	for index, sv := range dc.Services {
		cf, err := decode(document{Version: 1, Services: []service{sv}})
		if err != nil {
			continue
		}
		for _, ignored := range cf.Ignored {
			rp.addf(fmt.Sprintf("services[%d].inference_engine%s", index, ignored[strings.LastIndex(ignored, "."):]),
				"service %q: the value can't be used and counts as missing; hosts only log it", sv.Name)
		}
	}
}

func checkUnknownServices(dc *document, rp *reporter) {
	known := func(name string) bool {
		return slices.ContainsFunc(dc.Services, func(sv service) bool { return sv.Name == name })
	}
	const message = "route %q: no service is named %q; requests for it are refused"
	for index, rt := range dc.Routes {
		if rt.Service != "" && !known(rt.Service) {
			rp.addf(fmt.Sprintf("routes[%d].service", index), message, rt.Name, rt.Service)
		}
		for position, backend := range rt.Backends {
			if !known(backend.Service) {
				rp.addf(fmt.Sprintf("routes[%d].backends[%d].service", index, position), message, rt.Name, backend.Service)
			}
		}
	}
}

func checkNames(dc *document, rp *reporter) {
	first := map[string]string{}
	checkName := func(kind, list string, index int, name string) {
		path := fmt.Sprintf("%s[%d].name", list, index)
		if other, found := first[kind+name]; found {
			rp.addf(path, "%s %q has the same name as %s; references, statistics and logs can't tell them apart", kind, name, other)
			return
		}
		first[kind+name] = path
	}
	for index, rt := range dc.Routes {
		checkName("route", "routes", index, rt.Name)
	}
	for index, sv := range dc.Services {
		checkName("service", "services", index, sv.Name)
	}
	for index, tm := range dc.Tenants {
		checkName("team", "tenants", index, tm.Name)
	}
}

// checkKeys names keys only by their place, since they are secrets.
func checkKeys(dc *document, rp *reporter) {
	first := map[string]string{}
	for index, tm := range dc.Tenants {
		for position, key := range tm.APIKeys {
			path := fmt.Sprintf("tenants[%d].api_keys[%d]", index, position)
			switch other, found := first[key]; {
			case key == "":
				rp.addf(path, "team %q: the key is empty; requests without a key would count as the team's", tm.Name)
			case found:
				rp.addf(path, "team %q: the key is also %s; its requests count as the last such team's", tm.Name, other)
			default:
				first[key] = path
			}
		}
	}
}

func checkWeights(dc *document, rp *reporter) {
	for index, rt := range dc.Routes {
		positive := rt.Service != ""
		for position, backend := range rt.Backends {
			positive = positive || backend.Weight != 0
			rp.bound(fmt.Sprintf("routes[%d].backends[%d].weight", index, position), backend.Weight, maxCount)
		}
		if len(rt.Backends) > 0 && !positive {
			rp.addf(fmt.Sprintf("routes[%d].backends", index), "route %q: all weights are zero; all requests are refused", rt.Name)
		}
	}
}

func checkHidden(dc *document, rp *reporter) {
	first := map[[2]string]int{}
	for index, rt := range dc.Routes {
		key := [2]string{strings.ToLower(rt.Host), rt.PathPrefix}
		if other, found := first[key]; found {
			rp.addf(fmt.Sprintf("routes[%d]", index), "route %q: routes[%d] (%q) has the same host name and prefix and comes first; this one gets no requests",
				rt.Name, other, dc.Routes[other].Name)
			continue
		}
		first[key] = index
	}
}

func checkUnusedServices(dc *document, rp *reporter) {
	for index, sv := range dc.Services {
		if !slices.ContainsFunc(dc.Routes, func(rt route) bool {
			return rt.Service == sv.Name || slices.ContainsFunc(rt.Backends, func(backend backend) bool { return backend.Service == sv.Name })
		}) {
			rp.addf(fmt.Sprintf("services[%d]", index), "service %q: no route uses it; its targets get no requests", sv.Name)
		}
	}
}

func checkTeamsWithoutKeys(dc *document, rp *reporter) {
	if slices.ContainsFunc(dc.Routes, func(rt route) bool { return rt.Anonymous }) {
		return
	}
	for index, tm := range dc.Tenants {
		if len(tm.APIKeys) == 0 {
			rp.addf(fmt.Sprintf("tenants[%d].api_keys", index), "team %q: it has no key and no route is anonymous; all routes are closed to it", tm.Name)
		}
	}
}

func checkRegions(dc *document, rp *reporter) {
	for index, tm := range dc.Tenants {
		for position, rt := range dc.Routes {
			if len(tm.AllowedRegions) > 0 && len(rt.AllowedRegions) > 0 &&
				!slices.ContainsFunc(tm.AllowedRegions, func(name string) bool { return slices.Contains(rt.AllowedRegions, name) }) {
				rp.addf(fmt.Sprintf("tenants[%d].allowed_regions", index), "team %q: routes[%d] (%q) allows none of these regions; the team's requests there are refused",
					tm.Name, position, rt.Name)
			}
		}
	}
}

func checkHeaderTimeout(dc *document, rp *reporter) {
	if limits := dc.Limits; limits.IdleTimeoutMS > 0 && limits.HeaderTimeoutMS > limits.IdleTimeoutMS {
		rp.addf("limits.header_timeout_ms", "the header timeout is above idle_timeout_ms; callers that send heads slowly would hold connections past that limit")
	}
}
