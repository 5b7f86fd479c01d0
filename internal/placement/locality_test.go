package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/locality"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// largeSite is a site of 36 hosts and 141 targets in three data centres with a load of a tenth of the slots.
func largeSite() localitySite {
	return localitySite{
		hosts: 12, targets: 47, slots: 12, perTick: 12, shares: []float64{1. / 3, 1. / 3, 1. / 3}, stay: 12, requireSlot: true,
	}
}

// TestRequestsStayLocal guards against requests that leave although their data centre has room, and whose parts are worth a copy.
func TestRequestsStayLocal(t *testing.T) {
	t.Parallel()
	plain, cheap, frequent := largeSite(), largeSite(), largeSite()
	cheap.prompts, cheap.tokens = 1000, 100
	frequent.prompts, frequent.tokens = 24, 10_500
	cases := []struct {
		name string
		site localitySite
		// always is true when requests stay also with the mechanism off.
		always bool
	}{
		{"plain requests", plain, true},
		{"rare parts that are cheap to prefill", cheap, false},
		{"frequent parts that are costly to prefill", frequent, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			without := tc.site
			without.without = true
			on, off := tc.site.run(1, 600, 200), without.run(1, 600, 200)
			t.Logf("left %.3f, without %.3f; over the bound %.4f, %.4f", on.share(0), off.share(0), on.shareOver(), off.shareOver())
			for centre := range tc.site.shares {
				if on.share(centre) > 0.03 {
					t.Errorf("%.3f of the requests of data centre %d leave: %v", on.share(centre), centre, on.reasons)
				}
			}
			if !tc.always && off.share(0) < 0.3 {
				t.Errorf("without the mechanism, %.3f of the requests leave", off.share(0))
			}
		})
	}
}

// TestRarePartsAreNotCopied guards against costly parts that each data centre prefills for itself although they are used rarely.
func TestRarePartsAreNotCopied(t *testing.T) {
	t.Parallel()
	rare := largeSite()
	rare.prompts, rare.tokens = 1000, 10_500
	without := rare
	without.without = true
	on, off := rare.run(1, 600, 200), without.run(1, 600, 200)
	t.Logf("left %.3f, without %.3f; prefills %d, %d", on.share(0), off.share(0), on.prefills, off.prefills)
	if on.prefills*2 > off.prefills*3 {
		t.Errorf("parts were prefilled %d times, %d times without the mechanism", on.prefills, off.prefills)
	}
}

// TestShareAtDoubleDemand guards against a data centre with 1.3 times as many requests as slots that keeps too many of them, or sends so
// many that the others send some back, and against the load bound being exceeded by either.
func TestShareAtDoubleDemand(t *testing.T) {
	t.Parallel()
	plain := largeSite()
	plain.targets, plain.perTick, plain.shares = 12, 26, []float64{16. / 26, 5. / 26, 5. / 26}
	parts := plain
	parts.prompts, parts.tokens = 100, 700
	for name, site := range map[string]localitySite{"plain requests": plain, "prompt parts": parts} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			without := site
			without.without = true
			on, off := site.run(1, 600, 200), without.run(1, 600, 200)
			t.Logf("left %.3f %.3f %.3f, without %.3f %.3f %.3f; over the bound %.4f, %.4f", on.share(0), on.share(1), on.share(2),
				off.share(0), off.share(1), off.share(2), on.shareOver(), off.shareOver())
			// The local targets serve 0.7 of their 144 slots of 192 requests, which leaves a share of 0.47.
			if on.share(0) < 0.35 || on.share(0) > 0.55 || on.share(1) > 0.03 || on.share(2) > 0.03 {
				t.Errorf("%.3f, %.3f and %.3f of the requests leave: %v", on.share(0), on.share(1), on.share(2), on.reasons)
			}
			if on.shareOver() > 0.03 || on.refused > 0 {
				t.Errorf("%.4f of the requests went over the load bound, %d were refused", on.shareOver(), on.refused)
			}
			if off.share(1) < 0.1 {
				t.Errorf("without the mechanism, %.3f of the requests of another data centre leave", off.share(1))
			}
		})
	}
}

