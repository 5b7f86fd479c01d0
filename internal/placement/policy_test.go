package placement_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// TestPolicies guards against a baseline policy that does not do what its name says, which would make comparisons with it
// meaningless: it sends 300 requests with one part, none of which ends, to three targets.
func TestPolicies(t *testing.T) {
	t.Parallel()
	cases := []struct {
		policy placement.Policy
		// targets is the number of targets that get requests, spread the largest difference between their counts.
		targets, spread int
	}{
		{placement.Bounded, 3, 100},
		{placement.LeastLoaded, 3, 1},
		{placement.ConsistentHash, 1, 300},
		{placement.Random, 3, 60},
	}
	if len(cases) != len(placement.Policies()) {
		t.Errorf("%d of %d policies are tested", len(cases), len(placement.Policies()))
	}
	for _, tc := range cases {
		t.Run(string(tc.policy), func(t *testing.T) {
			t.Parallel()
			pl := newPool(3, 1000)
			pl.Configure(placement.WithPolicy(tc.policy))
			counts := map[chestnutroad.TargetID]int{}
			for index := range 300 {
				choice, found := pl.Choose(start, newRequest("part", index))
				if !found {
					t.Fatal("no target was found")
				}
				pl.Start(choice.Entry.ID)
				counts[choice.Entry.ID]++
			}
			least, most := 300, 0
			for _, count := range counts {
				least, most = min(least, count), max(most, count)
			}
			if len(counts) != tc.targets || (len(counts) > 1 && most-least > tc.spread) {
				t.Errorf("the targets got %v", counts)
			}
		})
	}
}
