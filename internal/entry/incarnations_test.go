package entry

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// TestOutdatedEntries guards against an older copy of the store that reverts an observed removal, leaving or restart of a
// target, and against a target that is not used although it registered after the restore.
func TestOutdatedEntries(t *testing.T) {
	t.Parallel()
	entry := func(started chestnutroad.Incarnation, written uint64, leaving bool) *chestnutroad.TargetEntry {
		return &chestnutroad.TargetEntry{ID: "i-1", Incarnation: started, Sequence: written, Leaving: leaving}
	}
	now := time.Unix(1_000_000, 0)
	cases := []struct {
		name    string
		last    *chestnutroad.TargetEntry
		removed bool
		era     chestnutroad.Era
		entry   *chestnutroad.TargetEntry
		want    outdated
	}{
		{"never observed", nil, false, 1, entry(1, 1, false), notOutdated},
		{"unchanged", entry(1, 5, false), false, 1, entry(1, 5, false), notOutdated},
		{"written again", entry(1, 5, false), false, 1, entry(1, 6, false), notOutdated},
		{"older write in the copy", entry(1, 5, false), false, 1, entry(1, 3, false), outdatedLive},
		{"leaving, ready in the copy", entry(1, 5, true), false, 1, entry(1, 4, false), outdatedLeaving},
		{"leaving again", entry(1, 5, true), false, 1, entry(1, 5, true), notOutdated},
		{"removed, ready in the copy", entry(1, 5, false), true, 1, entry(1, 5, false), outdatedRemoved},
		{"removed after it left, ready in the copy", entry(1, 5, true), true, 1, entry(1, 4, false), outdatedRemoved},
		{"expired in the outage, registered again", entry(1, 5, false), true, 1, entry(1, 9, false), notOutdated},
		{"former incarnation in the copy", entry(2, 1, false), false, 1, entry(1, 9, false), outdatedLive},
		{"removed, former incarnation in the copy", entry(2, 1, false), true, 1, entry(1, 9, false), outdatedRemoved},
		{"restarted", entry(1, 5, true), true, 1, entry(2, 1, false), notOutdated},
		{"same era", entry(1, 5, false), true, 0, entry(1, 5, false), notOutdated},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ic := newIncarnations()
			if tc.last != nil {
				ic.observe(tc.last, 0)
			}
			if tc.removed {
				ic.markRemoved(now, "i-1")
			}
			if got := ic.outdated(tc.entry, tc.era); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}

// TestIncarnationsExpire guards against memory that grows with the number of targets that ever existed.
func TestIncarnationsExpire(t *testing.T) {
	t.Parallel()
	ic := newIncarnations()
	now := time.Unix(1_000_000, 0)
	for _, id := range []chestnutroad.TargetID{"i-1", "i-2", "i-3"} {
		ic.observe(&chestnutroad.TargetEntry{ID: id}, 0)
		ic.markRemoved(now, id)
		now = now.Add(tombstoneTTL)
	}
	if len(ic.byID) > 2 {
		t.Errorf("%d incarnations are kept, want at most 2", len(ic.byID))
	}
}
