package placement

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// TestMargin guards against a wide margin, which moves parts away from where they are cached, while no target is over the
// bound, and against a narrow one while too many arrivals go to a target that is.
func TestMargin(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// over is the number of the 40 arrivals per interval that go to the first target, whose bound is 10 or 11.
		over int
		wide bool
	}{
		{"equal load", 4, false},
		{"one target far over the bound", 20, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			now := time.Unix(1_000_000, 0)
			pl := NewPool("a")
			ids := make([]chestnutroad.TargetID, 0, 10)
			for _, id := range "abcdefghij" {
				ids = append(ids, chestnutroad.TargetID(id))
				pl.Set(&chestnutroad.TargetEntry{ID: chestnutroad.TargetID(id), Service: "s", Slots: 64})
			}
			for range 40 {
				counts := map[chestnutroad.TargetID]int{ids[0]: tc.over}
				for _, id := range ids[1:] {
					counts[id] = (40 - tc.over) / 9
				}
				pl.SetPeerCounts(counts)
				pl.margin("s").adjust(now)
				// All requests end before the next interval.
				pl.SetPeerCounts(nil)
				now = now.Add(150 * time.Millisecond)
			}
			if width := pl.margin("s").width; (width > maxMargin/2) != tc.wide {
				t.Errorf("margin %.2f, want wide %t", width, tc.wide)
			}
		})
	}
}
