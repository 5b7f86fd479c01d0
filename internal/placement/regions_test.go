package placement_test

import (
	"fmt"
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// newRegionalPool returns a pool of targets in the data centres a and b, whose regions are known, and c, whose region is not.
func newRegionalPool(count int) *placement.Pool {
	pl := newZonedPool(count)
	pl.Configure(placement.WithRegions(map[chestnutroad.DataCentreID]chestnutroad.RegionID{"a": "r-1", "b": "r-2"}))
	return pl
}

// TestAllowedRegions guards against requests that are sent to a target outside of their allowed regions or of unknown region, also as a
// retry, by the part that is in use elsewhere, or when the targets inside are full, and against a refusal without the reason.
func TestAllowedRegions(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// restricted requests may use the regions.
		restricted bool
		regions    []chestnutroad.RegionID
		evacuated  []chestnutroad.DataCentreID
		want       map[chestnutroad.DataCentreID]bool
		// outside and allEvacuated are the reasons without a target.
		outside, allEvacuated bool
	}{
		{"unrestricted", false, nil, nil, map[chestnutroad.DataCentreID]bool{"a": true, "b": true, "c": true}, false, false},
		{"one region", true, []chestnutroad.RegionID{"r-2"}, nil, map[chestnutroad.DataCentreID]bool{"b": true}, false, false},
		{"two regions", true, []chestnutroad.RegionID{"r-2", "r-1"}, nil, map[chestnutroad.DataCentreID]bool{"a": true, "b": true}, false, false},
		{"none", true, nil, nil, nil, true, false},
		{"another region", true, []chestnutroad.RegionID{"r-3"}, nil, nil, true, false},
		{"empty name", true, []chestnutroad.RegionID{""}, nil, nil, true, false},
		{"region evacuated", true, []chestnutroad.RegionID{"r-2"}, []chestnutroad.DataCentreID{"b"}, nil, false, true},
		{
			"other region evacuated", true,
			[]chestnutroad.RegionID{"r-2"},
			[]chestnutroad.DataCentreID{"a", "c"},
			map[chestnutroad.DataCentreID]bool{"b": true},
			false, false,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl := newRegionalPool(9)
			pl.SetEvacuated(start, tc.evacuated)
			seen := map[chestnutroad.DataCentreID]bool{}
			for index := range 200 {
				part := ""
				if index%2 == 0 {
					// Requests without a restriction have the part in use anywhere.
					part = fmt.Sprintf("part-%d", index%20)
					pl.Choose(start, newRequest(part, index))
				}
				req := newRequest(part, index)
				req.Restricted, req.AllowedRegions = tc.restricted, tc.regions
				for range 4 {
					choice, found := pl.Choose(start, req)
					if !found {
						if len(req.Excluded) == 0 && (choice.OutsideRegions != tc.outside || choice.Evacuated != tc.allEvacuated) {
							t.Fatalf("got %+v without a target", choice)
						}
						break
					}
					seen[choice.Entry.DataCentre] = true
					pl.Start(choice.Entry.ID)
					req.Excluded = append(req.Excluded, choice.Entry.ID)
				}
			}
			if fmt.Sprint(seen) != fmt.Sprint(tc.want) {
				t.Errorf("requests are sent to %v, want %v", seen, tc.want)
			}
		})
	}
}

// TestRestrictedPartStays guards against restricted requests that move a part which other requests use in another region, and against ones
// that go to changing targets themselves.
func TestRestrictedPartStays(t *testing.T) {
	t.Parallel()
	const targets, parts = 9, 60
	pl := newRegionalPool(0)
	for index := range targets {
		if zoneOf(index) != "b" {
			join(pl, start, entry(index, zoneOf(index), 64))
		}
	}
	now := start.Add(afterGracePeriod)
	before := map[string]chestnutroad.TargetID{}
	for index := range parts {
		part := fmt.Sprintf("part-%d", index)
		before[part] = chosenTarget(t, pl, now, part)
	}
	// The hash prefers the targets that join for a third of the parts, which stay where they are in use.
	for index := range targets {
		join(pl, now, entry(index, zoneOf(index), 64))
	}
	now = now.Add(afterGracePeriod)
	for part, id := range before {
		req := newRequest(part, 2)
		req.Restricted, req.AllowedRegions = true, []chestnutroad.RegionID{"r-2"}
		first, _ := pl.Choose(now, req)
		second, _ := pl.Choose(now, req)
		if first.Entry.ID != second.Entry.ID {
			t.Errorf("restricted requests with %s go to %s and %s", part, first.Entry.ID, second.Entry.ID)
		}
		if got := chosenTarget(t, pl, now, part); got != id {
			t.Errorf("%s moved from %s to %s", part, id, got)
		}
	}
}

// TestRestrictedUtilisation guards against requests that are refused since targets are full to which they may not be sent, and against
// ones that are admitted since such targets are free.
func TestRestrictedUtilisation(t *testing.T) {
	t.Parallel()
	pl := newRegionalPool(9)
	for index := 0; index < 9; index += 3 {
		for range 64 {
			pl.Start(entry(index, "a", 64).ID)
		}
	}
	now := start
	for _, tc := range []struct {
		regions []chestnutroad.RegionID
		want    float64
	}{{[]chestnutroad.RegionID{"r-1"}, 1}, {[]chestnutroad.RegionID{"r-2"}, 0}, {[]chestnutroad.RegionID{"r-1", "r-2"}, 0.5}} {
		req := newRequest("", 1)
		req.Restricted, req.AllowedRegions = true, tc.regions
		if got := pl.Utilisation(now, req); got != tc.want {
			t.Errorf("%v: got %.2f, want %.2f", tc.regions, got, tc.want)
		}
	}
}
