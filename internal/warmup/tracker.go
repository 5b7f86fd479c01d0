package warmup

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Source is how a host learned that a target is cold.
type Source string

// The sources. Entry, Answer and Hosts are statements of the target; the others are assumptions.
const (
	Entry       Source = "Entry"
	Answer      Source = "Answer"
	Hosts       Source = "Hosts"
	Incarnation Source = "Incarnation"
	Start       Source = "Start"
	Connection  Source = "Connection"
	Evacuation  Source = "Evacuation"
)

func (sr Source) stated() bool { return sr == Entry || sr == Answer || sr == Hosts }

// told reports whether other hosts are told. A host whose own links fail must not make targets cold for the others, and what hosts
// told each other would go round for ever.
func (sr Source) told() bool { return sr == Entry || sr == Answer || sr == Incarnation }

const (
	// MaxRemaining is the longest time for which a target can state that it is cold.
	MaxRemaining = time.Hour
	// RampTime is the time after the cold time in which the rate grows; it doubles every rampDoubling, to 64 times the cold rate.
	RampTime     = 3 * time.Second
	rampDoubling = 500 * time.Millisecond
	// repeatTolerance is by how much a cold time must become longer to count as later: the same end, told by several sources, differs by
	// the time that messages take.
	repeatTolerance = 100 * time.Millisecond
	// clockTolerance is how far ahead the clock of a target may be.
	clockTolerance = 10 * time.Second
	// maxKnown is the number of remembered incarnations from which those not seen for knownTTL are dropped.
	maxKnown = 8192
	knownTTL = 10 * time.Minute
)

// Spec is what the configuration states for a service. With a rate of zero its targets are never cold.
type Spec struct {
	Time      time.Duration
	PerSecond chestnutroad.RequestRate
}

// Enabled reports whether targets of the service can be cold.
func (sp Spec) Enabled() bool { return sp.PerSecond > 0 }

// mark is the end of a cold time and its source.
type mark struct {
	until  time.Time
	source Source
}

// target is the state of a target that is cold or was so up to RampTime ago.
type target struct {
	spec            Spec
	stated, assumed mark
	toldUntil       time.Time
	// cold is true once the start was returned as a change, until the end was.
	cold bool
}

func (tg *target) last() mark {
	if tg.stated.until.After(tg.assumed.until) {
		return tg.stated
	}
	return tg.assumed
}

// known is the incarnation of a target that a host saw last.
type known struct {
	incarnation chestnutroad.Incarnation
	sequence    uint64
	seenAt      time.Time
}

// Tracker holds, for one host, the targets that are cold. It is not safe for concurrent use.
type Tracker struct {
	bound   Bound
	targets map[chestnutroad.TargetHash]*target
	known   map[chestnutroad.TargetHash]known
	// rates caches the results of SafeRate.
	rates map[Spec]chestnutroad.RequestRate
}

// New returns a tracker that knows of no cold target.
func New() *Tracker {
	return &Tracker{
		bound:   Bound{Overrun: DefaultOverrun, Tolerance: DefaultTolerance},
		targets: map[chestnutroad.TargetHash]*target{}, known: map[chestnutroad.TargetHash]known{},
		rates: map[Spec]chestnutroad.RequestRate{},
	}
}

// SetBound sets the bound of cold targets; an overrun of zero keeps the former bound.
func (tr *Tracker) SetBound(bound Bound) {
	if bound.Overrun > 0 {
		tr.bound = bound
		clear(tr.rates)
	}
}

// SafeRate returns the rate at which a cold target of the service gets requests.
func (tr *Tracker) SafeRate(spec Spec) chestnutroad.RequestRate {
	rate, cached := tr.rates[spec]
	if !cached {
		rate = SafeRate(spec.PerSecond, spec.Time, tr.bound)
		tr.rates[spec] = rate
	}
	return rate
}

// Mark records that a target is cold for the remaining time and reports whether the time is plausible; one that is not is ignored.
func (tr *Tracker) Mark(now time.Time, hash chestnutroad.TargetHash, spec Spec, source Source, remaining time.Duration) bool {
	if remaining < 0 || remaining > MaxRemaining {
		return false
	}
	tg := tr.targets[hash]
	if !spec.Enabled() || tg == nil && remaining == 0 {
		return true
	}
	if tg == nil {
		tg = &target{}
		tr.targets[hash] = tg
	}
	tg.spec = spec
	until := now.Add(remaining)
	if source == Answer {
		// The target itself knows better than what was assumed of it.
		tg.assumed = mark{until: now}
	}
	previous := &tg.assumed
	if source.stated() {
		previous = &tg.stated
	}
	if until.Sub(previous.until) > repeatTolerance {
		*previous = mark{until: until, source: source}
	}
	if source.told() && until.After(tg.toldUntil) {
		tg.toldUntil = until
	}
	return true
}

