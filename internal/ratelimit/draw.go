package ratelimit

// partWeight is the weight of the part's draw in that of a request. The rest spreads the requests with a part that is just at the
// admitted share.
const partWeight = 0.8

// PartDraw combines the draws of a request and of its prompt part, uniform numbers in [0, 1), to one that is uniform as well. Most
// parts are then admitted at a target always or never, in place of each part some of the time, which would have it read at two
// targets.
func PartDraw(part, request float64) float64 {
	const rest = 1 - partWeight
	sum := partWeight*part + rest*request
	// The distribution function of the sum of the two weighted draws.
	switch {
	case sum < rest:
		return sum * sum / (2 * partWeight * rest)
	case sum < partWeight:
		return (sum - rest/2) / partWeight
	default:
		return 1 - (1-sum)*(1-sum)/(2*partWeight*rest)
	}
}
