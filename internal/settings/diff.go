package settings

import (
	"cmp"
	"slices"

	"github.com/chestnutroad/chestnutroad"
)

// Change is one key whose effective value differs between two settings.
type Change struct {
	Site chestnutroad.SiteID
	Key  string
	// Before is empty when the key was added.
	Before string
	// After is empty when the key was removed.
	After string
}

// Diff returns the effective values that differ, by site and key; nil stands for settings that declare nothing.
func Diff(before, after *Settings) []Change {
	old := flatten(before)
	changes := []Change{}
	for place, value := range flatten(after) {
		if old[place] != value {
			changes = append(changes, Change{Site: place.site, Key: place.key, Before: old[place], After: value})
		}
		delete(old, place)
	}
	for place, value := range old {
		changes = append(changes, Change{Site: place.site, Key: place.key, Before: value})
	}
	slices.SortFunc(changes, func(one, two Change) int {
		return cmp.Or(cmp.Compare(one.Site, two.Site), cmp.Compare(one.Key, two.Key))
	})
	return changes
}

type siteKey struct {
	site chestnutroad.SiteID
	key  string
}

func flatten(st *Settings) map[siteKey]string {
	values := map[siteKey]string{}
	if st == nil {
		return values
	}
	for _, ef := range st.sites {
		for _, value := range ef.Values {
			values[siteKey{ef.Site.ID, value.Key}] = value.Value
		}
	}
	return values
}

func sortValues(values []Value) []Value {
	slices.SortFunc(values, func(one, two Value) int { return cmp.Compare(one.Key, two.Key) })
	return values
}
