package admission

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/decay"
)

const (
	// outcomeTimeConstant is the time constant with which the counts of answers decay; a host sees about ten requests in
	// this time.
	outcomeTimeConstant = 2 * time.Second
	// demandTimeConstant is the time constant with which the counts of requests decay; it is short, so that refusals end
	// soon after a surge.
	demandTimeConstant = 500 * time.Millisecond
	// inTimeFactor is the number of requests admitted for each one answered in time; it is above one, so that a growing
	// capacity is found. lateFactor is the same for those answered late; it is below one, so that the queue in which they
	// waited becomes shorter.
	inTimeFactor = 1.2
	lateFactor   = 0.6
	// classCount is the number of classes: three ranks with two drop precedences each.
	classCount = 6
	// pressureThreshold is the share of a service's slots in use up to which nothing is refused, even if answers are late;
	// from there to full use, refusals grow linearly.
	pressureThreshold = 0.8
	// minAdmitShare is the least admitted share of each class, as a part of the admitted share of all requests; it keeps
	// the classes that are refused first from starving.
	minAdmitShare = 0.4
	// maxRefusalShare is the largest share of all requests that is refused; the rest shows whether there is room again.
	maxRefusalShare = 0.9
	// minOutcomes is the number of outcomes since the start below which nothing is refused; fewer say too little.
	minOutcomes = 8
)

// Throttle decides which requests of one engine service a host admits, by the recent outcomes of the host's own requests.
// Plain services need none: their targets refuse what they can't queue, which costs a caller a few milliseconds.
//
// The counts of requests at targets that hosts exchange are up to 0.4 s old. If all hosts admitted by these counts alone,
// they would all see a free slot at once and flood it, then all hold back, and a full service would answer late most of
// the time. The outcomes of a host's own requests have no such lag.
//
// The zero value is ready to use; it is not safe for concurrent use.
type Throttle struct {
	// inTime and late are the decayed counts of answers.
	inTime, late float64
	// outcomes counts all outcomes since the start, without decay.
	outcomes int
	// requests are the decayed counts of requests by class, refused ones included.
	requests  [classCount]float64
	updatedAt time.Time
}

func (th *Throttle) decayTo(now time.Time) {
	elapsed := now.Sub(th.updatedAt)
	th.updatedAt = now
	answerFactor := decay.Factor(elapsed, outcomeTimeConstant)
	th.inTime *= answerFactor
	th.late *= answerFactor
	requestFactor := decay.Factor(elapsed, demandTimeConstant)
	for index := range th.requests {
		th.requests[index] *= requestFactor
	}
}

// Outcome is how an admitted request ended, as a sign of whether its service has room.
type Outcome int

// The outcomes.
const (
	// InTime means that the answer came in time.
	InTime Outcome = iota
	// Late means that the answer came late.
	Late
	// Shed means that the target refused the request, or that the caller gave up waiting.
	Shed
)

// Observe counts the outcome of an admitted request.
func (th *Throttle) Observe(now time.Time, outcome Outcome) {
	th.decayTo(now)
	th.outcomes++
	switch outcome {
	case InTime:
		th.inTime++
	case Late:
		th.late++
	case Shed:
	}
}

// Admit counts a request and reports whether it is admitted; use is the share of the service's slots in use, and the draw
// between 0 and 1 decides where a part of the class is refused.
func (th *Throttle) Admit(now time.Time, rank int, precedence DropPrecedence, use, draw float64) bool {
	th.decayTo(now)
	class := classOf(rank, precedence)
	th.requests[class]++
	pressure := min(1, max(0, (use-pressureThreshold)/(1-pressureThreshold)))
	return draw >= pressure*th.refusalShare(class)
}

// classOf returns the class of a request; classes with higher numbers are refused first.
func classOf(rank int, precedence DropPrecedence) int {
	return min(max(2*rank+int(precedence), 0), classCount-1)
}

// refusalShare returns the share of a class to refuse so that the admitted rate follows the rate of answers. Higher classes
// are refused first, up to the limit that keeps them from starving.
func (th *Throttle) refusalShare(class int) float64 {
	if th.outcomes < minOutcomes {
		return 0
	}
	total := 0.0
	for _, count := range th.requests {
		total += count
	}
	demand := total / demandTimeConstant.Seconds()
	capacity := (inTimeFactor*th.inTime + lateFactor*th.late) / outcomeTimeConstant.Seconds()
	excess := min(maxRefusalShare, max(0, (demand-capacity)/(demand+1)))
	maxClassShare, remaining := 1-minAdmitShare*(1-excess), excess
	for index := classCount - 1; index > class; index-- {
		remaining -= min(remaining, maxClassShare*th.requests[index]/total)
	}
	return min(maxClassShare, remaining*total/th.requests[class])
}
