package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// eventGapGain is the weight of a new gap in a target's exponentially weighted moving average.
	eventGapGain = 1.0 / 16
	// eventGapMaxAge is how long the average is valid after the last gap; slow engines pause for up to a second.
	eventGapMaxAge = 3 * time.Second
	// slowEngineShare is the share of an engine's slots that remains usable however slow it is, so that its recovery is
	// noticed.
	slowEngineShare = 1.0 / 16
)

// eventGap tracks the mean gap between the events of a target's streams.
type eventGap struct {
	mean      time.Duration
	updatedAt time.Time
}

func (eg *eventGap) observe(now time.Time, gap time.Duration) {
	if eg.updatedAt.IsZero() || now.Sub(eg.updatedAt) > eventGapMaxAge {
		eg.mean = gap
	}
	eg.mean += time.Duration(eventGapGain * float64(gap-eg.mean))
	eg.updatedAt = now
}

// estimate returns the mean gap, or zero when none was observed within eventGapMaxAge.
func (eg *eventGap) estimate(now time.Time) time.Duration {
	if eg.updatedAt.IsZero() || now.Sub(eg.updatedAt) > eventGapMaxAge {
		return 0
	}
	return eg.mean
}

// ObserveEventGap records the time between two events of a stream from the target.
func (pl *Pool) ObserveEventGap(now time.Time, id chestnutroad.TargetID, gap time.Duration) {
	if tg := pl.targets[id]; tg != nil {
		tg.eventGap.observe(now, gap)
	}
}
