package replay

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// poolLoad checks the loads of a pool's targets against the bound (LoadFloor and Multiple times the mean) at each instant
// at which a load or the set of targets in service changes.
type poolLoad struct {
	si           *simulation
	service      settings.Service
	targets      []*target
	dirty        bool // true if a load or the targets in service may have changed since the last check
	openBreaches map[chestnutroad.TargetID]*breach
	ratioSince   time.Duration
	// ratio is the highest ratio of a load to the mean since ratioSince, or zero if no load exceeds LoadFloor.
	ratio float64

	highestRatio           float64
	highestRatioAboveFloor float64
	ratioIntegral          float64
	ratioSeconds           float64
	admission              breachCount
	departure              breachCount
	firstBreaches          []BreachExample
}

// breach is a period in which a target's load is above the bound.
type breach struct {
	startedAt time.Duration
	admission bool
}

type breachCount struct {
	count   int
	total   time.Duration
	longest time.Duration
}

func (bc *breachCount) add(duration time.Duration) {
	bc.count++
	bc.total += duration
	bc.longest = max(bc.longest, duration)
}

// maxExamples is the number of breaches that a result describes.
const maxExamples = 5

// poolOf returns the pool of the service, which it creates on the first call.
func (si *simulation) poolOf(id chestnutroad.ServiceID) *poolLoad {
	for _, pl := range si.pools {
		if pl.service.ID == id {
			return pl
		}
	}
	pl := &poolLoad{
		si: si, service: si.services[id], openBreaches: map[chestnutroad.TargetID]*breach{}, firstBreaches: []BreachExample{},
	}
	si.pools = append(si.pools, pl)
	return pl
}

func (si *simulation) markPoolsDirty() {
	for _, pl := range si.pools {
		pl.dirty = true
	}
}

// checkPools checks the pools that changed. It runs after the last event of each instant, so that intermediate loads
// don't count.
func (si *simulation) checkPools() {
	for _, pl := range si.pools {
		if pl.dirty {
			pl.dirty = false
			pl.checkBreaches()
		}
	}
}

func (pl *poolLoad) add(tg *target) {
	pl.targets = append(pl.targets, tg)
	pl.dirty = true
}

// inService reports whether the target counts towards the pool's mean: it is up, listed and not listed as leaving.
func (tg *target) inService() bool { return tg.up && tg.listed && !tg.listedLeaving }

// mean returns the mean load of the targets in service that the data centre can reach.
func (pl *poolLoad) mean(from chestnutroad.DataCentreID) float64 {
	var work chestnutroad.WorkUnits
	count := 0
	for _, tg := range pl.targets {
		if tg.inService() && pl.si.net.reaches(from, tg.DataCentre) {
			work += tg.work
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return float64(work) / float64(count)
}

func (pl *poolLoad) checkBreaches() {
	now := pl.si.queue.now
	pl.advance(now)
	pl.ratio = 0
	for _, tg := range pl.targets {
		mean := pl.mean(tg.DataCentre)
		over := false
		if tg.inService() && mean > 0 {
			ratio := float64(tg.work) / mean
			over = tg.work > pl.service.LoadFloor && ratio > pl.service.Multiple
			pl.recordRatio(tg, ratio)
		}
		pl.updateBreach(tg, over, now, mean)
	}
}

func (pl *poolLoad) recordRatio(tg *target, ratio float64) {
	pl.highestRatio = max(pl.highestRatio, ratio)
	if tg.work > pl.service.LoadFloor {
		pl.ratio = max(pl.ratio, ratio)
		pl.highestRatioAboveFloor = max(pl.highestRatioAboveFloor, ratio)
	}
}

// advance adds the current ratio to the integral over time, up to now.
func (pl *poolLoad) advance(now time.Duration) {
	if pl.ratio > 0 {
		pl.ratioIntegral += pl.ratio * (now - pl.ratioSince).Seconds()
		pl.ratioSeconds += (now - pl.ratioSince).Seconds()
	}
	pl.ratioSince = now
}

// updateBreach opens or closes a target's breach. A breach at whose start the target received work counts as one at an
// admission; work for a target that is in breach by departure closes that breach and opens one at an admission.
func (pl *poolLoad) updateBreach(tg *target, over bool, now time.Duration, mean float64) {
	br := pl.openBreaches[tg.ID]
	admitted := tg.workAddedAt == now
	if br != nil && (!over || (admitted && !br.admission)) {
		pl.closeBreach(tg, br, now)
		br = nil
	}
	if !over || br != nil {
		return
	}
	pl.openBreaches[tg.ID] = &breach{startedAt: now, admission: admitted}
	if len(pl.firstBreaches) < maxExamples && admitted {
		pl.firstBreaches = append(pl.firstBreaches, BreachExample{
			AtMs: milliseconds(now - warmUp), Target: tg.ID, Load: tg.work, Mean: mean, Admission: admitted,
		})
	}
}

func (pl *poolLoad) closeBreach(tg *target, br *breach, now time.Duration) {
	delete(pl.openBreaches, tg.ID)
	if br.admission {
		pl.admission.add(now - br.startedAt)
		return
	}
	pl.departure.add(now - br.startedAt)
}

// result closes the open breaches and returns the totals.
func (pl *poolLoad) result() PoolResult {
	now := pl.si.queue.now
	pl.advance(now)
	for _, tg := range pl.targets {
		if br := pl.openBreaches[tg.ID]; br != nil {
			pl.closeBreach(tg, br, now)
		}
	}
	return PoolResult{
		Service: pl.service.ID, HighestOverMean: rounded(pl.highestRatioAboveFloor),
		HighestOverMeanAnyLoad: rounded(pl.highestRatio),
		MeanOfHighest:          rounded(quotient(pl.ratioIntegral, pl.ratioSeconds)),
		AtAdmission:            pl.admission.result(), ByDeparture: pl.departure.result(), Examples: pl.firstBreaches,
	}
}

func (bc *breachCount) result() BreachResult {
	return BreachResult{Count: bc.count, TotalMs: milliseconds(bc.total), LongestMs: milliseconds(bc.longest)}
}
