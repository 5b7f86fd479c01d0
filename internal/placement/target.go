package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/decay"
)

const (
	// failureMemory is how long a failed request counts against a target; half of it is a typical restart.
	failureMemory = 4 * time.Second
	// ejectAfter is the number of outcomes that an ejection rests on.
	ejectAfter = 4
	// ejectShare is the share of failed outcomes from which a target is passed over: runners that fail at random were
	// seen at 0.4, and an ordinary service fails up to 0.14 of its requests.
	ejectShare = 0.3
	// reportAge is how long a target's own count of its requests is believed.
	reportAge = 500 * time.Millisecond
)

// target is what a host knows of one target.
type target struct {
	entry chestnutroad.TargetEntry
	// hash is that of the entry's id.
	hash uint64
	// lost is true once the entry was removed; requests that run there go on.
	lost bool
	// joinedAt is when the target was registered at this host.
	joinedAt time.Time
	// own is the number of this host's requests at the target.
	own int
	// others is the number of requests that other hosts reported there.
	others int
	// usual is the smoothed number of requests of all hosts, by the counts of others as they came.
	usual float64
	// counted is the number of requests of all hosts when the counts of others last came.
	counted int
	// reported is the target's own count of running and waiting requests, with the own requests subtracted.
	reported   int
	reportedAt time.Time
	// notice is what the target said to this host; nil when it said nothing.
	notice *notice
	// othersLeaving and othersUntil are what it said to other hosts: that it leaves, and until when it wants no requests.
	othersLeaving bool
	othersUntil   time.Time
	// pausedUntil is when a target that was full gets requests again.
	pausedUntil time.Time
	reach       reach
	pace        pace
	good        float64
	bad         float64
	countedAt   time.Time
}

// load estimates the number of requests at the target.
func (tg *target) load(now time.Time) int {
	foreign := tg.others
	if !tg.reportedAt.IsZero() && now.Sub(tg.reportedAt) < reportAge {
		foreign = max(foreign, tg.reported)
	}
	return tg.own + foreign
}

func (tg *target) fade(now time.Time) {
	keep := decay.Factor(now.Sub(tg.countedAt), failureMemory)
	tg.countedAt = now
	tg.good *= keep
	tg.bad *= keep
}

// paused reports whether the target wants no requests for now.
func (tg *target) paused(now time.Time) bool {
	return now.Before(tg.pausedUntil) || now.Before(tg.othersUntil)
}

// failing reports whether so many of this host's requests failed that others go elsewhere while there is another target.
func (tg *target) failing(now time.Time) bool {
	tg.fade(now)
	return tg.bad >= 2 && tg.good+tg.bad >= ejectAfter && tg.bad/(tg.good+tg.bad) >= ejectShare
}

func (tg *target) usable() bool { return !tg.lost && !tg.leaving() }