// MarkAnswered records that connections to a target work again: it is cold for the time of its service from now on, in place of the
// time for which it couldn't be reached.
func (tr *Tracker) MarkAnswered(now time.Time, hash chestnutroad.TargetHash, spec Spec) {
	if tg := tr.targets[hash]; tg != nil && tg.assumed.source == Connection {
		tg.assumed = mark{}
	}
	tr.Mark(now, hash, spec, Connection, spec.Time)
}

// Shorten limits what is assumed of a target that is no longer registered to the cold time of its service.
func (tr *Tracker) Shorten(now time.Time, hash chestnutroad.TargetHash) {
	if tg := tr.targets[hash]; tg != nil && tg.assumed.until.Sub(now) > tg.spec.Time {
		tg.assumed.until = now.Add(tg.spec.Time)
	}
}

// Registration is an entry of a target in the store.
type Registration struct {
	Target      chestnutroad.TargetHash
	Incarnation chestnutroad.Incarnation
	Sequence    uint64
	Remaining   time.Duration
	// Listed is true while the host reads its first list of targets, which tells nothing about when they started.
	Listed bool
}

// Register records an entry, which may be one that was read before, and marks the target as cold if it states so or is of a new
// incarnation. An implausible remaining time is ignored.
func (tr *Tracker) Register(now time.Time, rg *Registration, spec Spec) {
	last, seen := tr.known[rg.Target]
	fresh := !seen || rg.Incarnation != last.incarnation
	if !fresh && rg.Sequence <= last.sequence {
		return
	}
	tr.forgetOld(now)
	tr.known[rg.Target] = known{incarnation: rg.Incarnation, sequence: rg.Sequence, seenAt: now}
	if fresh {
		// The time of another incarnation says nothing about this one.
		delete(tr.targets, rg.Target)
		if rg.Listed {
			tr.Mark(now, rg.Target, spec, Start, remainingByStart(now, rg.Incarnation, spec.Time))
		} else {
			tr.Mark(now, rg.Target, spec, Incarnation, spec.Time)
		}
	}
	if rg.Remaining > 0 {
		tr.Mark(now, rg.Target, spec, Entry, rg.Remaining)
	}
}

// remainingByStart returns the rest of the cold time of a target that started at a time of its own clock, in Unix milliseconds.
func remainingByStart(now time.Time, started chestnutroad.Incarnation, coldTime time.Duration) time.Duration {
	age := time.Duration(now.UnixMilli()-int64(started)) * time.Millisecond
	if started <= 0 || int64(started) < now.Add(-MaxRemaining).UnixMilli() || age < -clockTolerance {
		return 0
	}
	return min(coldTime, max(0, coldTime-age))
}

func (tr *Tracker) forgetOld(now time.Time) {
	if len(tr.known) < maxKnown {
		return
	}
	for hash, kn := range tr.known {
		if now.Sub(kn.seenAt) > knownTTL {
			delete(tr.known, hash)
		}
	}
}

// Remaining returns the time for which the target is cold.
func (tr *Tracker) Remaining(now time.Time, hash chestnutroad.TargetHash) time.Duration {
	if tg := tr.targets[hash]; tg != nil {
		return max(0, tg.last().until.Sub(now))
	}
	return 0
}

// Told returns the remaining time of which other hosts are told.
func (tr *Tracker) Told(now time.Time, hash chestnutroad.TargetHash) time.Duration {
	if tg := tr.targets[hash]; tg != nil {
		return min(MaxRemaining, max(0, tg.toldUntil.Sub(now)))
	}
	return 0
}

// Change is the start or the end of a cold time.
type Change struct {
	Target    chestnutroad.TargetHash
	Cold      bool
	Source    Source
	Remaining time.Duration
}

// Limit is the rate of a target that is cold or in the ramp after it; zero ends it.
type Limit struct {
	Target chestnutroad.TargetHash
	Rate   chestnutroad.RequestRate
}

// Update returns the limits in force, and the cold times that started or ended since the last call.
func (tr *Tracker) Update(now time.Time) (limits []Limit, changes []Change) {
	for hash, tg := range tr.targets {
		last := tg.last()
		remaining := last.until.Sub(now)
		if cold := remaining > 0; cold != tg.cold {
			tg.cold = cold
			changes = append(changes, Change{Target: hash, Cold: cold, Source: last.source, Remaining: max(0, remaining)})
		}
		rate := tr.SafeRate(tg.spec)
		switch {
		case remaining <= -RampTime:
			rate = 0
			delete(tr.targets, hash)
		case remaining < 0:
			rate *= chestnutroad.RequestRate(math.Exp2(-remaining.Seconds() / rampDoubling.Seconds()))
		}
		limits = append(limits, Limit{Target: hash, Rate: rate})
	}
	return limits, changes
}

// Active returns the number of targets that are cold or in the ramp after it.
func (tr *Tracker) Active() int { return len(tr.targets) }

// Cold returns the number of targets that are cold.
func (tr *Tracker) Cold(now time.Time) int {
	count := 0
	for hash := range tr.targets {
		if tr.Remaining(now, hash) > 0 {
			count++
		}
	}
	return count
}

// Forget drops all cold times, for a mechanism that was disabled.
func (tr *Tracker) Forget() { clear(tr.targets) }
