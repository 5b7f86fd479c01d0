package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// TestPartsAreSpreadEvenly guards against a hash by which some targets are ranked first or second for more parts than others.
func TestPartsAreSpreadEvenly(t *testing.T) {
	t.Parallel()
	const count, parts = 50, 10_000
	rng := rand.New(rand.NewPCG(1, 1))
	pl := placement.NewPool("a")
	for index := range count {
		en := entry(index, "a", 64)
		en.ID = chestnutroad.TargetID(fmt.Sprintf("i-%08x", rng.Uint32()))
		pl.Set(en)
	}
	firsts, seconds := map[chestnutroad.TargetID]int{}, map[chestnutroad.TargetID]int{}
	for range parts {
		req := newRequest(fmt.Sprintf("%08x", rng.Uint32()), 1)
		choice, _ := pl.Choose(start, req)
		firsts[choice.Entry.ID]++
		first := choice.Entry.ID
		req.Excluded = []chestnutroad.TargetID{first}
		choice, _ = pl.Choose(start, req)
		seconds[choice.Entry.ID]++
	}
	for name, counts := range map[string]map[chestnutroad.TargetID]int{"first": firsts, "second": seconds} {
		if len(counts) < count {
			t.Errorf("%d of %d targets are ranked %s", len(counts), count, name)
		}
		for id, number := range counts {
			// 200 are expected, with a standard deviation of 14.
			if number < 130 || number > 270 {
				t.Errorf("%s is ranked %s for %d parts, want about 200", id, name, number)
			}
		}
	}
}

// TestPartsKeepTheirTargets guards against parts that change their targets on a pool with few requests, and against requests
// of all parts that go to one target when all targets have the same load, which broke the load bound with 298 targets.
func TestPartsKeepTheirTargets(t *testing.T) {
	t.Parallel()
	const count, parts = 40, 200
	cases := []struct {
		name string
		load int
		// single is the number of targets that have one more request.
		single int
		// kept is true when parts must keep their targets, false when only their spread is checked.
		kept bool
	}{
		{"idle", 0, 0, true},
		{"one request in total", 0, 1, true},
		{"a request at half of the targets", 0, 20, true},
		{"all at the bound", 200, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			idle, pl := newPool(count, 64), newPool(count, 64)
			setPeerLoads(pl, count, tc.load)
			for index := range tc.single {
				pl.Start(entry(index, "a", 64).ID)
			}
			used := map[chestnutroad.TargetID]int{}
			for number := range parts {
				req := newRequest(fmt.Sprintf("part-%d", number), number)
				want, _ := idle.Choose(start, req)
				got, _ := pl.Choose(start, req)
				used[got.Entry.ID]++
				if tc.kept && got.Entry.ID != want.Entry.ID {
					t.Errorf("part %d goes to %s instead of %s", number, got.Entry.ID, want.Entry.ID)
				}
			}
			if len(used) < count/2 {
				t.Errorf("%d of %d targets are used", len(used), count)
			}
		})
	}
}
