package placement

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

const (
	// slowPace is the estimated pace from which a target is passed over: at three times the usual time an answer that usually takes
	// a third of its latency target is late.
	slowPace = 3
	// paceMaxAge is the age from which a target's statement has no effect, whatever was learned of older ones. It is the longest
	// age in paceAges.
	paceMaxAge = 2 * time.Second
	// paceDecay is the weight that earlier pairs of statements keep when another one is observed; about the last 200 count.
	paceDecay = 1 - 1.0/200
	// minPacePairs is the decayed number of pairs below which statements of an age are taken to say nothing.
	minPacePairs = 20
	// maxPaceDeviation bounds the deviation that a statement contributes, so that a single extreme one does not hide the others.
	maxPaceDeviation = 9
)

// paceAges are the ages up to which statements are compared with the next one of the same target. The statements change many times
// a second, and the counts of other hosts, the other input to a choice, are up to 0.4 s old.
var paceAges = []time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, paceMaxAge,
}

// pacePersistence learns, from pairs of successive statements of the same target, how much of a statement's deviation from the
// usual pace is left after a time.
type pacePersistence struct {
	ages [7]struct{ pairs, product, square float64 }
}

// index returns the index of an age in paceAges, or false when it is older than all of them.
func (pp *pacePersistence) index(age time.Duration) (int, bool) {
	index, _ := slices.BinarySearch(paceAges, age)
	return index, index < len(paceAges)
}

// observe records that a statement followed another one of the same target after a time.
func (pp *pacePersistence) observe(age time.Duration, before, after float64) {
	index, known := pp.index(age)
	if !known {
		return
	}
	first, second := paceDeviation(before), paceDeviation(after)
	ag := &pp.ages[index]
	ag.pairs = paceDecay*ag.pairs + 1
	ag.product = paceDecay*ag.product + first*second
	ag.square = paceDecay*ag.square + first*first
}

// share returns the share, from 0 to 1, of a statement's deviation that is expected to be left at an age.
func (pp *pacePersistence) share(age time.Duration) float64 {
	index, known := pp.index(age)
	if !known || pp.ages[index].pairs < minPacePairs || pp.ages[index].square <= 0 {
		return 0
	}
	return min(1, max(0, pp.ages[index].product/pp.ages[index].square))
}

// paceDeviation returns by how much a pace differs from the usual one.
func paceDeviation(pace float64) float64 { return min(maxPaceDeviation, pace-1) }

// paceStatement is a target's latest statement of its pace.
type paceStatement struct {
	pace float64
	at   time.Time
}

// estimate returns the expected pace at a time, 1 being the usual one.
func (ps *paceStatement) estimate(now time.Time, persistence *pacePersistence) float64 {
	if ps.at.IsZero() {
		return 1
	}
	return 1 + persistence.share(now.Sub(ps.at))*paceDeviation(ps.pace)
}

// SetPace records a target's statement of its pace, where 1 is the usual one.
func (pl *Pool) SetPace(now time.Time, id chestnutroad.TargetID, pace float64) {
	tg := pl.targets[id]
	if tg == nil || pace <= 0 {
		return
	}
	if !tg.pace.at.IsZero() {
		pl.persistence(tg.entry.Service).observe(now.Sub(tg.pace.at), tg.pace.pace, pace)
	}
	tg.pace = paceStatement{pace: pace, at: now}
}

// persistence returns what was learned of the statements of a service's targets.
func (pl *Pool) persistence(service chestnutroad.ServiceID) *pacePersistence {
	if pl.paces[service] == nil {
		pl.paces[service] = &pacePersistence{}
	}
	return pl.paces[service]
}

// slow reports whether the target's work is expected to take several times as long as usual.
func (pl *Pool) slow(now time.Time, tg *target) bool {
	return !tg.pace.at.IsZero() && tg.pace.estimate(now, pl.persistence(tg.entry.Service)) >= slowPace
}

// SlowTargets returns the number of targets whose work is expected to take several times as long as usual.
func (pl *Pool) SlowTargets(now time.Time) int {
	count := 0
	for _, tg := range pl.targets {
		if pl.slow(now, tg) {
			count++
		}
	}
	return count
}

// withoutSlow returns the targets without the slow ones for which there is an equally good alternative: one of the same data centre
// that is not slow and has no more requests. Requests with a prompt part have none, since the part is cached at few targets.
func (pl *Pool) withoutSlow(now time.Time, targets []*target, req *Request) []*target {
	if req.Affinity != "" || pl.disabled.Off(mechanism.Pace) || baselines[pl.policy] != nil {
		return targets
	}
	slow := map[*target]bool{}
	for _, tg := range targets {
		if pl.slow(now, tg) {
			slow[tg] = true
		}
	}
	if len(slow) == 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(tg *target) bool {
		return slow[tg] && slices.ContainsFunc(targets, func(other *target) bool {
			return !slow[other] && other.entry.DataCentre == tg.entry.DataCentre && other.load(now) <= tg.load(now)
		})
	})
}

// MarkInvalidLoad records that an answer of the target stated a load or pace that can't be read, and reports whether it is the first
// one of this incarnation.
func (pl *Pool) MarkInvalidLoad(id chestnutroad.TargetID) (first bool) {
	tg := pl.targets[id]
	if tg == nil || tg.invalidLoad {
		return false
	}
	tg.invalidLoad = true
	return true
}
