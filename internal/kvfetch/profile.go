package kvfetch

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Mode selects the services for which sources of fetches are named.
type Mode string

// The modes.
const (
	// Auto names sources for services whose engines are replicas with a cache of at most maxAutoTokenBytes a token.
	Auto Mode = "Auto"
	// On names sources for all services whose configuration states the sizes.
	On Mode = "On"
	// Off names none.
	Off Mode = "Off"
)

// Modes returns all modes, the default first.
func Modes() []Mode { return []Mode{Auto, On, Off} }

const (
	// maxAutoTokenBytes is the largest cache of a token for which Auto names sources. Up to it, moving a part costs no more than
	// about ten times the bytes of its text; the caches of other installations take 35 to 328 KB a token.
	maxAutoTokenBytes = 24 << 10
	// prefillRate is the number of tokens that an engine prefills in a second. Engines were observed to prefill 57 to 82 a ms; with
	// the highest figure, a fetch is named only where it is faster than the fastest prefill.
	prefillRate = 82_000
	// fetchOverhead is the time of a fetch besides its transfer: a message takes up to 1.4 ms to another data centre, and the
	// request and the first byte are one each, less what they overlap with the request's own way to the engine.
	fetchOverhead = 2 * time.Millisecond
	bitsPerByte   = 8
	bitsPerMbit   = 1_000_000
)

// Profile holds the figures of a service by which fetches are judged; the zero Profile disables them.
type Profile struct {
	// TokenBytes is the size of the cache of one token, and LinkRate the rate of an engine's link in bytes a second.
	TokenBytes chestnutroad.Bytes
	LinkRate   float64
}

// NewProfile returns the profile of a service's engines, which is zero unless the mode enables fetches for them. An empty mode is
// Auto.
func NewProfile(mode Mode, spec *chestnutroad.EngineSpec) Profile {
	if mode == Off || spec == nil || spec.KVBytes <= 0 || spec.LinkMbps <= 0 {
		return Profile{}
	}
	if mode != On && (!spec.Replicas || spec.KVBytes > maxAutoTokenBytes) {
		return Profile{}
	}
	return Profile{TokenBytes: spec.KVBytes, LinkRate: spec.LinkMbps * bitsPerMbit / bitsPerByte}
}

// Enabled reports whether sources are named for the service.
func (pf Profile) Enabled() bool { return pf.TokenBytes > 0 && pf.LinkRate > 0 }

// size returns the size of the cache of the tokens.
func (pf Profile) size(tokens chestnutroad.Tokens) float64 {
	return float64(tokens) * float64(pf.TokenBytes)
}

// transferTime returns how long a link is busy with the cache of the tokens, at most maxTransfer.
func (pf Profile) transferTime(tokens chestnutroad.Tokens) time.Duration {
	return duration(pf.size(tokens) / pf.LinkRate)
}

// prefillTime returns how long an engine takes to prefill the tokens, at most maxTransfer.
func prefillTime(tokens chestnutroad.Tokens) time.Duration {
	return duration(float64(tokens) / prefillRate)
}

// maxTransfer bounds estimated times, so that sums do not overflow whatever sizes callers state.
const maxTransfer = time.Hour

// duration converts seconds.
func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxTransfer.Seconds()) * float64(time.Second))
}
