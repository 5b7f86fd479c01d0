package decay

import "time"

// Factor returns the share of a count that is kept after the time, of which nothing is left after the memory. Counts that
// are faded often fade exponentially, with the memory as their time constant.
func Factor(elapsed, memory time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return max(0, 1-elapsed.Seconds()/memory.Seconds())
}
