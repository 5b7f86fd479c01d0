package warmup

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// DefaultOverrun and DefaultTolerance define the bound where the platform states none: a cold target may get the multiple of its rate
// and some requests more in any second.
const (
	DefaultOverrun   = 1.5
	DefaultTolerance = 5
)

const (
	// violationRisk is the expected number of violations of the bound in one cold time.
	violationRisk = 1e-3
	// rateFactor and rateExcess bound the rate that package ratelimit may reach after a time with few requests: a multiple of its
	// limit, and requests a second beside it.
	rateFactor = 1.05
	rateExcess = 0.5
	// searchSteps halve the interval of the rate to a millionth.
	searchSteps = 20
	// maxExactRate is the rate above which a deviation of an arrival count from its mean doesn't matter for the bound, and the
	// probabilities would underflow.
	maxExactRate = 500
)

// Bound is the number of requests that a cold target tolerates in any second: Overrun times its rate, and Tolerance more.
type Bound struct{ Overrun, Tolerance float64 }

// allowed returns the number of requests in a second at a cold rate.
func (bd Bound) allowed(perSecond float64) int { return int(bd.Overrun*perSecond + bd.Tolerance) }

// SafeRate returns the rate of all hosts together with which random arrivals stay within the bound of a cold target: the largest one,
// up to perSecond, with at most violationRisk expected violations in the cold time. A violation is a request that is followed by as
// many others within a second as the bound allows.
func SafeRate(perSecond chestnutroad.RequestRate, coldTime time.Duration, bound Bound) chestnutroad.RequestRate {
	if perSecond <= 0 || perSecond > maxExactRate {
		return max(0, perSecond)
	}
	allowed, span := bound.allowed(float64(perSecond)), max(time.Second, coldTime).Seconds()
	low, high := 0.0, float64(perSecond)
	for range searchSteps {
		middle := (low + high) / 2
		reached := rateFactor*middle + rateExcess
		if reached*span*poissonTail(reached, allowed) <= violationRisk {
			low = middle
		} else {
			high = middle
		}
	}
	if low == 0 {
		// The bound allows hardly any request; the target still has to get some to be served again.
		low = high
	}
	return chestnutroad.RequestRate(low)
}

// poissonTail returns the probability of count arrivals or more when the mean is given.
func poissonTail(mean float64, count int) float64 {
	term, below := math.Exp(-mean), 0.0
	for number := range count {
		below += term
		term *= mean / float64(number+1)
	}
	return max(0, 1-below)
}
