package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// minBackoff and longestPause bound the time for which what can't be reached gets no requests; a host learns of the
	// end of a cut after the longest one at most.
	minBackoff   = 500 * time.Millisecond
	maxBackoff = 2 * time.Second
	// sameFailureWindow is the time in which further misses tell no more than the first: requests that were on their way with it.
	sameFailureWindow = minBackoff / 2
	// centreFailureThreshold is the number of targets of a data centre that can't be reached, one after the other with none that
	// answered between them, from which the data centre counts as cut off.
	centreFailureThreshold = 3
)

// breaker is what is known of the connections to a target or a data centre. After a miss it is closed for a pause that
// doubles; then one request tries, and the others pass over until it has ended.
type breaker struct {
	backoff    time.Duration
	openUntil    time.Time
	failedAt time.Time
}

// recordFailure takes in a connection that failed and reports whether that is the first since one was opened.
func (rc *breaker) recordFailure(now time.Time) bool {
	if rc.backoff > 0 && now.Sub(rc.failedAt) < sameFailureWindow {
		return false
	}
	first := rc.backoff == 0
	rc.backoff = min(maxBackoff, max(minBackoff, 2*rc.backoff))
	rc.openUntil, rc.failedAt = now.Add(rc.backoff), now
	return first
}

// open reports whether a request would most likely only wait for a connection.
func (rc *breaker) open(now time.Time) bool { return rc.backoff > 0 && now.Before(rc.openUntil) }

// probe notes a request and reports whether it finds out that a connection can be opened again.
func (rc *breaker) probe(now time.Time) bool {
	if rc.backoff > 0 {
		rc.openUntil = now.Add(rc.backoff)
	}
	return rc.backoff > 0
}

// centre is what is known of the connections to the targets of a data centre.
type centre struct {
	breaker breaker
	// failedTargets are the targets that could not be reached since one was.
	failedTargets map[chestnutroad.TargetID]bool
	// staleUntil is the end of the time in which kept connections to the targets are not used.
	staleUntil time.Time
}

// markStale notes that a kept connection had ended. When a data centre is cut off, those to all of its targets have, and each
// request that is sent on one may have run and is lost; a new connection fails before the request is sent.
func (cn *centre) markStale(now time.Time) { cn.staleUntil = now.Add(minBackoff) }

// needsNewConnection reports whether a request to the target should open a new connection.
func (pl *Pool) needsNewConnection(now time.Time, tg *target) bool {
	known := pl.centres[tg.entry.DataCentre]
	return known != nil && now.Before(known.staleUntil)
}

func (cn *centre) recordFailure(now time.Time, id chestnutroad.TargetID) bool {
	cn.failedTargets[id] = true
	return len(cn.failedTargets) >= centreFailureThreshold && cn.breaker.recordFailure(now)
}

// ReachabilityChange says how the outcome of a request changed what is believed of connections.
type ReachabilityChange struct {
	// TargetLost and CentreLost are true when the target or its data centre can't be reached from now on.
	TargetLost, CentreLost bool
	// TargetRecovered and CentreRecovered are true when they can be reached again.
	TargetRecovered, CentreRecovered bool
}

func (pl *Pool) centre(id chestnutroad.DataCentreID) *centre {
	known := pl.centres[id]
	if known == nil {
		known = &centre{failedTargets: map[chestnutroad.TargetID]bool{}}
		pl.centres[id] = known
	}
	return known
}

// recordAnswer takes in that a target answered.
func (pl *Pool) recordAnswer(tg *target) ReachabilityChange {
	known := pl.centres[tg.entry.DataCentre]
	change := ReachabilityChange{TargetRecovered: tg.breaker.backoff > 0, CentreRecovered: known != nil && known.breaker.backoff > 0}
	tg.breaker = breaker{}
	delete(pl.centres, tg.entry.DataCentre)
	return change
}

// unreachable reports whether the target or its data centre could not be reached lately.
func (pl *Pool) unreachable(now time.Time, tg *target) bool {
	if pl.off.Off(mechanism.Reachability) {
		return false
	}
	known := pl.centres[tg.entry.DataCentre]
	return tg.breaker.open(now) || known != nil && known.breaker.open(now)
}

// suspect reports whether requests go elsewhere while there is another target.
func (pl *Pool) suspect(now time.Time, tg *target) bool {
	return pl.unreachable(now, tg) || tg.paused(now) || !pl.off.Off(mechanism.Ejection) && tg.failing(now)
}

// probe notes that a request is sent to the target and reports whether it is a trial.
func (pl *Pool) probe(now time.Time, tg *target) bool {
	trial := tg.breaker.probe(now)
	if known := pl.centres[tg.entry.DataCentre]; known != nil {
		trial = known.breaker.probe(now) || trial
	}
	return trial
}
