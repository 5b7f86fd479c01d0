package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Report takes an engine's word on its load; reports may be late, lost or out of order.
func (ow *Owner) Report(now time.Time, report chestnutroad.LoadReport) []Action {
	tg := ow.byID[report.Target]
	if tg == nil || !ow.checkIncarnation(now, tg, report.Incarnation) {
		return nil
	}
	if !report.Taken.After(tg.reportTaken) {
		return nil
	}
	tg.applyReport(now, report)
	return ow.settle(now, nil)
}

// checkIncarnation returns false for word from an earlier life of the target, and notices a restart.
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

// restart takes a target that came back empty as a new one.
func (ow *Owner) restart(now time.Time, tg *target) {
	ow.counts.Restarted++
	ow.assignLocation(tg)
	tg.slowStartAt = now
	tg.sequence = 0
	tg.reportTaken = time.Time{}
	tg.clockAhead = 0
	tg.othersSeen = false
	tg.failures = 0
	tg.ejections = 0
	tg.ejectedUntil = time.Time{}
}

// applyReport compares the report with the own work of its time; what it shows beyond that is work of other owners. Without
// such a sign a late report says nothing that the exact book doesn't.
func (tg *target) applyReport(now time.Time, report chestnutroad.LoadReport) {
	tg.reportTaken = report.Taken
	tg.clockAhead = max(tg.clockAhead, report.Taken.Sub(now))
	tg.reportAt = report.Taken.Add(-tg.clockAhead)
	work, count := tg.ownRunningAt(tg.reportAt, clockSlack)
	remembered := tg.reportAt.Add(-clockSlack).After(tg.endedDroppedUntil)
	tg.othersSeen = remembered && (report.Work > work || report.Running > count)
	work, count = tg.ownRunningAt(tg.reportAt, 0)
	tg.othersCount = max(0, report.Running-count)
	tg.othersWork = max(0, report.Work-work, workShare(report, tg.othersCount))
}

// workShare returns the part of the reported work that falls on so many of the running requests. Own work is booked in full
// until it ends, so that the difference to the book is too small where the engine reports the work that remains.
func workShare(report chestnutroad.LoadReport, count int) chestnutroad.WorkUnits {
	if report.Running <= 0 {
		return 0
	}
	return report.Work * chestnutroad.WorkUnits(count) / chestnutroad.WorkUnits(report.Running)
}

// CacheEvent takes an engine's word on its prefix cache; events may be late or missing.
func (ow *Owner) CacheEvent(now time.Time, event chestnutroad.CacheEvent) []Action {
	tg := ow.byID[event.Target]
	if tg == nil || !ow.checkIncarnation(now, tg, event.Incarnation) {
		return nil
	}
	if tg.sequence != 0 && event.Sequence > tg.sequence+1 {
		ow.counts.CacheGaps++
	}
	tg.sequence = max(tg.sequence, event.Sequence)
	ow.updateCached(now, tg, event)
	return nil
}

func (ow *Owner) updateCached(now time.Time, tg *target, event chestnutroad.CacheEvent) {
	en, found := ow.table.get(event.Chat)
	here := found && en.location == tg.location
	void := !found || ow.locations[en.location] == location{}
	switch {
	case here && event.Cached > 0:
		ow.table.setCached(event.Chat, event.Cached)
	case here:
		ow.table.remove(event.Chat)
	case void && event.Cached > 0:
		ow.table.put(now, event.Chat, tg.location, event.Cached)
	}
}
