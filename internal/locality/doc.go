// Package locality decides which requests of a service leave the data centre of their host. Each host decides alone, from the counts of
// requests at the targets, which hosts exchange. It has no network and no clock of its own. docs/design/locality.md describes the rule.
package locality
