package routing_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/routing"
)

func newTestTable() *routing.Table {
	return routing.NewTable(&chestnutroad.Configuration{
		Version: 4,
		Rules: []chestnutroad.RoutingRule{
			{Name: "short", HostName: "a.example", Prefix: "/p/"},
			{Name: "long", HostName: "a.example", Prefix: "/p/q/"},
			{Name: "other", HostName: "b.example", Prefix: "/p/"},
		},
		Teams: []chestnutroad.TeamSpec{{Name: "t", Keys: []chestnutroad.TeamKey{"k1", "k2"}, Rank: 1, HasRank: true}},
	})
}

// TestRule guards against matching a request to the rule of another path or host name.
func TestRule(t *testing.T) {
	t.Parallel()
	cases := []struct {
		host, path string
		want       chestnutroad.RouteID
	}{
		{"a.example", "/p/x", "short"},
		{"A.Example:80", "/p/x", "short"},
		{"a.example", "/p/q/x", "long"},
		{"a.example", "/p/q", "short"},
		{"a.example", "/p", ""},
		{"a.example", "/other/p/", ""},
		{"b.example", "/p/q/x", "other"},
		{"c.example", "/p/x", ""},
		{"a.example", "/p/../x", "short"},
	}
	tb := newTestTable()
	for _, tc := range cases {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			t.Parallel()
			got := chestnutroad.RouteID("")
			if rule := tb.Rule(tc.host, tc.path); rule != nil {
				got = rule.Name
			}
			if got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// TestTeam guards against returning a team for a key that is not its own, and against a rank that ignores the team's.
func TestTeam(t *testing.T) {
	t.Parallel()
	tb := newTestTable()
	if team := tb.Team("k2"); team == nil || team.Name != "t" {
		t.Errorf("team of key k2: got %v, want t", team)
	}
	if team := tb.Team(""); team != nil {
		t.Errorf("team of the empty key: got %v, want nil", team)
	}
	rule := &chestnutroad.RoutingRule{Rank: 2}
	if got := routing.Rank(rule, tb.Team("k1")); got != 1 {
		t.Errorf("rank with a team: got %d, want 1", got)
	}
	if got := routing.Rank(rule, nil); got != 2 {
		t.Errorf("rank without a team: got %d, want 2", got)
	}
}

// TestPickService guards against shares that differ from the weights, and against picking a service of weight zero.
func TestPickService(t *testing.T) {
	t.Parallel()
	rule := &chestnutroad.RoutingRule{Backends: []chestnutroad.Backend{
		{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0},
	}}
	counts := map[chestnutroad.ServiceID]int{}
	const draws = 1000
	for index := range draws {
		counts[routing.PickService(rule, float64(index)/draws)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("picks by service: got %v, want 900 of a and 100 of b", counts)
	}
	if got := routing.PickService(rule, 1); got != "b" {
		t.Errorf("service for a draw of 1: got %q, want b", got)
	}
}
