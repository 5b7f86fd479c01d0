package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/decay"
)

const (
	// outcomeMemory is how long a failed request counts against a target; half of it is a typical restart.
	outcomeMemory = 4 * time.Second
	// ejectMinOutcomes is the number of outcomes that an ejection rests on.
	ejectMinOutcomes = 4
	// ejectFailureShare is the share of failed outcomes from which a target is passed over: runners that fail at random were
	// seen at 0.4, and an ordinary service fails up to 0.14 of its requests.
	ejectFailureShare = 0.3
	// reportMaxAge is how long a target's own count of its requests is believed.
	reportMaxAge = 500 * time.Millisecond
)

// target is what a host knows of one target.
type target struct {
	entry chestnutroad.TargetEntry
	// hash is that of the entry's id.
	hash uint64
	// removed is true once the entry was removed; requests that run there go on.
	removed bool
	// joinedAt is when the target was registered at this host.
	joinedAt time.Time
	// ownCount is the number of this host's requests at the target.
	ownCount int
	// peerCount is the number of requests that other hosts reported there.
	peerCount int
	// smoothedCount is the smoothed number of requests of all hosts, by the counts of others as they came.
	smoothedCount float64
	// previousCount is the number of requests of all hosts when the counts of others last came.
	previousCount int
	// reportedExcess is the target's own count of running and waiting requests, with the own requests subtracted.
	reportedExcess   int
	reportedAt time.Time
	// notice is what the target said to this host; nil when it said nothing.
	notice *notice
	// peerLeaving and othersUntil are what it said to other hosts: that it leaves, and until when it wants no requests.
	peerLeaving bool
	peerHoldUntil   time.Time
	// shedUntil is when a target that was full gets requests again.
	shedUntil time.Time
	breaker       breaker
	eventGap        eventGap
	successes        float64
	failures         float64
	decayedAt   time.Time
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
	keep := decay.Factor(now.Sub(tg.decayedAt), outcomeMemory)
	tg.decayedAt = now
	tg.successes *= keep
	tg.failures *= keep
}

// paused reports whether the target wants no requests for now.
func (tg *target) paused(now time.Time) bool {
	return now.Before(tg.shedUntil) || now.Before(tg.peerHoldUntil)
}

// failing reports whether so many of this host's requests failed that others go elsewhere while there is another target.
func (tg *target) failing(now time.Time) bool {
	tg.decayOutcomes(now)
	return tg.failures >= 2 && tg.successes+tg.failures >= ejectMinOutcomes && tg.failures/(tg.successes+tg.failures) >= ejectFailureShare
}

func (tg *target) usable() bool { return !tg.removed && !tg.leaving() }
