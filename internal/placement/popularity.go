package placement

import (
	"math"
	"time"
)

const (
	// popularityTimeConstant is the time constant of the exponential decay of counts. A host that gets about 60 requests in
	// this time can tell a part with a tenth of them from the others.
	popularityTimeConstant = 8 * time.Second
	// maxParts is the number of parts above which those with a decayed count below 1/e are dropped.
	maxParts = 4096
	// minPopularCount is the count below which a part is not popular: most parts occur once or twice by chance.
	minPopularCount = 3
	// countDeviations is the number of standard deviations subtracted from a count for a cautious estimate.
	countDeviations = 0.5
	// minObservedTime is the time since the first count from which on rates are extrapolated from the counts.
	minObservedTime = 2 * time.Second
)

// popularity estimates, from a host's own requests, the share of all requests that have a part in common.
type popularity struct {
	timeConstant time.Duration
	parts        map[string]float64
	total        float64
	// scale grows exponentially instead of decaying every count; a count divided by it is the decayed one.
	scale    float64
	scaledAt time.Time
	// startedAt is the time of the first count.
	startedAt time.Time
}

func newPopularity(timeConstant time.Duration) *popularity {
	return &popularity{timeConstant: timeConstant, parts: map[string]float64{}, scale: 1}
}

// maxScale is the scale above which the counts are divided by it, long before they lose precision.
const maxScale = 1e6

// advance updates the scale to the time now. Above maxScale or maxParts it divides all counts by the scale and drops the
// rare parts.
func (pp *popularity) advance(now time.Time) {
	if pp.startedAt.IsZero() {
		pp.startedAt = now
	}
	if pp.scaledAt.IsZero() || now.Before(pp.scaledAt) {
		pp.scaledAt = now
	}
	pp.scale *= math.Exp(now.Sub(pp.scaledAt).Seconds() / pp.timeConstant.Seconds())
	pp.scaledAt = now
	if pp.scale <= maxScale && len(pp.parts) <= maxParts {
		return
	}
	for part, count := range pp.parts {
		pp.parts[part] = count / pp.scale
		if pp.parts[part] < 1/math.E {
			delete(pp.parts, part)
		}
	}
	pp.total /= pp.scale
	pp.scale = 1
}

// rates returns a cautious estimate of this host's requests a second with a part, zero for a part that is not popular, and those of
// all parts. Each request stands for one at every other host: at 124 hosts two by chance within the time constant would stand for a part
// with 15 requests a second.
func (pp *popularity) rates(part string) (rate, total float64) {
	// The counts started from zero at startedAt.
	observed := 1 - math.Exp(-max(minObservedTime, pp.scaledAt.Sub(pp.startedAt)).Seconds()/popularityTimeConstant.Seconds())
	seconds := popularityTimeConstant.Seconds() * pp.scale * observed
	return pp.cautiousCount(part) * pp.scale / seconds, pp.total / seconds
}

// record counts a request with the part and returns a cautious estimate of the part's share of all requests; zero below
// minPopularCount.
func (pp *popularity) record(now time.Time, part string) float64 {
	pp.advance(now)
	pp.parts[part] += pp.scale
	pp.total += pp.scale
	return pp.cautiousCount(part) / (pp.total / pp.scale)
}

// cautiousCount returns a cautious estimate of the decayed count of a part; zero below minPopularCount.
func (pp *popularity) cautiousCount(part string) float64 {
	count := pp.parts[part] / pp.scale
	if count < minPopularCount {
		return 0
	}
	return count - countDeviations*math.Sqrt(count)
}
