package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/decay"
)

const (
	// overBoundGoal is the share of arrivals at targets over the bound that the margin is set for, that of the installation's
	// rule. As departures hide some arrivals, it is reached with about half as many.
	overBoundGoal = 0.03
	// marginGain is how much the margin grows in a second for each part of the arrivals above the goal: with a tenth of
	// them over the bound it takes half a second from none to the widest.
	marginGain   = 10
	maxMargin = 0.5
	// maxMarginStep bounds the time that one look at the counts stands for.
	maxMarginStep = 500 * time.Millisecond
	// arrivalMemory is the time constant with which earlier arrivals are forgotten, and leastArrivals the number on which a
	// share rests.
	arrivalMemory  = 2 * time.Second
	minArrivals = 20
)

// margin is the part of the bound below it in which a growing share of requests passes a target over. The counts of other
// hosts are late: the wider the margin, the fewer requests meet a target over the bound, and the more shared parts are
// read again elsewhere. It follows how many arrivals went over the bound, which depends on the number of targets, on how
// long requests run and on the age of the counts.
type margin struct {
	width float64
	// arrivals and overBound are the lately seen increases of the counts, and those of targets overBound the bound.
	arrivals, overBound float64
	updatedAt             time.Time
}

func (pl *Pool) margin(service chestnutroad.ServiceID) *margin {
	known := pl.margins[service]
	if known == nil {
		known = &margin{}
		pl.margins[service] = known
	}
	return known
}

// observeCounts takes in how the counts of a service's targets changed since the last look.
func (mg *margin) observeCounts(targets []*target, bound int) {
	for _, tg := range targets {
		count := tg.ownCount + tg.peerCount
		if more := count - tg.previousCount; more > 0 && tg.usable() {
			mg.arrivals += float64(more)
			mg.overBound += float64(max(0, count-max(tg.previousCount, bound)))
		}
		tg.previousCount = count
	}
}

// adjust sets the margin by what was seen up to now.
func (mg *margin) adjust(now time.Time) {
	span := now.Sub(mg.updatedAt)
	mg.updatedAt = now
	if mg.arrivals >= minArrivals {
		share := mg.overBound / mg.arrivals
		change := marginGain * min(maxMarginStep, span).Seconds() * (share - overBoundGoal)
		mg.width = min(maxMargin, max(0, mg.width+change))
	}
	keep := decay.Factor(span, arrivalMemory)
	mg.arrivals *= keep
	mg.overBound *= keep
}
