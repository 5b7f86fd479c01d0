package timeout

import "time"

const (
	// gain is the weight of a new wait in the mean, and deviationGain that of its distance in the deviation; they are
	// those of TCP's retransmission timer.
	gain          = 1.0 / 8
	deviationGain = 1.0 / 4
	// deviations is the number of mean deviations above the mean up to which a wait is usual.
	deviations = 4
	// censored is the multiple by which a wait that was given up counts, since its end was not seen.
	censored = 2
)

// Estimator follows the waits of requests that are alike. A wait that was given up counts as twice as long, so that a host
// whose targets all became slow waits longer with each one that it gives up, while one target that hangs among others
// that answer hardly changes it. The zero value is ready to use; it is not safe for concurrent use.
type Estimator struct {
	mean, deviation time.Duration
	known           bool
}

// Observe takes in a wait that ended with progress.
func (es *Estimator) Observe(wait time.Duration) {
	if !es.known {
		es.mean, es.deviation, es.known = wait, wait/2, true
		return
	}
	away := wait - es.mean
	es.mean += time.Duration(gain * float64(away))
	es.deviation += time.Duration(deviationGain * float64(away.Abs()-es.deviation))
}

// ObserveTimeout takes in a wait that was given up without progress.
func (es *Estimator) ObserveTimeout(wait time.Duration) { es.Observe(censored * wait) }

// Timeout returns the longest wait that is usual, or zero when nothing was seen yet.
func (es *Estimator) Timeout() time.Duration { return es.mean + deviations*es.deviation }
