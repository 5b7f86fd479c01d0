package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// poolLoad is the load and the number of the targets that the owner can reach.
type poolLoad struct {
	work    float64
	targets float64
}

func (pl poolLoad) mean() float64 {
	if pl.targets == 0 {
		return 0
	}
	return pl.work / pl.targets
}

// load is the load that the owner assumes: its own book and the work of other owners that the last report shows.
//
// That equals the report plus the own admissions and less the own ends since it was taken. Others' work fades with the
// report's age by the mean time that work stays, as it ends unseen: taken at its full value, two owners of one shard
// both fill the targets that look empty to them (highest load 1.66 times the mean instead of 1.37, reports 1 s late).
func (ow *Owner) load(now time.Time, tg *target) chestnutroad.WorkUnits {
	if !tg.othersFresh(now) {
		return tg.bookedWork
	}
	return tg.bookedWork + chestnutroad.WorkUnits(float64(tg.othersWork)*ow.drain.remainingShare(now.Sub(tg.reportAt)))
}

// shardLoad sums the shard's own targets that may receive work.
func (ow *Owner) shardLoad(now time.Time) poolLoad {
	var pl poolLoad
	for _, tg := range ow.targets {
		if tg.eligible(now) {
			pl.work += float64(ow.load(now, tg))
			pl.targets++
		}
	}
	return pl
}

// admissionLoad takes other shards at the least load that they may have by now, so that an old summary makes the bound
// stricter.
func (ow *Owner) admissionLoad(now time.Time) poolLoad {
	pl := ow.shardLoad(now)
	for _, rs := range ow.remotes {
		if rs.fresh(now, ow.settings.summaryMaxAge) {
			pl.work += rs.minWork(now)
			pl.targets += float64(rs.last.Targets)
		}
	}
	return pl
}

// reportedLoad takes other shards at their last summary, so that a summary's age alone never moves a stream.
func (ow *Owner) reportedLoad(now time.Time) poolLoad {
	pl := ow.shardLoad(now)
	for _, rs := range ow.remotes {
		if rs.fresh(now, ow.settings.summaryMaxAge) {
			pl.work += float64(rs.last.Work)
			pl.targets += float64(rs.last.Targets)
		}
	}
	return pl
}

// fits is the admission rule for work on a target of that load:
//
//	load + work <= max(M * (T + work) / n, LoadFloor), M = 1 + Headroom * (Multiple - 1)
//
// An empty target may always take one request, so that a request above LoadFloor does not starve. Without a floor a pool
// of equal requests would stop at one request a target until the mean reaches 1/(M-1) requests; there a target at or
// below the mean may take one more.
func (st *settings) fits(load, work chestnutroad.WorkUnits, pl poolLoad) bool {
	if pl.targets == 0 {
		return false
	}
	after := float64(load + work)
	if after <= float64(st.loadFloor) || load == 0 {
		return true
	}
	if st.loadFloor == 0 && float64(load) <= pl.mean() {
		return true
	}
	return after <= st.admissionMultiple()*(pl.work+float64(work))/pl.targets
}

// admissionMultiple is the multiple of the mean up to which work is admitted. It stays below the bound, since the mean
// that an owner knows lags behind by a summary and since departures elsewhere lower it afterwards.
func (st *settings) admissionMultiple() float64 { return 1 + st.headroom*(st.multiple-1) }

// aboveBound says whether a target breaks the bound: it is above the multiple of the mean and the floor, and above the mean
// even without its largest request.
func (st *settings) aboveBound(load, largest chestnutroad.WorkUnits, pl poolLoad) bool {
	return float64(load) > st.loadLimit(pl) && float64(load-largest) > pl.mean()
}

// loadLimit is the multiple of the mean, or the floor when that is higher.
func (st *settings) loadLimit(pl poolLoad) float64 {
	return max(st.multiple*pl.mean(), float64(st.loadFloor))
}

// slotsFor returns the slots that a request of this urgency may use on the target.
func (ow *Owner) slotsFor(tg *target, urgent bool) int {
	slots := tg.slots
	if slots <= 0 {
		slots = ow.settings.slots
	}
	if urgent {
		return slots
	}
	return max(1, slots-int(float64(slots)*ow.settings.reservedShare))
}

// available says whether the target may receive the request at all, whatever its load.
func (ow *Owner) available(now time.Time, tg *target, rq *request) bool {
	if !tg.eligible(now) || rq.excludes(tg.id) {
		return false
	}
	return tg.runningCount(now) < ow.slotsFor(tg, rq.urgent())
}

// admissible says whether the target may take the request as so much work.
func (ow *Owner) admissible(now time.Time, tg *target, rq *request, work chestnutroad.WorkUnits, pl poolLoad) bool {
	if !ow.available(now, tg, rq) {
		return false
	}
	if !ow.takeoverDone(now, tg) {
		return len(tg.running) == 0 || tg.bookedWork+work <= ow.settings.loadFloor
	}
	return ow.settings.fits(ow.load(now, tg), work, pl)
}
