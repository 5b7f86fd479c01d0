package admission

// floorSteps is the number of bisection steps in which the floor is found, to within 0.4/2^10 of the requests.
const floorSteps = 10

// allocation is the division of refused work among classes: the least urgent class is refused first, down to a floor for the share
// of its requests that is admitted, then the next one.
type allocation struct {
	demand *[classCount]float64
	// refused is the refused share of each class.
	refused [classCount]float64
}

// newAllocation refuses the excess, a share of the demand of the classes from the first one on, in work. The floor is minAdmitShare times the mean admitted share
// by number of requests: a class of long requests has a larger share of the work than of the requests, and a floor derived from the
// work would let it starve.
func newAllocation(demand, requests *[classCount]float64, excess float64, first int) *allocation {
	al := &allocation{demand: demand}
	low, high := 0.0, minAdmitShare
	if first == 0 {
		high = min(high, 1-excess)
	}
	for range floorSteps {
		floor := (low + high) / 2
		al.refuse(excess, floor, first)
		if minAdmitShare*al.meanAdmitted(requests) > floor {
			low = floor
		} else {
			high = floor
		}
	}
	al.refuse(excess, high, first)
	al.protectLastAttempts(high * minYieldShare / minAdmitShare)
	return al
}

// refuse sets the refused shares, with at least the floor of each class admitted.
func (al *allocation) refuse(excess, floor float64, first int) {
	remaining := 0.0
	for _, work := range al.demand[first:] {
		remaining += excess * work
	}
	for class := classCount - 1; class >= first; class-- {
		al.refused[class] = 0
		remaining -= al.refuseMore(class, remaining, floor)
	}
}

// refuseMore refuses up to the work of a class in addition, down to the floor, and returns the work that it refused.
func (al *allocation) refuseMore(class int, work, floor float64) float64 {
	if al.demand[class] <= 0 {
		return 0
	}
	more := max(0, min(work, (1-floor-al.refused[class])*al.demand[class]))
	al.refused[class] += more / al.demand[class]
	return more
}

// meanAdmitted returns the admitted share of all requests by number.
func (al *allocation) meanAdmitted(requests *[classCount]float64) float64 {
	admitted, total := 0.0, 0.0
	for class, count := range requests {
		admitted += (1 - al.refused[class]) * count
		total += count
	}
	return admitted / total
}

// protectLastAttempts moves refusals of last attempts to less urgent ranks, down to the lower floor.
func (al *allocation) protectLastAttempts(floor float64) {
	for class := 0; class < classCount; class += precedenceCount {
		for other := classCount - 1; other >= class+precedenceCount && al.refused[class] > 0; other-- {
			moved := al.refuseMore(other, al.refused[class]*al.demand[class], floor)
			al.refused[class] = max(0, al.refused[class]-moved/al.demand[class])
		}
	}
}
