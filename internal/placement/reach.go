package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// firstPause and longestPause bound the time for which what can't be reached gets no requests; a host learns of the
	// end of a cut after the longest one at most.
	firstPause   = 500 * time.Millisecond
	longestPause = 2 * time.Second
	// sameMiss is the time in which further misses tell no more than the first: requests that were on their way with it.
	sameMiss = firstPause / 2
	// cutAfter is the number of targets of a data centre that can't be reached, one after the other with none that
	// answered between them, from which the data centre counts as cut off.
	cutAfter = 3
)

// reach is what is known of the connections to a target or a data centre. After a miss it is closed for a pause that
// doubles; then one request tries, and the others pass over until it has ended.
type reach struct {
	pause    time.Duration
	until    time.Time
	missedAt time.Time
}

// miss takes in a connection that failed and reports whether that is the first since one was opened.
func (rc *reach) miss(now time.Time) bool {
	if rc.pause > 0 && now.Sub(rc.missedAt) < sameMiss {
		return false
	}
	first := rc.pause == 0
	rc.pause = min(longestPause, max(firstPause, 2*rc.pause))
	rc.until, rc.missedAt = now.Add(rc.pause), now
	return first
}

// closed reports whether a request would most likely only wait for a connection.
func (rc *reach) closed(now time.Time) bool { return rc.pause > 0 && now.Before(rc.until) }

// try notes a request and reports whether it finds out that a connection can be opened again.
func (rc *reach) try(now time.Time) bool {
	if rc.pause > 0 {
		rc.until = now.Add(rc.pause)
	}
	return rc.pause > 0
}

// centre is what is known of the connections to the targets of a data centre.
type centre struct {
	reach reach
	// missed are the targets that could not be reached since one was.
	missed map[chestnutroad.TargetID]bool
	// doubtedUntil is the end of the time in which kept connections to the targets are not used.
	doubtedUntil time.Time
}

// doubt notes that a kept connection had ended. When a data centre is cut off, those to all of its targets have, and each
// request that is sent on one may have run and is lost; a new connection fails before the request is sent.
func (cn *centre) doubt(now time.Time) { cn.doubtedUntil = now.Add(firstPause) }

// doubted reports whether a request to the target should open a new connection.
func (pl *Pool) doubted(now time.Time, tg *target) bool {
	known := pl.centres[tg.entry.DataCentre]
	return known != nil && now.Before(known.doubtedUntil)
}

func (cn *centre) miss(now time.Time, id chestnutroad.TargetID) bool {
	cn.missed[id] = true
	return len(cn.missed) >= cutAfter && cn.reach.miss(now)
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
		known = &centre{missed: map[chestnutroad.TargetID]bool{}}
		pl.centres[id] = known
	}
	return known
}

// reached takes in that a target answered.
func (pl *Pool) reached(tg *target) ReachabilityChange {
	known := pl.centres[tg.entry.DataCentre]
	change := ReachabilityChange{TargetRecovered: tg.reach.pause > 0, CentreRecovered: known != nil && known.reach.pause > 0}
	tg.reach = reach{}
	delete(pl.centres, tg.entry.DataCentre)
	return change
}

// closed reports whether the target or its data centre could not be reached lately.
func (pl *Pool) closed(now time.Time, tg *target) bool {
	if pl.off.Off(mechanism.Reach) {
		return false
	}
	known := pl.centres[tg.entry.DataCentre]
	return tg.reach.closed(now) || known != nil && known.reach.closed(now)
}

// suspect reports whether requests go elsewhere while there is another target.
func (pl *Pool) suspect(now time.Time, tg *target) bool {
	return pl.closed(now, tg) || tg.paused(now) || !pl.off.Off(mechanism.Ejection) && tg.failing(now)
}

// try notes that a request is sent to the target and reports whether it is a trial.
func (pl *Pool) try(now time.Time, tg *target) bool {
	trial := tg.reach.try(now)
	if known := pl.centres[tg.entry.DataCentre]; known != nil {
		trial = known.reach.try(now) || trial
	}
	return trial
}
