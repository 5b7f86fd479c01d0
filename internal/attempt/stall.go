package attempt

import "time"

// StallEnd is what follows the stall of a running attempt, whose target makes no progress for too long.
type StallEnd string

// The stall ends.
const (
	// StallRetried means that the attempt is given up and the request is sent to another target.
	StallRetried StallEnd = "Retried"
	// StallNoTime means that the attempt goes on, since too little time is left for another one.
	StallNoTime StallEnd = "NoTime"
	// StallNoBudget means that it goes on, since the retry budget is used up.
	StallNoBudget StallEnd = "NoBudget"
	// StallNoTarget means that it goes on, since there is no other target.
	StallNoTarget StallEnd = "NoTarget"
)

// StallEnds lists all stall ends.
var StallEnds = []StallEnd{StallRetried, StallNoTime, StallNoBudget, StallNoTarget}

// Stall holds what decides whether a stalled attempt is given up for another one.
type Stall struct {
	// Remaining is the time until the request's deadline, and Reserve what another attempt needs of it.
	Remaining, Reserve time.Duration
	// HasRetry reports whether the retry budget has a retry left. HasTarget chooses another target and reports whether there
	// is one; it is called last.
	HasRetry, HasTarget func() bool
}

// AfterStall returns what follows a stall.
func AfterStall(sl *Stall) StallEnd {
	switch {
	case sl.Remaining < max(MinRemaining, sl.Reserve):
		return StallNoTime
	case !sl.HasRetry():
		return StallNoBudget
	case !sl.HasTarget():
		return StallNoTarget
	default:
		return StallRetried
	}
}
