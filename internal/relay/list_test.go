package relay_test

import (
	"maps"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// TestCountsWhileTargetsChange guards against loads that lack a data centre whose hosts have read a record more or less of
// the targets, and against counts that go to another target than the one that they are of.
func TestCountsWhileTargetsChange(t *testing.T) {
	t.Parallel()
	old, joined := targets("a", "b", "c"), targets("a", "aa", "b", "c")
	cases := []struct {
		name string
		// lists are what the three data centres hold, counts each host's own requests in that order.
		lists  [3]*relay.TargetList
		counts [3][]byte
		want   map[chestnutroad.TargetID]int
	}{
		{
			"the same targets at other offsets",
			[3]*relay.TargetList{old, old, old},
			[3][]byte{{1, 0, 2}, {1, 0, 2}, {1, 0, 2}},
			map[chestnutroad.TargetID]int{"a": 11, "b": 0, "c": 22},
		},
		{
			"one has read that a target joined",
			[3]*relay.TargetList{old, joined, old},
			[3][]byte{{1, 0, 2}, {1, 5, 0, 2}, {1, 0, 2}},
			map[chestnutroad.TargetID]int{"a": 11, "b": 0, "c": 22},
		},
		{
			"one has not read it yet",
			[3]*relay.TargetList{joined, old, joined},
			[3][]byte{{1, 5, 0, 2}, {1, 0, 2}, {1, 5, 0, 2}},
			map[chestnutroad.TargetID]int{"a": 11, "aa": 35, "b": 0, "c": 22},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			wd := newWorld(3, 4)
			wd.run(6 * time.Second)
			for index, hs := range wd.hosts {
				centre := index / 4
				wd.held[hs.ID].Position.Offset += chestnutroad.Offset(centre)
				wd.held[hs.ID].Own = relay.View{List: tc.lists[centre], Counts: tc.counts[centre]}
			}
			// Counts in the order of a list that a host has not read are kept back for less than a second.
			wd.run(600 * time.Millisecond)
			for index, hs := range wd.hosts {
				if index/4 == 1 {
					continue
				}
				if got := wd.others(hs.ID); !maps.Equal(got, tc.want) {
					t.Errorf("%s counts %v at the other hosts, want %v", hs.ID, got, tc.want)
				}
			}
		})
	}
}
