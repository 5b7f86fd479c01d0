package entry

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// TestLivesOfACopy guards against an end, a leaving or a restart that the host has seen and that an older copy of the store
// takes back, and against a target that is not used although it registered after the drill.
func TestLivesOfACopy(t *testing.T) {
	t.Parallel()
	entry := func(started chestnutroad.Incarnation, written uint64, leaving bool) *chestnutroad.TargetEntry {
		return &chestnutroad.TargetEntry{ID: "i-1", Started: started, Written: written, Leaving: leaving}
	}
	now := time.Unix(1_000_000, 0)
	cases := []struct {
		name string
		seen *chestnutroad.TargetEntry
		gone bool
		era  chestnutroad.Era
		told *chestnutroad.TargetEntry
		want outdated
	}{
		{"never seen", nil, false, 1, entry(1, 1, false), notOutdated},
		{"unchanged", entry(1, 5, false), false, 1, entry(1, 5, false), notOutdated},
		{"written again", entry(1, 5, false), false, 1, entry(1, 6, false), notOutdated},
		{"not written again yet", entry(1, 5, false), false, 1, entry(1, 3, false), outdatedLive},
		{"leaving, ready in the copy", entry(1, 5, true), false, 1, entry(1, 4, false), outdatedLeaving},
		{"leaving, and says so again", entry(1, 5, true), false, 1, entry(1, 5, true), notOutdated},
		{"gone, ready in the copy", entry(1, 5, false), true, 1, entry(1, 5, false), outdatedRemoved},
		{"gone after it left", entry(1, 5, true), true, 1, entry(1, 4, false), outdatedRemoved},
		{"lapsed in the outage, registered again", entry(1, 5, false), true, 1, entry(1, 9, false), notOutdated},
		{"former life in the copy", entry(2, 1, false), false, 1, entry(1, 9, false), outdatedLive},
		{"former life of one that is gone", entry(2, 1, false), true, 1, entry(1, 9, false), outdatedRemoved},
		{"started anew", entry(1, 5, true), true, 1, entry(2, 1, false), notOutdated},
		{"same era", entry(1, 5, false), true, 0, entry(1, 5, false), notOutdated},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ls := newIncarnations()
			if tc.seen != nil {
				ls.observe(tc.seen, 0)
			}
			if tc.gone {
				ls.markRemoved(now, "i-1")
			}
			if got := ls.outdated(tc.told, tc.era); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}

// TestLivesAreForgotten guards against memory that grows with all targets that ever were.
func TestLivesAreForgotten(t *testing.T) {
	t.Parallel()
	ls := newIncarnations()
	now := time.Unix(1_000_000, 0)
	for _, id := range []chestnutroad.TargetID{"i-1", "i-2", "i-3"} {
		ls.observe(&chestnutroad.TargetEntry{ID: id}, 0)
		ls.markRemoved(now, id)
		now = now.Add(tombstoneTTL)
	}
	if len(ls.byID) > 2 {
		t.Errorf("%d lives are remembered", len(ls.byID))
	}
}
