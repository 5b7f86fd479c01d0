package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/decay"
)

const (
	// outcomeTimeConstant is the time constant with which the counts of outcomes decay; a typical restart takes half of it.
	outcomeTimeConstant = 4 * time.Second
	// ejectMinOutcomes is the decayed number of outcomes below which a target is not ejected.
	ejectMinOutcomes = 4
	// ejectFailureShare is the share of failures from which a target is ejected. A faulty target that fails requests at
	// random fails 0.4 of them, an ordinary service up to 0.14.
	ejectFailureShare = 0.3
	// reportMaxAge is how long a target's own report of its load is used.
	reportMaxAge = 500 * time.Millisecond
)

// target holds a host's state for one target.
type target struct {
	entry chestnutroad.TargetEntry
	// hash is the hash of the entry's id.
	hash uint64
	// removed is true once the entry was removed; requests that run there continue.
	removed bool
	// evacuated is true while the target's data centre is evacuated.
	evacuated bool
	// joinedAt is the time of the last MarkJoined; zero when there was none.
	joinedAt time.Time
	// coldUntil is the end of the time in which the target ranks last for shared parts; zero while it is not cold.
	coldUntil time.Time
	// ownCount is the number of this host's requests at the target.
	ownCount int
	// peerCount is the number of requests at the target that other hosts reported.
	peerCount int
	// smoothedCount is the moving average of all hosts' requests, updated with each set of peer counts.
	smoothedCount float64
	// previousCount is the number of all hosts' requests at the last set of peer counts.
	previousCount int
	// reportedExcess is the target's own count of running and waiting requests minus ownCount at the time of the report.
	reportedExcess int
	reportedAt     time.Time
	// crashed is true after the target ended under a request, until it answers again.
	crashed bool
	// pace is the latest statement of the target's pace; invalidLoad is true once it stated a load or pace that can't be read.
	pace        paceStatement
	invalidLoad bool
	// notice is the target's notice to this host; nil when there is none.
	notice *notice
	// peerLeaving and peerHoldUntil are from notices to other hosts: that the target leaves, and until when it refuses
	// requests.
	peerLeaving   bool
	peerHoldUntil time.Time
	// shedUntil is when a target that was full gets requests again.
	shedUntil time.Time
	breaker   breaker
	eventGap  eventGap
	// successes and failures are decayed counts of outcomes, as of decayedAt.
	successes float64
	failures  float64
	decayedAt time.Time
}

// load estimates the number of requests at the target.
func (tg *target) load(now time.Time) int {
	foreign := tg.peerCount
	if !tg.reportedAt.IsZero() && now.Sub(tg.reportedAt) < reportMaxAge {
		foreign = max(foreign, tg.reportedExcess)
	}
	return tg.ownCount + foreign
}

func (tg *target) decayOutcomes(now time.Time) {
	remaining := decay.Factor(now.Sub(tg.decayedAt), outcomeTimeConstant)
	tg.decayedAt = now
	tg.successes *= remaining
	tg.failures *= remaining
}

// paused reports whether the target was full a moment ago or, by a notice to another host, refuses requests.
func (tg *target) paused(now time.Time) bool {
	return now.Before(tg.shedUntil) || now.Before(tg.peerHoldUntil)
}

// failing reports whether the failures of this host's requests suffice to eject the target.
func (tg *target) failing(now time.Time) bool {
	tg.decayOutcomes(now)
	return tg.failures >= 2 && tg.successes+tg.failures >= ejectMinOutcomes &&
		tg.failures/(tg.successes+tg.failures) >= ejectFailureShare
}

func (tg *target) usable() bool { return !tg.removed && !tg.leaving() && !tg.evacuated }
