package settings

import (
	"cmp"
	"slices"

	"github.com/chestnutroad/chestnutroad"
)

// Change is a key whose effective value at a site differs between two settings.
type Change struct {
	Site chestnutroad.SiteID
	Key  string
	// Before is empty when the key was added.
	Before string
	// After is empty when the key was removed.
	After string
}

// Diff returns the effective values that differ, sorted by site and key. A nil argument counts as settings without any value.
func Diff(before, after *Settings) []Change {
	old := flatten(before)
	changes := []Change{}
	for sk, value := range flatten(after) {
		if old[sk] != value {
			changes = append(changes, Change{Site: sk.site, Key: sk.key, Before: old[sk], After: value})
		}
		delete(old, sk)
	}
	for sk, value := range old {
		changes = append(changes, Change{Site: sk.site, Key: sk.key, Before: value})
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Key, b.Key))
	})
	return changes
}

// siteKey identifies an effective value by its site and key.
type siteKey struct {
	site chestnutroad.SiteID
	key  string
}

// flatten returns the effective values of all sites.
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
	slices.SortFunc(values, func(a, b Value) int { return cmp.Compare(a.Key, b.Key) })
	return values
}
