package routing_test

import (
	"slices"
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/routing"
)

// TestAllowedRegions guards against a restriction of the rule or of the team that does not apply when both have one, and against one that
// is lifted when they have no region in common.
func TestAllowedRegions(t *testing.T) {
	t.Parallel()
	type regions = []chestnutroad.RegionID
	cases := []struct {
		rule, team, want regions
		restricted       bool
	}{
		{nil, nil, nil, false},
		{regions{"a", "b"}, nil, regions{"a", "b"}, true},
		{nil, regions{"b"}, regions{"b"}, true},
		{regions{"a", "b"}, regions{"b", "c"}, regions{"b"}, true},
		{regions{"a"}, regions{"b"}, nil, true},
	}
	for _, tc := range cases {
		rule, team := &chestnutroad.RoutingRule{AllowedRegions: tc.rule}, &chestnutroad.TeamSpec{AllowedRegions: tc.team}
		if got, restricted := routing.AllowedRegions(rule, team); !slices.Equal(got, tc.want) || restricted != tc.restricted {
			t.Errorf("%v and %v: got %v, %t", tc.rule, tc.team, got, restricted)
		}
		if got, restricted := routing.AllowedRegions(rule, nil); !slices.Equal(got, tc.rule) || restricted != (len(tc.rule) > 0) {
			t.Errorf("%v without a team: got %v, %t", tc.rule, got, restricted)
		}
	}
}
