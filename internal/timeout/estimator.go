package timeout

import "time"

const (
	// meanGain is the weight of a new wait in the moving average, and deviationGain that of its distance from it in the mean
	// deviation; both are those of TCP's retransmission timer.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviationFactor is the number of mean deviations by which the timeout exceeds the mean.
	deviationFactor = 4
	// censoredFactor multiplies a wait that timed out, since its full length is not known.
	censoredFactor = 2
)

// Estimator estimates a timeout from the waits of similar requests. A wait that timed out counts as twice as long: if all
// targets of a host became slow, the timeout grows with each such wait, while one target that hangs among others that answer
// hardly changes it. The zero value is ready to use; it is not safe for concurrent use.
type Estimator struct {
	mean, deviation time.Duration
	initialised     bool
}

// Observe adds a wait that ended with progress.
func (es *Estimator) Observe(wait time.Duration) {
	if !es.initialised {
		es.mean, es.deviation, es.initialised = wait, wait/2, true
		return
	}
	diff := wait - es.mean
	es.mean += time.Duration(meanGain * float64(diff))
	es.deviation += time.Duration(deviationGain * float64(diff.Abs()-es.deviation))
}

// ObserveTimeout adds a wait that was given up without progress.
func (es *Estimator) ObserveTimeout(wait time.Duration) { es.Observe(censoredFactor * wait) }

// Timeout returns the estimated timeout, or zero before the first wait.
func (es *Estimator) Timeout() time.Duration { return es.mean + deviationFactor*es.deviation }
