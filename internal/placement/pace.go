package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// eventGapGain is the weight of a new pause between events in the mean of a target.
	eventGapGain = 1.0 / 16
	// eventGapMaxAge is how long the pauses of a target's streams are believed after the last one; slow engines were seen to
	// pause for up to a second.
	eventGapMaxAge = 3 * time.Second
	// slowEngineShare is the part of an engine's places that stays open however slow it is, so that its recovery is seen.
	slowEngineShare = 1.0 / 16
)

// eventGap follows the pauses between the events of a target's streams.
type eventGap struct {
	mean time.Duration
	updatedAt   time.Time
}

func (pc *eventGap) observe(now time.Time, pause time.Duration) {
	if pc.updatedAt.IsZero() || now.Sub(pc.updatedAt) > eventGapMaxAge {
		pc.mean = pause
	}
	pc.mean += time.Duration(eventGapGain * float64(pause-pc.mean))
	pc.updatedAt = now
}

// estimate returns the mean pause, or zero when none was seen lately.
func (pc *eventGap) estimate(now time.Time) time.Duration {
	if pc.updatedAt.IsZero() || now.Sub(pc.updatedAt) > eventGapMaxAge {
		return 0
	}
	return pc.mean
}

// ObserveEventGap takes in a pause between two events of a stream from the target.
func (pl *Pool) ObserveEventGap(now time.Time, id chestnutroad.TargetID, pause time.Duration) {
	if tg := pl.targets[id]; tg != nil {
		tg.eventGap.observe(now, pause)
	}
}
