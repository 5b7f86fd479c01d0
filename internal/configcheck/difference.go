package configcheck

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/chestnutroad/chestnutroad/platform"
)

// checkInForce names the findings of the comparison with the version in force.
const checkInForce = "InForce"

// absent stands for a field that is not stated.
const absent = "(none)"

// Compare returns what differs in a configuration from the one in force, sorted, and an error when its version is not higher. A
// configuration that can't be parsed is left to Check.
func Compare(inForce, next []byte) []Finding {
	before, err := platform.ParseConfiguration(inForce)
	if err != nil {
		return []Finding{{Error, checkInForce, "config in force", err.Error() + "; the differences are not known"}}
	}
	after, err := platform.ParseConfiguration(next)
	if err != nil {
		return nil
	}
	rp := &reporter{severity: Error, check: checkInForce}
	if after.Version <= before.Version {
		rp.addf("version", "%d is not higher than %d, the version in force; hosts keep that", after.Version, before.Version)
	}
	rp.severity = Change
	rp.compareEntries(entries(before), entries(after))
	rp.compareFields("limits.", fields(before.Limits), fields(after.Limits))
	return Sort(rp.findings)
}

// entry holds what a route, a service or a team states.
type entry struct {
	// fields are the values as JSON, without the keys of a team.
	fields map[string]string
	keys   []string
}

// entries returns the entries of a record by path. A name that occurs again is numbered, so that no entry is lost.
func entries(record *platform.ConfigurationRecord) map[string]entry {
	found := map[string]entry{}
	add := func(list, name string, en entry) {
		path := fmt.Sprintf("%s[%q]", list, name)
		for count := 2; ; count++ {
			if _, taken := found[path]; !taken {
				break
			}
			path = fmt.Sprintf("%s[%q, %d]", list, name, count)
		}
		found[path] = en
	}
	for _, route := range record.Routes {
		add("routes", route.Name, entry{fields: fields(route)})
	}
	for _, service := range record.Services {
		add("services", service.Name, entry{fields: fields(service)})
	}
	for _, team := range record.Tenants {
		keys := team.APIKeys
		team.APIKeys = nil
		add("tenants", team.Name, entry{fields: fields(team), keys: keys})
	}
	return found
}

// fields returns the values of a record as JSON by path. Those that are null or an empty list count as not stated.
func fields(record any) map[string]string {
	found := map[string]string{}
	data, err := json.Marshal(record)
	if err != nil {
		// A record that was parsed can be written again.
		return found
	}
	addFields(found, "", data)
	return found
}

func addFields(found map[string]string, path string, data json.RawMessage) {
	var object map[string]json.RawMessage
	if json.Unmarshal(data, &object) == nil && object != nil {
		for name, value := range object {
			addFields(found, strings.TrimPrefix(path+"."+name, "."), value)
		}
		return
	}
	if text := string(data); text != "null" && text != "[]" {
		found[path] = text
	}
}

func (rp *reporter) compareEntries(before, after map[string]entry) {
	for path, old := range before {
		current, found := after[path]
		if !found {
			rp.addf(path, "removed")
			continue
		}
		rp.compareFields(path+".", old.fields, current.fields)
		added, removed := missingIn(current.keys, old.keys), missingIn(old.keys, current.keys)
		if added+removed > 0 || len(old.keys) != len(current.keys) {
			rp.addf(path+".api_keys", "%d -> %d keys, %d added and %d removed", len(old.keys), len(current.keys), added, removed)
		}
	}
	for path := range after {
		if _, found := before[path]; !found {
			rp.addf(path, "added")
		}
	}
}

// missingIn returns how many of the keys are not among the others.
func missingIn(keys, others []string) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}

func (rp *reporter) compareFields(prefix string, before, after map[string]string) {
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	for path := range paths {
		old, current := cmp.Or(before[path], absent), cmp.Or(after[path], absent)
		if old != current {
			rp.addf(prefix+path, "%s -> %s", old, current)
		}
	}
}
