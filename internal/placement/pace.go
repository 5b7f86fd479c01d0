package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// paceGain is the weight of a new pause between events in the mean of a target.
	paceGain = 1.0 / 16
	// paceAge is how long the pauses of a target's streams are believed after the last one; slow engines were seen to
	// pause for up to a second.
	paceAge = 3 * time.Second
	// probeShare is the part of an engine's places that stays open however slow it is, so that its recovery is seen.
	probeShare = 1.0 / 16
)

// pace follows the pauses between the events of a target's streams.
type pace struct {
	mean time.Duration
	at   time.Time
}

func (pc *pace) observe(now time.Time, pause time.Duration) {
	if pc.at.IsZero() || now.Sub(pc.at) > paceAge {
		pc.mean = pause
	}
	pc.mean += time.Duration(paceGain * float64(pause-pc.mean))
	pc.at = now
}

// estimate returns the mean pause, or zero when none was seen lately.
func (pc *pace) estimate(now time.Time) time.Duration {
	if pc.at.IsZero() || now.Sub(pc.at) > paceAge {
		return 0
	}
	return pc.mean
}

// ObserveEventGap takes in a pause between two events of a stream from the target.
func (pl *Pool) ObserveEventGap(now time.Time, id chestnutroad.TargetID, pause time.Duration) {
	if tg := pl.targets[id]; tg != nil {
		tg.pace.observe(now, pause)
	}
}