// TestAllLeaveAtOnce guards against requests that wait for the share to grow when their data centre has no usable target.
func TestAllLeaveAtOnce(t *testing.T) {
	t.Parallel()
	const changeAt = 300
	cases := []struct {
		name   string
		change func(now time.Time, pl *placement.Pool, en *chestnutroad.TargetEntry)
	}{
		{"targets leave", func(_ time.Time, pl *placement.Pool, en *chestnutroad.TargetEntry) {
			en.Leaving = true
			pl.Set(en)
		}},
		{"targets can't be reached", func(now time.Time, pl *placement.Pool, en *chestnutroad.TargetEntry) {
			pl.Observe(now, en.ID, placement.Unreachable)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			site := largeSite()
			site.prompts, site.tokens, site.changeAt = 24, 700, changeAt
			site.change = func(now time.Time, pl *placement.Pool) {
				for index := 0; index < 3*site.targets; index += 3 {
					tc.change(now, pl, entry(index, centreID(0), site.slots))
				}
			}
			// The first probe of an unreachable target is due after 0.5 s.
			const length = 9
			for _, without := range []bool{false, true} {
				site.without = without
				totals := site.run(1, changeAt+length, changeAt)
				before, after := [2]int{}, [2]int{}
				for tick, counts := range totals.history {
					into := &before
					if tick >= changeAt {
						into = &after
					}
					if tick >= 200 {
						into[0] += counts[0]
						into[1] += counts[1]
					}
				}
				if after[0] == 0 || after[1] < after[0] {
					t.Errorf("%d of %d requests leave after the change", after[1], after[0])
				}
				if stayed := before[1]*20 < before[0]; stayed == without {
					t.Errorf("without %t: %d of %d requests left before the change", without, before[1], before[0])
				}
			}
		})
	}
}

// localityPool returns the pool of one of 12 hosts of data centre dc-0, which has counts of all 12 targets of each of three.
func localityPool(off bool) *placement.Pool {
	pl := placement.NewPool(centreID(0), placement.WithLocality(true))
	if off {
		pl.Configure(placement.WithoutMechanisms(mechanism.Set{mechanism.Locality: true}))
	}
	pl.SetCentreHostCount(12)
	for index := range 36 {
		pl.Set(entry(index, centreID(index%3), 12))
	}
	observe(pl, start)
	return pl
}

// observe gives the pool a message without requests at other hosts.
func observe(pl *placement.Pool, now time.Time) {
	pl.SetPeerCounts(nil)
	pl.ObserveSides(now)
}

// TestCopiesOfParts guards against a rare costly part that is prefilled in a second data centre, and against frequent parts that
// are not.
func TestCopiesOfParts(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		tokens chestnutroad.Tokens
		// interval is the time between two requests at the host.
		interval time.Duration
		copied   bool
	}{
		{"rare and costly", 10_500, 50 * time.Second, false},
		{"rare and cheap", 200, 50 * time.Second, true},
		{"frequent and costly", 10_500, 2 * time.Second, true},
		{"frequent and cheap", 700, 2 * time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for _, off := range []bool{false, true} {
				pl := localityPool(off)
				remote, copied := 0, 0
				for number := range 60 {
					part := fmt.Sprint("part-", number)
					if choice, _ := localityPool(true).Choose(start, newRequest(part, 1)); choice.Entry.DataCentre == centreID(0) {
						continue
					}
					remote++
					last := placement.Choice{}
					for use := range 10 {
						now := start.Add(time.Duration(number)*time.Hour + time.Duration(use)*tc.interval)
						observe(pl, now)
						req := newRequest(part, 100*number+use)
						req.SharedTokens, req.SharedParts = tc.tokens, []chestnutroad.PromptPart{{ID: part, Tokens: tc.tokens}}
						last, _ = pl.Choose(now, req)
					}
					if last.Entry.DataCentre == centreID(0) {
						copied++
					} else if !off && last.Locality.Reason != locality.Cached {
						t.Errorf("a request with %s left for %q", part, last.Locality.Reason)
					}
				}
				if want := !off && tc.copied; remote == 0 || want && copied < remote || !want && copied > 0 {
					t.Errorf("off %t: %d of %d parts are copied, want all: %t", off, copied, remote, want)
				}
			}
		})
	}
}

