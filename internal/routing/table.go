package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/chestnutroad/chestnutroad"
)

// Table is the lookup form of one configuration; it is never changed.
type Table struct {
	configuration *chestnutroad.Configuration
	rules         map[string][]*chestnutroad.RoutingRule
	teams         map[chestnutroad.TeamKey]*chestnutroad.TeamSpec
	services      map[chestnutroad.ServiceID]*chestnutroad.ServiceSpec
}

// NewTable returns the lookup form of a configuration.
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
		// Longest first, so that the first match is the right one.
		slices.SortStableFunc(rules, func(one, two *chestnutroad.RoutingRule) int {
			return cmp.Compare(len(two.Prefix), len(one.Prefix))
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

// Version returns the version of the configuration.
func (tb *Table) Version() chestnutroad.Version { return tb.configuration.Version }

// Limits returns the limits for callers.
func (tb *Table) Limits() chestnutroad.CallerLimits { return tb.configuration.Limits }

// Rule returns the rule with the longest prefix for a host name and path, or nil.
func (tb *Table) Rule(hostName, path string) *chestnutroad.RoutingRule {
	name, _, _ := strings.Cut(hostName, ":")
	for _, rule := range tb.rules[strings.ToLower(name)] {
		if strings.HasPrefix(path, rule.Prefix) {
			return rule
		}
	}
	return nil
}

// Team returns the team that holds the key, or nil.
func (tb *Table) Team(key chestnutroad.TeamKey) *chestnutroad.TeamSpec { return tb.teams[key] }

// Service returns the description of a service, or nil.
func (tb *Table) Service(name chestnutroad.ServiceID) *chestnutroad.ServiceSpec {
	return tb.services[name]
}

// Rank returns the rank of a team's request: the team's own goes before the rule's.
func Rank(rule *chestnutroad.RoutingRule, team *chestnutroad.TeamSpec) int {
	if team != nil && team.HasRank {
		return team.Rank
	}
	return rule.Rank
}

// PickService returns the service of a rule for a draw between 0 and 1, by the weights of the rule's backends.
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
