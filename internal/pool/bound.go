package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// poolLoad holds the total load and the number of the targets that the owner can reach.
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

// load returns the load that the owner assumes for the target: the work that it booked itself, and the work of other
// owners according to the last report.
//
// This equals the reported load plus the work that this owner started since the report and minus the work that it
// ended. Other owners' requests end unseen, so their work decays with the report's age, with the mean time that work
// stays on a target as time constant. Without the decay, two owners of one shard both fill the targets that look empty
// to them (highest load 1.66 times the mean instead of 1.37, reports 1 s late).
func (ow *Owner) load(now time.Time, tg *target) chestnutroad.WorkUnits {
	if !tg.othersFresh(now) {
		return tg.bookedWork
	}
	return tg.bookedWork + chestnutroad.WorkUnits(float64(tg.othersWork)*ow.drain.remainingShare(now.Sub(tg.reportAt)))
}

// shardLoad returns the load and the number of the shard's own eligible targets.
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

// admissionLoad returns the load for admissions. It counts other shards at the least load that they may have by now, so
// that an old summary makes the bound stricter.
func (ow *Owner) admissionLoad(now time.Time) poolLoad {
	pl := ow.shardLoad(now)
	for _, rs := range ow.remotes {
		if rs.fresh(now, ow.settings.summaryMaxAge) {
			pl.work += rs.minWork(now)
			pl.targets += float64(rs.lastSummary.Targets)
		}
	}
	return pl
}

// reportedLoad returns the load for moves. It counts other shards at the load of their last summary, so that a
// summary's age alone never moves a stream.
func (ow *Owner) reportedLoad(now time.Time) poolLoad {
	pl := ow.shardLoad(now)
	for _, rs := range ow.remotes {
		if rs.fresh(now, ow.settings.summaryMaxAge) {
			pl.work += float64(rs.lastSummary.Work)
			pl.targets += float64(rs.lastSummary.Targets)
		}
	}
	return pl
}

// fits reports whether a target with the given load may admit the work:
//
//	load + work <= max(M * (T + work) / n, LoadFloor), M = 1 + Headroom * (Multiple - 1)
//
// An empty target always admits one request, so that a request above LoadFloor does not starve. Without a floor,
// targets with equal requests could not admit a second one until the mean reaches 1/(M-1) requests; a target at or
// below the mean therefore admits one more.
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

// admissionMultiple returns the multiple of the mean up to which work is admitted. It stays below the bound because the
// owner's mean lags by a summary and because departures elsewhere lower it afterwards.
func (st *settings) admissionMultiple() float64 { return 1 + st.headroom*(st.multiple-1) }

// aboveBound reports whether a target exceeds the bound: it is above the multiple of the mean and the floor, and above
// the mean even without its largest request.
func (st *settings) aboveBound(load, largest chestnutroad.WorkUnits, pl poolLoad) bool {
	return float64(load) > st.loadLimit(pl) && float64(load-largest) > pl.mean()
}

// loadLimit returns the multiple of the mean, or the floor when that is higher.
func (st *settings) loadLimit(pl poolLoad) float64 {
	return max(st.multiple*pl.mean(), float64(st.loadFloor))
}

// slotsFor returns the number of slots that a request may use on the target; only urgent requests use the reserved
// ones.
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

// available reports whether the target may receive the request regardless of its load: it is eligible, the request has
// not failed on it, and a slot is free.
func (ow *Owner) available(now time.Time, tg *target, rq *request) bool {
	if !tg.eligible(now) || rq.excludes(tg.id) {
		return false
	}
	return tg.runningCount(now) < ow.slotsFor(tg, rq.urgent())
}

// admissible reports whether the target may start the request with the given work. Until takeoverDone, a target admits
// work up to LoadFloor, or one request when the owner runs none there.
func (ow *Owner) admissible(now time.Time, tg *target, rq *request, work chestnutroad.WorkUnits, pl poolLoad) bool {
	if !ow.available(now, tg, rq) {
		return false
	}
	if !ow.takeoverDone(now, tg) {
		return len(tg.running) == 0 || tg.bookedWork+work <= ow.settings.loadFloor
	}
	return ow.settings.fits(ow.load(now, tg), work, pl)
}
