package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// setPeerLoads sets the number of requests of other hosts at each of the first count targets.
func setPeerLoads(pl *placement.Pool, count, load int) {
	others := map[chestnutroad.TargetID]int{}
	for index := range count {
		others[chestnutroad.TargetID(fmt.Sprintf("i-%03d", index))] = load
	}
	pl.SetPeerCounts(others)
}

// TestSlots guards against requests that are sent to an engine without a free slot, where they only queue, and against less
// urgent requests that leave no slot for more urgent ones.
func TestSlots(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name       string
		load       int
		rank       int
		precedence admission.DropPrecedence
		// limited is false for plain services, whose targets refuse what they can't queue.
		limited bool
		full    bool
	}{
		{"first rank, last slot free", 99, 0, admission.Normal, true, false},
		{"first rank, no slot free", 100, 0, admission.Normal, true, true},
		{"second rank, at its limit", 92, 1, admission.Normal, true, true},
		{"last rank, at its limit", 84, 2, admission.Normal, true, true},
		{"last rank, below its limit", 83, 2, admission.Normal, true, false},
		{"higher ranks count as the last", 83, 7, admission.Normal, true, false},
		{"lower precedence", 94, 0, admission.Demoted, true, true},
		{"plain service", 500, 2, admission.Normal, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl := newPool(3, 100)
			setPeerLoads(pl, 3, tc.load)
			req := newRequest("part", 1)
			req.RequireSlot, req.Rank, req.Precedence = tc.limited, tc.rank, tc.precedence
			choice, found := pl.Choose(start, req)
			if found == tc.full || choice.Full != tc.full {
				t.Errorf("found is %t, full is %t, want full %t", found, choice.Full, tc.full)
			}
		})
	}
}

// TestCostlyPartsOnCrowdedPool guards against requests that take the last free slots of any target on a crowded pool, where
// their shared parts have to be prefilled again, and against refusing requests while many slots are free.
func TestCostlyPartsOnCrowdedPool(t *testing.T) {
	t.Parallel()
	const count = 20
	cases := []struct {
		name           string
		load           int
		shared, output chestnutroad.Tokens
		// most is the largest number of targets that get requests with one part.
		most int
		full bool
	}{
		{"crowded, costly part", 80, 10_000, 300, 3, true},
		{"crowded, cheap part", 80, 700, 300, count, false},
		{"half empty, costly part", 50, 10_000, 300, count, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl := newPool(count, 100)
			setPeerLoads(pl, count, tc.load)
			used := map[chestnutroad.TargetID]int{}
			refused := 0
			for number := range 400 {
				req := newRequest("part", number)
				req.RequireSlot, req.SharedTokens, req.MaxOutputTokens = true, tc.shared, tc.output
				choice, found := pl.Choose(start, req)
				if !found {
					refused++
					continue
				}
				pl.Start(choice.Entry.ID)
				used[choice.Entry.ID]++
			}
			if len(used) > tc.most || refused > 0 != tc.full {
				t.Errorf("%d targets used, %d requests refused", len(used), refused)
			}
		})
	}
}

// TestSlowEngineGetsLess guards against an engine that became slow and gets as many requests as before, none of which ends
// in time, and against one that gets none any more, so that its recovery is not noticed.
func TestSlowEngineGetsLess(t *testing.T) {
	t.Parallel()
	const longest = 200 * time.Millisecond
	cases := []struct {
		name        string
		gap         time.Duration
		later       time.Duration
		least, most int
	}{
		{"usual gap", 50 * time.Millisecond, 0, 64, 64},
		{"above the maximum gap", longest + longest/4, 0, 3, 4},
		{"far above the maximum gap", 50 * longest, 0, 3, 4},
		{"no recent gap", 50 * longest, 10 * time.Second, 64, 64},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl := newPool(1, 64)
			for range 200 {
				pl.ObserveEventGap(start, "i-000", tc.gap)
			}
			now := start.Add(tc.later)
			limit := 0
			for load := range 65 {
				setPeerLoads(pl, 1, load)
				req := newRequest("part", 1)
				req.RequireSlot, req.MaxEventGap = true, longest
				if _, found := pl.Choose(now, req); found {
					limit = load + 1
				}
			}
			if limit < tc.least || limit > tc.most {
				t.Errorf("%d requests fit, want %d to %d", limit, tc.least, tc.most)
			}
		})
	}
}

// TestUtilisation guards against a utilisation that jumps with each set of peer counts, and against one that does not follow
// them.
func TestUtilisation(t *testing.T) {
	t.Parallel()
	pl := newPool(4, 100)
	setPeerLoads(pl, 4, 100)
	req := newRequest("part", 1)
	req.RequireSlot = true
	if first := pl.Utilisation(start, req); first > 1 {
		t.Errorf("utilisation %.2f at once, want at most 1", first)
	}
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		pl.Utilisation(now, req)
	}
	if full := pl.Utilisation(now, req); full < 0.95 || full > 1.05 {
		t.Errorf("utilisation %.2f when all slots are used", full)
	}
	setPeerLoads(pl, 4, 0)
	if soon := pl.Utilisation(now.Add(50*time.Millisecond), req); soon < 0.7 {
		t.Errorf("utilisation %.2f 50 ms after all slots became free", soon)
	}
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		pl.Utilisation(now, req)
	}
	if empty := pl.Utilisation(now, req); empty > 0.05 {
		t.Errorf("utilisation %.2f when no slot is used", empty)
	}
}

// TestPlainRequestsByFreeSlots guards against plain requests of all hosts that go to one target by the same outdated counts,
// and against requests that leave their data centre while the near target has free slots.
func TestPlainRequestsByFreeSlots(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		loads [3]int
		// least and most bound the number of 1,000 requests at each target, of which the first is near.
		least, most [3]int
	}{
		{"near target has free slots", [3]int{2, 0, 0}, [3]int{1000, 0, 0}, [3]int{1000, 0, 0}},
		{"near target fills up", [3]int{4, 0, 6}, [3]int{300, 540, 20}, [3]int{400, 660, 80}},
		{"all full", [3]int{9, 9, 9}, [3]int{600, 120, 120}, [3]int{740, 220, 220}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl := placement.NewPool("a")
			others := map[chestnutroad.TargetID]int{}
			for index, centre := range []chestnutroad.DataCentreID{"a", "b", "c"} {
				en := entry(index, centre, 6)
				pl.Set(en)
				others[en.ID] = tc.loads[index]
			}
			pl.SetPeerCounts(others)
			counts := map[chestnutroad.TargetID]int{}
			for number := range 1000 {
				choice, _ := pl.Choose(start, newRequest("", number))
				counts[choice.Entry.ID]++
			}
			for index := range tc.loads {
				count := counts[entry(index, "a", 6).ID]
				if count < tc.least[index] || count > tc.most[index] {
					t.Errorf("target %d got %d requests, want %d to %d", index, count, tc.least[index], tc.most[index])
				}
			}
		})
	}
}
