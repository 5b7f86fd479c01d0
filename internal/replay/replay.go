package replay

import (
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/pool/baseline"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// Policies returns the names of the policies that Run accepts.
func Policies() []string {
	table := baseline.Table()
	names := make([]string, 0, len(table))
	for _, entry := range table {
		names = append(names, entry.Name)
	}
	return names
}

// Run replays the trace through the named policy. The result is deterministic: equal arguments give equal results.
func Run(tr *trace.Trace, effective *settings.Effective, policy string, seed uint64) (*Result, error) {
	entry, ok := baseline.Lookup(policy)
	if !ok {
		return nil, errors.Newf("no policy is named %q; the policies are %v", policy, Policies())
	}
	si, err := newSimulation(tr, effective, entry, seed)
	if err != nil {
		return nil, err
	}
	si.run()
	return si.measures.result(), nil
}
