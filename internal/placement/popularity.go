package placement

import (
	"math"
	"time"
)

const (
	// popularityMemory is the time constant with which requests for a part are forgotten. In 8 s a host of the grown
	// sites gets some 60 requests, which tells a part with a tenth of them from the others.
	popularityMemory = 8 * time.Second
	// maxParts bounds the parts that are remembered.
	maxParts = 4096
	// minPopularCount is the count from which a part may be popular: most parts appear once or twice by chance.
	minPopularCount = 3
	// countDeviations is the number of standard deviations by which a count is taken as too high.
	countDeviations = 0.5
)

// popularity estimates from a host's own requests which share of all requests has one part in common.
type popularity struct {
	parts map[string]float64
	total float64
	// scale grows with time in place of all counts fading.
	scale float64
	scaledAt time.Time
}

func newPopularity() *popularity { return &popularity{parts: map[string]float64{}, scale: 1} }

// maxScale is when the counts are scaled back, long before they lose precision.
const maxScale = 1e6

func (pp *popularity) advance(now time.Time) {
	if pp.scaledAt.IsZero() || now.Before(pp.scaledAt) {
		pp.scaledAt = now
	}
	pp.scale *= math.Exp(now.Sub(pp.scaledAt).Seconds() / popularityMemory.Seconds())
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

// record counts a request with the part and returns the least share of all requests that the part likely has.
func (pp *popularity) record(now time.Time, part string) float64 {
	pp.advance(now)
	pp.parts[part] += pp.scale
	pp.total += pp.scale
	count := pp.parts[part] / pp.scale
	if count < minPopularCount {
		return 0
	}
	return (count - countDeviations*math.Sqrt(count)) / (pp.total / pp.scale)
}
