package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Change is the start or the end of the suspicion against a part.
type Change struct {
	Part      chestnutroad.PartHash
	Suspected bool
	// Crashes is the number of targets known to have crashed; Targets are those that this host saw itself.
	Crashes int
	Targets []chestnutroad.TargetID
}

// Changes returns the parts whose suspicion started or ended since the last call.
func (tr *Tracker) Changes(now time.Time) []Change {
	var changes []Change
	for hash, pt := range tr.parts {
		suspected := tr.isSuspect(now, pt)
		if suspected == pt.suspected {
			continue
		}
		pt.suspected = suspected
		changes = append(changes, Change{Part: hash, Suspected: suspected, Crashes: len(pt.crashes), Targets: slices.Clone(pt.targets)})
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Part, b.Part) })
	return changes
}
