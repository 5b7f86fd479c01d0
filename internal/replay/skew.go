package replay

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// poolLoad watches the load of a pool's targets against the bound, at each instant at which a load changes.
type poolLoad struct {
	si      *simulation
	service settings.Service
	targets []*target
	dirty   bool
	open    map[chestnutroad.TargetID]*breach
	since   time.Duration
	// ratio is the highest load over the mean since then, zero while the mean is zero.
	ratio float64

	highest      float64
	highestFloor float64
	ratioTime    float64
	ratioSpan    float64
	admission    breachCount
	departure    breachCount
	first        []BreachExample
}

// breach is a time in which a target is above the bound.
type breach struct {
	from      time.Duration
	admission bool
}

type breachCount struct {
	count   int
	total   time.Duration
	longest time.Duration
}

func (bc *breachCount) add(length time.Duration) {
	bc.count++
	bc.total += length
	bc.longest = max(bc.longest, length)
}

// examples is the number of breaches that a result describes.
const examples = 5

func (si *simulation) poolOf(id chestnutroad.ServiceID) *poolLoad {
	for _, pl := range si.pools {
		if pl.service.ID == id {
			return pl
		}
	}
	pl := &poolLoad{si: si, service: si.services[id], open: map[chestnutroad.TargetID]*breach{}, first: []BreachExample{}}
	si.pools = append(si.pools, pl)
	return pl
}

func (si *simulation) poolsChanged() {
	for _, pl := range si.pools {
		pl.dirty = true
	}
}

// settled follows each instant in which something happened.
func (si *simulation) settled() {
	for _, pl := range si.pools {
		if pl.dirty {
			pl.dirty = false
			pl.check()
		}
	}
}

func (pl *poolLoad) add(tg *target) {
	pl.targets = append(pl.targets, tg)
	pl.dirty = true
}

// counts reports whether the target belongs to the pool: the platform's list names it, it is not leaving and it runs.
func (tg *target) counts() bool { return tg.up && tg.listed && !tg.listedLeaving }

// mean returns the mean load over the targets that can be reached from the data centre.
func (pl *poolLoad) mean(from chestnutroad.DataCentreID) float64 {
	var work chestnutroad.WorkUnits
	count := 0
	for _, tg := range pl.targets {
		if tg.counts() && pl.si.net.reaches(from, tg.DataCentre) {
			work += tg.work
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return float64(work) / float64(count)
}

func (pl *poolLoad) check() {
	now := pl.si.queue.now
	pl.advance(now)
	pl.ratio = 0
	for _, tg := range pl.targets {
		mean := pl.mean(tg.DataCentre)
		over := false
		if tg.counts() && mean > 0 {
			ratio := float64(tg.work) / mean
			over = tg.work > pl.service.LoadFloor && ratio > pl.service.Multiple
			pl.note(tg, ratio)
		}
		pl.update(tg, over, now, mean)
	}
}

func (pl *poolLoad) note(tg *target, ratio float64) {
	pl.highest = max(pl.highest, ratio)
	if tg.work > pl.service.LoadFloor {
		pl.ratio = max(pl.ratio, ratio)
		pl.highestFloor = max(pl.highestFloor, ratio)
	}
}

// advance weighs the present ratio with the time that it lasted.
func (pl *poolLoad) advance(now time.Duration) {
	if pl.ratio > 0 {
		pl.ratioTime += pl.ratio * (now - pl.since).Seconds()
		pl.ratioSpan += (now - pl.since).Seconds()
	}
	pl.since = now
}

// update opens and closes breaches. Work that is added to a target above the bound makes it a breach at an admission.
func (pl *poolLoad) update(tg *target, over bool, now time.Duration, mean float64) {
	br := pl.open[tg.ID]
	admitted := tg.startedAt == now
	if br != nil && (!over || (admitted && !br.admission)) {
		pl.close(tg, br, now)
		br = nil
	}
	if !over || br != nil {
		return
	}
	pl.open[tg.ID] = &breach{from: now, admission: admitted}
	if len(pl.first) < examples && admitted {
		pl.first = append(pl.first, BreachExample{
			AtMs: milliseconds(now - warmUp), Target: tg.ID, Load: tg.work, Mean: mean, Admission: admitted,
		})
	}
}

func (pl *poolLoad) close(tg *target, br *breach, now time.Duration) {
	delete(pl.open, tg.ID)
	if br.admission {
		pl.admission.add(now - br.from)
		return
	}
	pl.departure.add(now - br.from)
}

// result closes what is open and sums up.
func (pl *poolLoad) result() PoolResult {
	now := pl.si.queue.now
	pl.advance(now)
	for _, tg := range pl.targets {
		if br := pl.open[tg.ID]; br != nil {
			pl.close(tg, br, now)
		}
	}
	return PoolResult{
		Service: pl.service.ID, HighestOverMean: rounded(pl.highestFloor), HighestOverMeanAnyLoad: rounded(pl.highest),
		MeanOfHighest: rounded(quotient(pl.ratioTime, pl.ratioSpan)),
		AtAdmission:   pl.admission.result(), ByDeparture: pl.departure.result(), Examples: pl.first,
	}
}

func (bc *breachCount) result() BreachResult {
	return BreachResult{Count: bc.count, TotalMs: milliseconds(bc.total), LongestMs: milliseconds(bc.longest)}
}
