package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/chestnutroad/chestnutroad"
)

// Table indexes one configuration for lookups; it is immutable.
type Table struct {
	configuration *chestnutroad.Configuration
	rules         map[string][]*chestnutroad.RoutingRule
	teams         map[chestnutroad.TeamKey]*chestnutroad.TeamSpec
	services      map[chestnutroad.ServiceID]*chestnutroad.ServiceSpec
}

// NewTable indexes a configuration, which must not change afterwards.
func NewTable(cf *chestnutroad.Configuration) *Table {
	tb := &Table{
		configuration: cf,
		rules:         map[string][]*chestnutroad.RoutingRule{},
		teams:         map[chestnutroad.TeamKey]*chestnutroad.TeamSpec{},
		services:      make(map[chestnutroad.ServiceID]*chestnutroad.ServiceSpec, len(cf.Services)),
	}
	for index := range cf.Rules {
		rule := &cf.Rules[index]
		tb.rules[rule.HostName] = append(tb.rules[rule.HostName], rule)
	}
	for _, rules := range tb.rules {
		// The longest prefix comes first, so that Rule can return the first match.
		slices.SortStableFunc(rules, func(a, b *chestnutroad.RoutingRule) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	for index := range cf.Teams {
		team := &cf.Teams[index]
		for _, key := range team.Keys {
			tb.teams[key] = team
		}
	}
	for index := range cf.Services {
		tb.services[cf.Services[index].Name] = &cf.Services[index]
	}
	return tb
}

// Version returns the configuration's version.
func (tb *Table) Version() chestnutroad.Version { return tb.configuration.Version }

// Limits returns the configuration's limits for callers.
func (tb *Table) Limits() chestnutroad.CallerLimits { return tb.configuration.Limits }

// Rule returns the rule of the host name with the longest prefix of the path, or nil. Letter case and a port of the host name
// are ignored.
func (tb *Table) Rule(hostName, path string) *chestnutroad.RoutingRule {
	name, _, _ := strings.Cut(hostName, ":")
	for _, rule := range tb.rules[strings.ToLower(name)] {
		if strings.HasPrefix(path, rule.Prefix) {
			return rule
		}
	}
	return nil
}

// Team returns the team to which the key belongs, or nil.
func (tb *Table) Team(key chestnutroad.TeamKey) *chestnutroad.TeamSpec { return tb.teams[key] }

// Service returns the specification of a service, or nil.
func (tb *Table) Service(name chestnutroad.ServiceID) *chestnutroad.ServiceSpec {
	return tb.services[name]
}

// Rank returns the rank of a team's request: the team's own rank if it has one, else the rule's.
func Rank(rule *chestnutroad.RoutingRule, team *chestnutroad.TeamSpec) int {
	if team != nil && team.HasRank {
		return team.Rank
	}
	return rule.Rank
}

// AllowedRegions returns the regions to which a team's request is confined: those that both the rule and the team allow. The result is
// empty when they have none in common. Restricted is false when neither restricts the regions.
func AllowedRegions(
	rule *chestnutroad.RoutingRule, team *chestnutroad.TeamSpec,
) (allowed []chestnutroad.RegionID, restricted bool) {
	switch {
	case team == nil || len(team.AllowedRegions) == 0:
		return rule.AllowedRegions, len(rule.AllowedRegions) > 0
	case len(rule.AllowedRegions) == 0:
		return team.AllowedRegions, true
	}
	for _, id := range rule.AllowedRegions {
		if slices.Contains(team.AllowedRegions, id) {
			allowed = append(allowed, id)
		}
	}
	return allowed, true
}

// PickService selects a service from the rule's backends with probability proportional to their weights, for a draw between
// 0 and 1. It returns the empty name if no backend has a positive weight.
func PickService(rule *chestnutroad.RoutingRule, draw float64) chestnutroad.ServiceID {
	total := 0.0
	for _, backend := range rule.Backends {
		total += backend.Weight
	}
	for _, backend := range rule.Backends {
		draw -= backend.Weight / total
		if draw < 0 {
			return backend.Service
		}
	}
	for index := len(rule.Backends) - 1; index >= 0; index-- {
		if rule.Backends[index].Weight > 0 {
			return rule.Backends[index].Service
		}
	}
	return ""
}
