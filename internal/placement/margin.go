package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/decay"
)

const (
	// overGoal is the share of arrivals at targets over the bound that the margin is set for, that of the installation's
	// rule. As departures hide some arrivals, it is reached with about half as many.
	overGoal = 0.03
	// marginGain is how much the margin grows in a second for each part of the arrivals above the goal: with a tenth of
	// them over the bound it takes half a second from none to the widest.
	marginGain   = 10
	widestMargin = 0.5
	// marginStep bounds the time that one look at the counts stands for.
	marginStep = 500 * time.Millisecond
	// marginMemory is the time constant with which earlier arrivals are forgotten, and leastArrivals the number on which a
	// share rests.
	marginMemory  = 2 * time.Second
	leastArrivals = 20
)

// margin is the part of the bound below it in which a growing share of requests passes a target over. The counts of other
// hosts are late: the wider the margin, the fewer requests meet a target over the bound, and the more shared parts are
// read again elsewhere. It follows how many arrivals went over the bound, which depends on the number of targets, on how
// long requests run and on the age of the counts.
type margin struct {
	width float64
	// arrivals and over are the lately seen increases of the counts, and those of targets over the bound.
	arrivals, over float64
	at             time.Time
}

func (pl *Pool) margin(service chestnutroad.ServiceID) *margin {
	known := pl.margins[service]
	if known == nil {
		known = &margin{}
		pl.margins[service] = known
	}
	return known
}

// compare takes in how the counts of a service's targets changed since the last look.
func (mg *margin) compare(targets []*target, bound int) {
	for _, tg := range targets {
		count := tg.own + tg.others
		if more := count - tg.counted; more > 0 && tg.usable() {
			mg.arrivals += float64(more)
			mg.over += float64(max(0, count-max(tg.counted, bound)))
		}
		tg.counted = count
	}
}

// follow sets the margin by what was seen up to now.
func (mg *margin) follow(now time.Time) {
	span := now.Sub(mg.at)
	mg.at = now
	if mg.arrivals >= leastArrivals {
		share := mg.over / mg.arrivals
		change := marginGain * min(marginStep, span).Seconds() * (share - overGoal)
		mg.width = min(widestMargin, max(0, mg.width+change))
	}
	keep := decay.Factor(span, marginMemory)
	mg.arrivals *= keep
	mg.over *= keep
}