// TestHostsAgreeOnLocalTarget guards against hosts of a data centre that have a part prefilled at different targets of it.
func TestHostsAgreeOnLocalTarget(t *testing.T) {
	t.Parallel()
	local := [2]int{}
	for index, off := range []bool{false, true} {
		hosts := []*placement.Pool{localityPool(off), localityPool(off), localityPool(off)}
		for number := range 100 {
			part, used := fmt.Sprint("part-", number), map[chestnutroad.TargetID]bool{}
			for host, pl := range hosts {
				req := newRequest(part, 10*number+host)
				req.SharedTokens = 100
				choice, _ := pl.Choose(start, req)
				used[choice.Entry.ID] = true
				if choice.Entry.DataCentre == centreID(0) {
					local[index]++
				}
			}
			if len(used) > 1 {
				t.Errorf("off %t: %s is used at %d targets", off, part, len(used))
			}
		}
	}
	if local[0] < 300 || local[1] > 150 {
		t.Errorf("%d of 300 requests stay, %d without the mechanism", local[0], local[1])
	}
}

// TestFullSide guards against requests that are refused, or sent over the load bound, while the other side has room.
func TestFullSide(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// local and remote are the loads of the targets.
		local, remote int
		slot          bool
		want          chestnutroad.DataCentreID
		found         bool
	}{
		{"room everywhere", 1, 1, true, "dc-0", true},
		{"no local slot", 12, 5, true, "", true},
		{"no remote slot", 1, 12, true, "dc-0", true},
		{"local targets over the bound", 11, 0, false, "", true},
		{"no slot", 12, 12, true, "", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for number := range 50 {
				pl, counts := localityPool(false), map[chestnutroad.TargetID]int{}
				for index := range 36 {
					counts[entry(index, "", 0).ID] = tc.remote
					if index%3 == 0 {
						counts[entry(index, "", 0).ID] = tc.local
					}
				}
				pl.SetPeerCounts(counts)
				pl.ObserveSides(start)
				req := newRequest([]string{"", "part"}[number%2], number)
				req.RequireSlot, req.MaxOutputTokens, req.SharedTokens = tc.slot, 100, 100
				choice, found := pl.Choose(start, req)
				if found != tc.found || !found && !choice.Full {
					t.Fatalf("found %t, full %t", found, choice.Full)
				}
				if left := choice.Entry.DataCentre != centreID(0); found && left != (tc.want == "") {
					t.Errorf("request %d goes to %s (%s)", number, choice.Entry.DataCentre, choice.Locality.Reason)
				}
				if left := choice.Entry.DataCentre != centreID(0); found && left != choice.Locality.Leaves {
					t.Errorf("request %d goes to %s, its log says %+v", number, choice.Entry.DataCentre, choice.Locality)
				}
			}
		})
	}
}

// TestResidencesOfEachSide guards against a part that moves to a target that joins in the data centre, against other hosts of it that
// don't follow, and against one that loses its local target because another data centre announces its own.
func TestResidencesOfEachSide(t *testing.T) {
	t.Parallel()
	first, second := localityPool(false), localityPool(false)
	request := func(pl *placement.Pool, part string, number int) chestnutroad.TargetID {
		req := newRequest(part, number)
		req.SharedTokens = 100
		choice, _ := pl.Choose(start.Add(time.Duration(number)*time.Second), req)
		return choice.Entry.ID
	}
	targets := map[string]chestnutroad.TargetID{}
	for number := range 100 {
		part := fmt.Sprint("part-", number)
		targets[part] = request(first, part, 0)
	}
	for index := 36; index < 60; index++ {
		for _, pl := range []*placement.Pool{first, second} {
			join(pl, start, entry(index, centreID(index%3), 12))
		}
	}
	for range 10 {
		second.MergeResidences(start, first.TakeResidences(start))
	}
	// Hosts of another data centre announce that all parts are at one of its targets.
	announced := make([]chestnutroad.Residence, 0, len(targets))
	for part := range targets {
		announced = append(announced, chestnutroad.Residence{
			Part: chestnutroad.PartHash(chestnutroad.HashID(part)), Target: chestnutroad.TargetHash(chestnutroad.HashID("i-001")),
		})
	}
	first.MergeResidences(start, announced)
	second.MergeResidences(start, announced)
	for part, target := range targets {
		if got := request(first, part, 2); got != target {
			t.Errorf("%s moved from %s to %s", part, target, got)
		}
		if got := request(second, part, 2); got != target {
			t.Errorf("%s is used at %s by one host and at %s by another", part, target, got)
		}
	}
}

