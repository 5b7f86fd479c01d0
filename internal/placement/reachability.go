package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// minBackoff and maxBackoff bound the time for which an unreachable target or data centre gets no requests; a host
	// notices the end of a network partition after maxBackoff at most.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 2 * time.Second
	// sameFailureWindow is the time after a failure in which further ones are ignored: they are of requests that were in
	// flight at the same time.
	sameFailureWindow = minBackoff / 2
	// centreFailureThreshold is the number of different targets of a data centre to which connections must fail before the
	// data centre counts as unreachable. The count restarts at zero when the state of the data centre is reset (see centre).
	centreFailureThreshold = 3
)

// breaker is a circuit breaker for connections to a target or a data centre. A failure opens it for a backoff that doubles.
// After that it is half-open: the next request is a probe, and the breaker is open for others for another backoff or until
// the probe succeeds.
type breaker struct {
	// backoff is zero while the breaker is closed.
	backoff   time.Duration
	openUntil time.Time
	failedAt  time.Time
}

// recordFailure records a failed connection and reports whether it was the first since the breaker was closed.
func (br *breaker) recordFailure(now time.Time) bool {
	if br.backoff > 0 && now.Sub(br.failedAt) < sameFailureWindow {
		return false
	}
	first := br.backoff == 0
	br.backoff = min(maxBackoff, max(minBackoff, 2*br.backoff))
	br.openUntil, br.failedAt = now.Add(br.backoff), now
	return first
}

// open reports whether the breaker is open, so that requests should not be sent.
func (br *breaker) open(now time.Time) bool { return br.backoff > 0 && now.Before(br.openUntil) }

// probe records that a request is sent and reports whether it is a probe.
func (br *breaker) probe(now time.Time) bool {
	if br.backoff > 0 {
		br.openUntil = now.Add(br.backoff)
	}
	return br.backoff > 0
}

// centre is the state of the connections to the targets of a data centre. It is reset by recordAnswer, when one of the
// targets served or shed a request, or another target answered at its address.
type centre struct {
	breaker breaker
	// failedTargets holds the targets to which connections failed.
	failedTargets map[chestnutroad.TargetID]bool
	// staleUntil is the end of the time in which idle connections to the targets are not reused.
	staleUntil time.Time
}

// markStale records that an idle connection had ended when it was reused. When a data centre is cut off, the connections to
// all of its targets have ended. A request sent on such a connection is lost and may have run, whereas a new connection
// fails before the request is sent.
func (cn *centre) markStale(now time.Time) { cn.staleUntil = now.Add(minBackoff) }

// needsNewConnection reports whether a request to the target should not reuse an idle connection.
func (pl *Pool) needsNewConnection(now time.Time, tg *target) bool {
	cn := pl.centres[tg.entry.DataCentre]
	return cn != nil && now.Before(cn.staleUntil)
}

// recordFailure records a failed connection to a target and reports whether the data centre became unreachable by it.
func (cn *centre) recordFailure(now time.Time, id chestnutroad.TargetID) bool {
	cn.failedTargets[id] = true
	return len(cn.failedTargets) >= centreFailureThreshold && cn.breaker.recordFailure(now)
}

// ReachabilityChange describes how the outcome of a request changed what is reachable.
type ReachabilityChange struct {
	// TargetLost and CentreLost are true when the target or its data centre became unreachable.
	TargetLost, CentreLost bool
	// TargetRecovered and CentreRecovered are true when they became reachable again.
	TargetRecovered, CentreRecovered bool
}

func (pl *Pool) centre(id chestnutroad.DataCentreID) *centre {
	cn := pl.centres[id]
	if cn == nil {
		cn = &centre{failedTargets: map[chestnutroad.TargetID]bool{}}
		pl.centres[id] = cn
	}
	return cn
}

// recordAnswer closes the breakers of a target that answered and of its data centre.
func (pl *Pool) recordAnswer(tg *target) ReachabilityChange {
	cn := pl.centres[tg.entry.DataCentre]
	change := ReachabilityChange{TargetRecovered: tg.breaker.backoff > 0, CentreRecovered: cn != nil && cn.breaker.backoff > 0}
	tg.breaker, tg.crashed = breaker{}, false
	delete(pl.centres, tg.entry.DataCentre)
	return change
}

// unreachable reports whether the breaker of the target or of its data centre is open.
func (pl *Pool) unreachable(now time.Time, tg *target) bool {
	if pl.disabled.Off(mechanism.Reachability) {
		return false
	}
	cn := pl.centres[tg.entry.DataCentre]
	return tg.breaker.open(now) || cn != nil && cn.breaker.open(now)
}

// suspect reports whether the target is used only when there is no other.
func (pl *Pool) suspect(now time.Time, tg *target) bool {
	return pl.unreachable(now, tg) || tg.paused(now) || !pl.disabled.Off(mechanism.Ejection) && tg.failing(now)
}

// probe records that a request is sent to the target and reports whether it is a probe of the target or its data centre.
func (pl *Pool) probe(now time.Time, tg *target) bool {
	probe := tg.breaker.probe(now)
	if cn := pl.centres[tg.entry.DataCentre]; cn != nil {
		probe = cn.breaker.probe(now) || probe
	}
	return probe
}
