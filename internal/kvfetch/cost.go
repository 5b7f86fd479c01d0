package kvfetch

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// PrefillTime returns how long an engine takes to prefill the tokens, by the fastest prefill observed.
func PrefillTime(tokens chestnutroad.Tokens) time.Duration { return prefillTime(max(0, tokens)) }

// FetchTime returns how long it takes to fetch the cache of the tokens from an idle source; zero where fetches are disabled.
func (pf Profile) FetchTime(tokens chestnutroad.Tokens) time.Duration {
	if !pf.Enabled() || tokens <= 0 {
		return 0
	}
	return pf.transferTime(tokens) + fetchOverhead
}

// Size returns the size of the cache of the tokens.
func (pf Profile) Size(tokens chestnutroad.Tokens) chestnutroad.Bytes {
	return chestnutroad.Bytes(min(pf.size(max(0, tokens)), maxBytes))
}