// TestHotPartSpreadsOnEachSide guards against the load bound being exceeded by a part with a tenth of the traffic where each data
// centre has its own copies, in the installations of TestHotPartSpreads.
func TestHotPartSpreadsOnEachSide(t *testing.T) {
	t.Parallel()
	equal := []float64{1. / 3, 1. / 3, 1. / 3}
	cases := []struct {
		name string
		site localitySite
	}{
		{"few targets", localitySite{hosts: 7, targets: 3, perTick: 4}},
		{"many targets", localitySite{hosts: 31, targets: 47, perTick: 36}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			site := tc.site
			site.slots, site.shares, site.stay, site.prompts, site.tokens, site.hot = 64, equal, 24, 200, 1000, 0.1
			for seed := range uint64(2) {
				totals := site.run(seed, ticks, 100)
				t.Logf("seed %d: over the bound %.4f, left %.3f", seed, totals.shareOver(), totals.share(0))
				if totals.shareOver() > 0.03 {
					t.Errorf("seed %d: %.4f of the requests went over the load bound", seed, totals.shareOver())
				}
			}
		})
	}
}

// TestUnevenCallersOfDividedService guards against a plain service's target that goes over the load bound because its data centre has
// most of the callers, and against requests that leave needlessly, in the installations of TestUnevenCallers.
func TestUnevenCallersOfDividedService(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		sim  plainSimulation
		away float64
	}{
		{"even", plainSimulation{[]float64{0.2, 0.2, 0.2, 0.2, 0.2}, 220, 3, 39, 6}, 0.1},
		{"double share at one", plainSimulation{[]float64{0.18, 0.19, 0.36, 0.18, 0.09}, 240, 3, 39, 6}, 0.2},
		{"double share at one, higher rate", plainSimulation{[]float64{0.18, 0.19, 0.36, 0.18, 0.09}, 340, 3, 39, 6}, 0.2},
		{"most callers at one", plainSimulation{[]float64{0.1, 0.1, 0.6, 0.1, 0.1}, 220, 3, 39, 6}, 0.4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				over, away := tc.sim.run(seed, placement.WithLocality(true))
				t.Logf("seed %d: over the bound %.4f, left %.3f", seed, over, away)
				if over > 0.03 {
					t.Errorf("seed %d: %.3f of the requests of five seconds went to a target over the bound", seed, over)
				}
				if away > tc.away {
					t.Errorf("seed %d: %.2f of the requests left their data centre", seed, away)
				}
			}
		})
	}
}

// TestFewTargetsWithinBound guards against the load bound being exceeded at the three targets of a data centre that has half of the
// callers, whose counts of one moment say little.
func TestFewTargetsWithinBound(t *testing.T) {
	t.Parallel()
	for _, shares := range [][]float64{{0.5, 0.25, 0.25}, {3. / 7, 2. / 7, 2. / 7}, {1. / 3, 1. / 3, 1. / 3}} {
		for seed := range uint64(3) {
			site := localitySite{hosts: 4, targets: 3, slots: 12, perTick: 8, shares: shares, stay: 8, prompts: 40, tokens: 700}
			totals := site.run(seed, 600, 200)
			t.Logf("%.2f, seed %d: over the bound %.4f, left %.3f", shares, seed, totals.shareOver(), totals.share(0))
			if totals.shareOver() > 0.03 {
				t.Errorf("%.2f, seed %d: %.4f of the requests went over the load bound", shares, seed, totals.shareOver())
			}
			if shares[0] < 0.4 && totals.share(0) > 0.03 {
				t.Errorf("%.2f, seed %d: %.3f of the requests leave", shares, seed, totals.share(0))
			}
		}
	}
}
