package decay

import "time"

// Factor returns the factor by which a count decays in the elapsed time: it falls linearly from one to zero at timeConstant.
// Counts that are updated at short intervals decay approximately exponentially with this time constant.
func Factor(elapsed, timeConstant time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return max(0, 1-elapsed.Seconds()/timeConstant.Seconds())
}
