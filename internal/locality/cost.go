package locality

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// defaultPartMemory is the time for which a part stays at its target after its last use, as in package placement.
	defaultPartMemory = time.Minute
	// maxCost limits the costs that callers of the package state; longer ones are malformed.
	maxCost = time.Minute
	// maxPartRate limits the uses of a part a second.
	maxPartRate = 1e5
	// costWeight is the weight of one request in the mean extra cost and in the share of cheap requests.
	costWeight = 1.0 / 64
	// minClass is the smallest share of requests that is told apart as cheap, or as costly.
	minClass = 0.02
	mebibyte = 1 << 20
)

// Part is the prompt part that a request shares with others.
type Part struct {
	// Draw is a uniform number in [0, 1) that is fixed for the part.
	Draw float64
	// Local and Remote state whether the part is probably cached on the side.
	Local, Remote bool
	// Rate is the number of uses a second that callers of this data centre are expected to make.
	Rate chestnutroad.RequestRate
	// Prefill is the time to prefill the part. FetchLocal and FetchRemote are the times to fetch it to a target of the side;
	// zero when it can't be fetched there.
	Prefill, FetchLocal, FetchRemote time.Duration
}

// copyCost returns the cost of having a part at a side where it isn't cached.
func copyCost(prefill, fetch time.Duration) time.Duration {
	prefill = clampCost(prefill)
	if fetch <= 0 {
		return prefill
	}
	return min(prefill, clampCost(fetch))
}

func clampCost(cost time.Duration) time.Duration { return min(maxCost, max(0, cost)) }

// distanceCost returns what a request costs on the remote side beyond what it costs on the local one, without the part. It is negative
// when the wait is longer on the local side.
func (bl *Balancer) distanceCost(req *Request) time.Duration {
	traffic := time.Duration(float64(max(0, req.Traffic)) / mebibyte * float64(bl.bytePrice))
	waits := (bl.counts.Remote.overload() - bl.counts.Local.overload()) * float64(clampCost(bl.counts.Duration))
	return clampCost(bl.counts.RoundTrip) + clampCost(traffic) + time.Duration(waits)
}

// extraCost returns what the request costs on the remote side beyond what it costs on the local one.
func (bl *Balancer) extraCost(req *Request) time.Duration {
	extra := bl.distanceCost(req)
	if req.Part == nil {
		return extra
	}
	if !req.Part.Remote {
		extra += copyCost(req.Part.Prefill, req.Part.FetchRemote)
	}
	if !req.Part.Local {
		extra -= copyCost(req.Part.Prefill, req.Part.FetchLocal)
	}
	return extra
}

// cheaperRemote reports whether a part that is cached only on the remote side should be used there: the requests that are expected
// while the part is kept don't make up for copying it.
func (bl *Balancer) cheaperRemote(req *Request) bool {
	part := req.Part
	if part == nil || part.Local || !part.Remote {
		return false
	}
	uses := max(1, finite(float64(part.Rate), maxPartRate)*bl.memory.Seconds())
	return uses*bl.distanceCost(req).Seconds() < copyCost(part.Prefill, part.FetchLocal).Seconds()
}

// finite returns the value limited to the range from zero to limit, or zero when it is no number.
func finite(value, limit float64) float64 {
	if math.IsNaN(value) {
		return 0
	}
	return min(limit, max(0, value))
}

// costs divides requests into cheap and costly ones by the mean extra cost.
type costs struct {
	// mean is the mean extra cost in seconds, cheap the share of requests that cost no more.
	mean, cheap float64
}

func newCosts() costs { return costs{cheap: 1} }

// probability records a request and returns the probability with which it leaves, so that the share leaves in all and the cheap ones
// leave first.
func (cs *costs) probability(share float64, extra time.Duration) float64 {
	isCheap := extra.Seconds() <= cs.mean
	cs.mean += costWeight * (extra.Seconds() - cs.mean)
	cheap := 0.0
	if isCheap {
		cheap = 1
	}
	cs.cheap += costWeight * (cheap - cs.cheap)
	switch {
	case cs.cheap < minClass || cs.cheap > 1-minClass:
		return share
	case isCheap:
		return min(1, share/cs.cheap)
	default:
		return max(0, (share-cs.cheap)/(1-cs.cheap))
	}
}
