package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// rebalance moves resumable streams off targets that are above the bound, the target with the highest load first and its
// streams in the order of compareForMove. It terminates because each move lowers the higher of the two loads.
func (ow *Owner) rebalance(now time.Time, actions []Action) []Action {
	if !ow.settings.moves || ow.steppedDown {
		return actions
	}
	var stuck []*target
	for {
		pl := ow.reportedLoad(now)
		tg := ow.mostOverloaded(now, pl, stuck)
		if tg == nil {
			return actions
		}
		action, moved := ow.moveStream(now, tg, pl)
		if !moved {
			stuck = append(stuck, tg)
			continue
		}
		actions = append(actions, action)
		stuck = stuck[:0] // the move may have made room for streams of these targets
	}
}

// mostOverloaded returns the target with the highest load above the bound, except those in stuck.
func (ow *Owner) mostOverloaded(now time.Time, pl poolLoad, stuck []*target) *target {
	var most *target
	highest := ow.settings.loadLimit(pl)
	for _, tg := range ow.targets {
		load := ow.load(now, tg)
		if float64(load) <= highest || !tg.eligible(now) || slices.Contains(stuck, tg) {
			continue
		}
		if ow.settings.aboveBound(load, tg.largestRequest(), pl) {
			most, highest = tg, float64(load)
		}
	}
	return most
}

// moveStream moves the first resumable stream of the target, in the order of compareForMove, that fits on another one.
func (ow *Owner) moveStream(now time.Time, from *target, pl poolLoad) (Action, bool) {
	least := ow.minLoad(now)
	var movable []*request
	for _, rq := range from.running {
		if rq.resumable() && least+rq.workWith(0) < ow.load(now, from) {
			movable = append(movable, rq)
		}
	}
	slices.SortFunc(movable, (*request).compareForMove)
	for _, rq := range movable {
		if to := ow.destination(now, from, rq, pl); to != nil {
			return ow.move(now, rq, from, to), true
		}
	}
	return Action{}, false
}

// minLoad returns the lowest load of an eligible target.
func (ow *Owner) minLoad(now time.Time) chestnutroad.WorkUnits {
	least := chestnutroad.WorkUnits(math.MaxInt64 / 2)
	for _, tg := range ow.targets {
		if tg.eligible(now) {
			least = min(least, ow.load(now, tg))
		}
	}
	return least
}

// compareForMove orders streams by the number of earlier moves, the fewest first, and then the youngest first, which has
// the least context to lose.
func (rq *request) compareForMove(other *request) int {
	if order := cmp.Compare(rq.moves, other.moves); order != 0 {
		return order
	}
	return other.started.Compare(rq.started)
}

// destination returns the least loaded target on which the stream fits and whose load with it stays below the present
// target's load. The whole context counts as work, since it must be prefilled again and may cost more than the move
// gains.
func (ow *Owner) destination(now time.Time, from *target, rq *request, pl poolLoad) *target {
	work := rq.workWith(0)
	after := poolLoad{work: pl.work + float64(work-rq.work), targets: pl.targets}
	var least *target
	for _, tg := range ow.targets {
		if tg == from || (least != nil && ow.load(now, tg) >= ow.load(now, least)) {
			continue
		}
		load := ow.load(now, tg) + work
		if load >= ow.load(now, from) || !ow.available(now, tg, rq) || !ow.takeoverDone(now, tg) {
			continue
		}
		if !ow.settings.aboveBound(load, max(work, tg.largestRequest()), after) {
			least = tg
		}
	}
	return least
}

func (ow *Owner) move(now time.Time, rq *request, from, to *target) Action {
	work := rq.workWith(0)
	from.end(now, rq)
	to.begin(now, rq, work)
	rq.moves++
	rq.resume = true
	rq.mayHaveRun = true
	ow.recordPlacement(now, rq, to, 0)
	ow.counts.Moved++
	return Action{
		Type: ActionMove, Request: rq.ID, Target: to.id, From: from.id, Resume: true, Work: work,
	}
}

// Progress records how many tokens of the answer the caller has received, for a later move or resume.
func (ow *Owner) Progress(_ time.Time, id chestnutroad.RequestID, sent chestnutroad.Tokens) {
	if rq := ow.requests[id]; rq != nil {
		rq.sent = max(rq.sent, sent)
	}
}
