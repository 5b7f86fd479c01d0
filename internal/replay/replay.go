package replay

import (
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/pool/baseline"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// Policies returns the names of the policies that Run knows.
func Policies() []string {
	table := baseline.Table()
	names := make([]string, 0, len(table))
	for _, entry := range table {
		names = append(names, entry.Name)
	}
	return names
}

// Run replays the trace through the policy of that name; the same arguments give the same result.
func Run(tr *trace.Trace, effective *settings.Effective, policy string, seed uint64) (*Result, error) {
	entry, known := baseline.Lookup(policy)
	if !known {
		return nil, errors.Newf("no policy is named %q; the policies are %v", policy, Policies())
	}
	si, err := newSimulation(tr, effective, entry, seed)
	if err != nil {
		return nil, err
	}
	si.run()
	return si.measures.result(), nil
}
