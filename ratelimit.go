package chestnutroad

import "time"

// RequestRate is a number of requests a second.
type RequestRate float64

// RateClasses is the number of classes of urgency in which the demand for a target with a limit is counted.
const RateClasses = 4

// TargetRate is what one host, or several together, know of a target that limits the requests a second that it takes.
type TargetRate struct {
	Target TargetHash
	// Limit is the limit that the target's latest answer stated; zero when it stated none any more.
	Limit RequestRate
	// Age is the time since that answer.
	Age time.Duration
	// Sent is the decayed number of requests that were sent to the target, and Wanted that of the requests for which the target was
	// considered, by class.
	Sent   float64
	Wanted [RateClasses]float64
}
