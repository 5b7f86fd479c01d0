package entry

import "github.com/chestnutroad/chestnutroad/internal/attempt"

// stallEnd is what followed the stall of a target; its values are label values of a metric.
type stallEnd string

const (
	// stallRetried means that the request was sent to another target.
	stallRetried stallEnd = "Retried"
	// stallNoTime means that too little time was left for another send.
	stallNoTime stallEnd = "NoTime"
	// stallNoBudget means that the retry budget was used up.
	stallNoBudget stallEnd = "NoBudget"
	// stallNoTarget means that there was no other target to choose.
	stallNoTarget stallEnd = "NoTarget"
)

// stallEnds lists all values.
var stallEnds = []stallEnd{stallRetried, stallNoTime, stallNoBudget, stallNoTarget}

func stallEndOf(found bool) stallEnd {
	if found {
		return stallRetried
	}
	return stallNoTarget
}

// stallEndWithoutRetry returns why a request, whose last send stalled, is not sent again. A send stalls only when the
// request may be sent once more.
func stallEndWithoutRetry(ex *exchange) stallEnd {
	if ex.progress.Remaining < attempt.MinRemaining {
		return stallNoTime
	}
	return stallNoBudget
}

// recordStallEnd records what followed a stall, for the log and the metrics.
func (en *Entry) recordStallEnd(ex *exchange, end stallEnd) {
	ex.stalls = append(ex.stalls, end)
	en.counters.countStall(string(ex.service), end)
}
