package placement

import (
	"math"

	"github.com/chestnutroad/chestnutroad/internal/locality"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
)

const (
	// boundDeviations is the number of standard deviations of a random number of requests by which the safe load of a target is below
	// its load bound: about 2 in 100 requests meet a higher load, and 3 in 100 may.
	boundDeviations = 2.0
	// safeRampStart is the share of the safe load, and safeRampMean the multiple of the mean load of the service, from which requests
	// leave; the higher one applies. Bursts deviate more than random numbers, and data centres with equal load don't exchange requests.
	// With a multiple of 1.25, three targets with half of the callers of nine had up to 0.058 over the bound.
	safeRampStart = 0.4
	safeRampMean  = 1.1
	// safeRampWidth is the multiple of the safe load by which the load is above the start of the ramp when all requests leave.
	safeRampWidth = 0.6
)

// safeLoad returns the mean load at which random numbers of requests rarely exceed the load bound.
func safeLoad(bound int) float64 {
	root := (math.Sqrt(boundDeviations*boundDeviations+4*float64(bound)) - boundDeviations) / 2
	return root * root
}

// aboveSafeLoad reports whether a request leaves because the load of the local targets comes near the load bound. Balancers watch slots:
// where requests are short or targets few, the counts of one moment deviate so much that a balancer takes a lasting excess for chance.
// A plain service's target with 0.6 of the callers of five then had 0.063 of its requests over the bound. The smoothed counts show it.
func aboveSafeLoad(group, local *candidateGroup, lr *locality.Request, bound int) bool {
	safe, smoothed := safeLoad(bound), meanSmoothedCount(local.healthy)
	start := max(safeRampStart*safe, safeRampMean*meanSmoothedCount(group.healthy))
	draw := lr.Draw
	if lr.Part != nil {
		draw = ratelimit.PartDraw(lr.Part.Draw, lr.Draw)
	}
	return draw < (smoothed-start)/(safeRampWidth*safe)
}

// meanSmoothedCount returns the mean of the smoothed counts of the targets.
func meanSmoothedCount(targets []*target) float64 {
	if len(targets) == 0 {
		return 0
	}
	sum := 0.0
	for _, tg := range targets {
		sum += tg.smoothedCount
	}
	return sum / float64(len(targets))
}
