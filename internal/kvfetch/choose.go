package kvfetch

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Source is an engine that probably holds a part and can send it.
type Source struct {
	Target      chestnutroad.TargetID
	Incarnation chestnutroad.Incarnation
	// Local is true when the engine is in the data centre of the one that would fetch.
	Local bool
	// Tie orders sources that are otherwise equal. It should differ between requests, so that hosts name different ones.
	Tie uint64
}

// Decision is a source that is named, and what it is expected to cost.
type Decision struct {
	Source Source
	// Wait is the time for which transfers that were named before keep the source busy, and Transfer that of this one.
	Wait     time.Duration
	Transfer time.Duration
	Tokens   chestnutroad.Tokens
	Bytes    chestnutroad.Bytes
}

// maxBytes bounds the estimated size of a transfer, so that sums do not overflow whatever sizes callers state.
const maxBytes = 1 << 50

// Choose returns the source from which the engine should fetch the cache of the tokens, or false when prefilling them is
// expected to be as fast. Sources in the engine's data centre come first, among them the one with the shortest queue.
func (tr *Transfers) Choose(now time.Time, pf Profile, tokens chestnutroad.Tokens, sources []Source) (Decision, bool) {
	if !pf.Enabled() || tokens <= 0 {
		return Decision{}, false
	}
	transfer := pf.transferTime(tokens)
	limit := prefillTime(tokens) - transfer - fetchOverhead
	eligible := slices.DeleteFunc(slices.Clone(sources), func(src Source) bool { return tr.wait(now, &src) >= limit })
	if len(eligible) == 0 {
		return Decision{}, false
	}
	best := slices.MinFunc(eligible, func(a, b Source) int {
		return cmp.Or(
			cmp.Compare(remoteness(&a), remoteness(&b)),
			cmp.Compare(tr.wait(now, &a), tr.wait(now, &b)),
			cmp.Compare(a.Tie, b.Tie),
		)
	})
	return Decision{
		Source: best, Wait: tr.wait(now, &best), Transfer: transfer, Tokens: tokens,
		Bytes: chestnutroad.Bytes(min(pf.size(tokens), maxBytes)),
	}, true
}

func remoteness(src *Source) int {
	if src.Local {
		return 0
	}
	return 1
}
