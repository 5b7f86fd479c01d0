package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/decay"
)

const (
	// overBoundGoal is the share of arrivals at targets over the bound that the margin is controlled to. The installation
	// allows this share; as departures hide some arrivals, the measured share reaches it when the actual one is about half
	// as high.
	overBoundGoal = 0.03
	// marginGain is the growth of the margin per second for each unit by which the share exceeds the goal: an excess of a
	// tenth widens the margin from zero to the maximum in half a second.
	marginGain = 10
	maxMargin  = 0.5
	// maxMarginStep caps the elapsed time that one adjustment accounts for.
	maxMarginStep = 500 * time.Millisecond
	// arrivalTimeConstant is the time constant with which the counts of arrivals decay; with fewer than minArrivals the
	// margin is not changed.
	arrivalTimeConstant = 2 * time.Second
	minArrivals         = 20
)

// margin controls the fraction of the bound, just below it, in which a growing share of requests skips a target. The
// counts of other hosts are late: a wider margin lets fewer requests reach a target over the bound, but more shared parts
// are prefilled again elsewhere. The width needed depends on the number of targets, the duration of requests and the age
// of the counts, so it is controlled by the measured share of arrivals over the bound.
type margin struct {
	width float64
	// arrivals is the decayed sum of increases of the counts, overBound the part of it that went over the bound.
	arrivals, overBound float64
	updatedAt           time.Time
}

func (pl *Pool) margin(service chestnutroad.ServiceID) *margin {
	mg := pl.margins[service]
	if mg == nil {
		mg = &margin{}
		pl.margins[service] = mg
	}
	return mg
}

// observeCounts adds the increases of the targets' counts since the previous call.
func (mg *margin) observeCounts(targets []*target, bound int) {
	for _, tg := range targets {
		count := tg.ownCount + tg.peerCount
		if increase := count - tg.previousCount; increase > 0 && tg.usable() {
			mg.arrivals += float64(increase)
			mg.overBound += float64(max(0, count-max(tg.previousCount, bound)))
		}
		tg.previousCount = count
	}
}

// adjust changes the width by the observed share of arrivals over the bound, then decays the observations.
func (mg *margin) adjust(now time.Time) {
	elapsed := now.Sub(mg.updatedAt)
	mg.updatedAt = now
	if mg.arrivals >= minArrivals {
		share := mg.overBound / mg.arrivals
		change := marginGain * min(maxMarginStep, elapsed).Seconds() * (share - overBoundGoal)
		mg.width = min(maxMargin, max(0, mg.width+change))
	}
	remaining := decay.Factor(elapsed, arrivalTimeConstant)
	mg.arrivals *= remaining
	mg.overBound *= remaining
}
