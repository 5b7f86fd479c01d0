package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Report applies an engine's load report. Reports may be late, lost or out of order; those not newer than the last one
// are ignored.
func (ow *Owner) Report(now time.Time, report chestnutroad.LoadReport) []Action {
	tg := ow.byID[report.Target]
	if tg == nil || !ow.checkIncarnation(now, tg, report.Incarnation) {
		return nil
	}
	if !report.Taken.After(tg.reportTaken) {
		return nil
	}
	tg.applyReport(now, report)
	return ow.reconcile(now, nil)
}

// checkIncarnation returns false for a message from an earlier incarnation of the target, and handles a restart.
func (ow *Owner) checkIncarnation(now time.Time, tg *target, incarnation chestnutroad.Incarnation) bool {
	if incarnation < tg.incarnation {
		return false
	}
	if incarnation == tg.incarnation {
		return true
	}
	if tg.incarnation != 0 {
		ow.restart(now, tg)
	}
	tg.incarnation = incarnation
	return true
}

// restart resets a target that restarted with an empty cache, so that it starts slowly and its old placements are void.
func (ow *Owner) restart(now time.Time, tg *target) {
	ow.counts.Restarted++
	ow.assignLocation(tg)
	tg.slowStartAt = now
	tg.cacheSequence = 0
	tg.reportTaken = time.Time{}
	tg.clockAhead = 0
	tg.othersSeen = false
	tg.consecutiveFailures = 0
	tg.ejections = 0
	tg.ejectedUntil = time.Time{}
}

// applyReport compares the report with this owner's work at the time of the report; the excess is work of other owners.
// A report without an excess adds nothing to the owner's exact accounting.
//
// Since clocks differ, the report may include requests of this owner that started up to clockSlack after it or ended up to
// clockSlack before it. They count in the decision whether there is an excess, but not in the size of the excess.
func (tg *target) applyReport(now time.Time, report chestnutroad.LoadReport) {
	tg.reportTaken = report.Taken
	tg.clockAhead = max(tg.clockAhead, report.Taken.Sub(now))
	tg.reportAt = report.Taken.Add(-tg.clockAhead)
	work, count := tg.ownRunningAt(tg.reportAt, clockSlack)
	covered := tg.reportAt.Add(-clockSlack).After(tg.endedDroppedUntil)
	tg.othersSeen = covered && (report.Work > work || report.Running > count)
	work, count = tg.ownRunningAt(tg.reportAt, 0)
	tg.othersCount = max(0, report.Running-count)
	tg.othersWork = max(0, report.Work-work, workShare(report, tg.othersCount))
}

// workShare returns the part of the reported work that falls on count of the running requests. This owner's work is
// booked in full until it ends, so the difference between report and booked work is too small when an engine reports
// the remaining work.
func workShare(report chestnutroad.LoadReport, count int) chestnutroad.WorkUnits {
	if report.Running <= 0 {
		return 0
	}
	return report.Work * chestnutroad.WorkUnits(count) / chestnutroad.WorkUnits(report.Running)
}

// CacheEvent applies an event of an engine's prefix cache; events may be late or missing.
func (ow *Owner) CacheEvent(now time.Time, event chestnutroad.CacheEvent) []Action {
	tg := ow.byID[event.Target]
	if tg == nil || !ow.checkIncarnation(now, tg, event.Incarnation) {
		return nil
	}
	if tg.cacheSequence != 0 && event.Sequence > tg.cacheSequence+1 {
		ow.counts.CacheGaps++
	}
	tg.cacheSequence = max(tg.cacheSequence, event.Sequence)
	ow.updateCached(now, tg, event)
	return nil
}

// updateCached changes the chat's placement by the event. An event from another target counts only when the chat has no
// valid placement.
func (ow *Owner) updateCached(now time.Time, tg *target, event chestnutroad.CacheEvent) {
	en, found := ow.table.get(event.Chat)
	atTarget := found && en.location == tg.location
	unplaced := !found || ow.locations[en.location] == location{}
	switch {
	case atTarget && event.Cached > 0:
		ow.table.setCached(event.Chat, event.Cached)
	case atTarget:
		ow.table.remove(event.Chat)
	case unplaced && event.Cached > 0:
		ow.table.put(now, event.Chat, tg.location, event.Cached)
	}
}
