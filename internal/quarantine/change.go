package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Change is the start or the end of the suspicion against a subject.
type Change struct {
	Subject   chestnutroad.SubjectHash
	Suspected bool
	// Crashes is the number of targets known to have crashed; Targets are those that this host saw itself.
	Crashes int
	Targets []chestnutroad.TargetID
}

// Changes returns the subjects whose suspicion started or ended since the last call.
func (tr *Tracker) Changes(now time.Time) []Change {
	var changes []Change
	for hash, sb := range tr.subjects {
		suspected := tr.isSuspect(now, sb)
		if suspected == sb.suspected {
			continue
		}
		sb.suspected = suspected
		changes = append(changes, Change{Subject: hash, Suspected: suspected, Crashes: len(sb.crashes), Targets: slices.Clone(sb.targets)})
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Subject, b.Subject) })
	return changes
}
