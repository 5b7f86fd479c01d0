package work

import "github.com/chestnutroad/chestnutroad"

// defaultGenerated is the number of generated tokens that is assumed for a request without a stated limit; the answers of the
// known request kinds have 60 to 250.
const defaultGenerated = 128

// Prompt describes the prompt of a request.
type Prompt struct {
	// Total is the number of all prompt tokens, Shared that of the parts that other requests share.
	Total, Shared chestnutroad.Tokens
}

// Prefilled returns the number of tokens that a target probably prefills. The part that only this request uses is never cached.
func (pt Prompt) Prefilled(sharedCached bool) chestnutroad.Tokens {
	if sharedCached {
		return max(0, pt.Total-pt.Shared)
	}
	return max(pt.Total, pt.Shared)
}

// Generated returns the expected number of generated tokens of a request: the limit that its caller states times the events per
// allowed token that were observed. An unknown rate of zero counts as one.
func Generated(limit chestnutroad.Tokens, eventsPerToken float64) chestnutroad.Tokens {
	if limit <= 0 {
		return defaultGenerated
	}
	if eventsPerToken <= 0 || eventsPerToken > 1 {
		return limit
	}
	return chestnutroad.Tokens(eventsPerToken * float64(limit))
}
