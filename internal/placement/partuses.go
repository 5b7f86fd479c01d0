package placement

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// minUsesSpan is the shortest time over which uses are counted after the start, so that the first ones don't seem frequent.
	minUsesSpan = 10 * time.Second
	// returnWeight is the weight of one part in the share of parts that come again.
	returnWeight = 1.0 / 64
)

// partUses estimates how often prompt parts are used at this host, over the time for which a part stays cached.
type partUses struct {
	counts    *popularity
	startedAt time.Time
	// returning is the share of the parts seen once that come again within the time.
	returning float64
}

func newPartUses() *partUses { return &partUses{counts: newPopularity(DefaultPartMemory)} }

// rate returns the expected number of further uses of the part a second. It counts a use unless the request is a retry.
func (pu *partUses) rate(now time.Time, part string, first bool) chestnutroad.RequestRate {
	if pu.startedAt.IsZero() {
		pu.startedAt = now
	}
	if first {
		before := pu.count(part)
		pu.counts.record(now, part)
		pu.observe(before)
	}
	others := max(0, pu.count(part)-1)
	span := min(DefaultPartMemory, max(minUsesSpan, now.Sub(pu.startedAt)))
	return chestnutroad.RequestRate(max(others/span.Seconds(), pu.returning/DefaultPartMemory.Seconds()))
}

// count returns the decayed number of uses of the part.
func (pu *partUses) count(part string) float64 { return pu.counts.parts[part] / pu.counts.scale }

// observe updates the share of parts that come again by the decayed number of uses before another one.
func (pu *partUses) observe(before float64) {
	switch {
	case before < 1/math.E:
		pu.returning -= returnWeight * pu.returning
	case before <= 1:
		pu.returning += returnWeight * (1 - pu.returning)
	}
}
