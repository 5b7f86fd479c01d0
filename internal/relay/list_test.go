package relay_test

import (
	"maps"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// TestCountsWhileTargetsChange guards against sums that lack a data centre whose hosts have read one record of the targets
// more or less than the others, and against counts that are assigned to the wrong target.
func TestCountsWhileTargetsChange(t *testing.T) {
	t.Parallel()
	old, joined := targets("a", "b", "c"), targets("a", "aa", "b", "c")
	cases := []struct {
		name string
		// lists are the lists of the three data centres, counts each host's own requests in the order of its list.
		lists  [3]*relay.TargetList
		counts [3][]byte
		want   map[chestnutroad.TargetID]int
	}{
		{
			"same targets at different offsets",
			[3]*relay.TargetList{old, old, old},
			[3][]byte{{1, 0, 2}, {1, 0, 2}, {1, 0, 2}},
			map[chestnutroad.TargetID]int{"a": 11, "b": 0, "c": 22},
		},
		{
			"one data centre has read a new target",
			[3]*relay.TargetList{old, joined, old},
			[3][]byte{{1, 0, 2}, {1, 5, 0, 2}, {1, 0, 2}},
			map[chestnutroad.TargetID]int{"a": 11, "b": 0, "c": 22},
		},
		{
			"one data centre has not read a new target",
			[3]*relay.TargetList{joined, old, joined},
			[3][]byte{{1, 5, 0, 2}, {1, 0, 2}, {1, 5, 0, 2}},
			map[chestnutroad.TargetID]int{"a": 11, "aa": 35, "b": 0, "c": 22},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(3, 4)
			cl.run(6 * time.Second)
			for index, hs := range cl.hosts {
				centre := index / 4
				cl.states[hs.ID].Position.Offset += chestnutroad.Offset(centre)
				cl.states[hs.ID].Own = relay.View{List: tc.lists[centre], Counts: tc.counts[centre]}
			}
			// When counts arrive in the order of an unread list, the sender's earlier counts are used for less than a second.
			cl.run(600 * time.Millisecond)
			for index, hs := range cl.hosts {
				if index/4 == 1 {
					continue
				}
				if got := cl.peerCounts(hs.ID); !maps.Equal(got, tc.want) {
					t.Errorf("%s: counts of the other hosts: got %v, want %v", hs.ID, got, tc.want)
				}
			}
		})
	}
}
