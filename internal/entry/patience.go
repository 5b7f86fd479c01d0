package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

// silenceTimer gives a send up when a target stays silent; a nil one waits until the deadline.
type silenceTimer struct {
	timer *time.Timer
	fired atomic.Bool
}

func newSilenceTimer(cancel context.CancelFunc, wait time.Duration) *silenceTimer {
	if wait <= 0 {
		return nil
	}
	st := &silenceTimer{}
	st.timer = time.AfterFunc(wait, func() {
		st.fired.Store(true)
		cancel()
	})
	return st
}

// gaveUp reports whether the target was silent for too long.
func (st *silenceTimer) gaveUp() bool { return st != nil && st.fired.Load() }

func (st *silenceTimer) stop() {
	if st != nil {
		st.timer.Stop()
	}
}

// heard restarts the wait after progress of the target.
func (st *silenceTimer) heard(wait time.Duration) {
	if st != nil {
		st.timer.Reset(wait)
	}
}

const (
	// plainShare is the part of the remaining time that the first target of a plain request gets, so that a second one
	// has the rest.
	plainShare = 0.5
	// firstEventTargets is the number of latency targets after which a stream without a first event is moved.
	firstEventTargets = 2
	// eventGaps is the number of longest on-time pauses after which a silent stream is moved.
	eventGaps = 3
)

// firstWait returns how long a target may stay silent before the request goes to another one; zero when the request
// may not be repeated or no further send is allowed.
func (en *Entry) firstWait(ex *exchange, now time.Time) time.Duration {
	if ex.rule.Repeat != chestnutroad.RepeatAllowed || ex.progress.Sent+1 >= ex.rule.MaxAttempts {
		return 0
	}
	if !ex.rule.Streaming {
		return time.Duration(plainShare * float64(ex.left(now)))
	}
	if ex.delivered() {
		return en.eventWait(ex)
	}
	wait := firstEventTargets * ex.rule.LatencyTarget
	if en.settings.Without.Off(mechanism.AdaptiveTimeout) {
		return min(wait, ex.left(now)/2)
	}
	en.state.withPacing(ex.rule.Name, func(pc *pacing) { wait = max(wait, pc.first.Timeout()) })
	return min(wait, ex.left(now)/2)
}

// eventWait returns how long a stream that may be resumed may pause before it is resumed elsewhere.
func (en *Entry) eventWait(ex *exchange) time.Duration {
	wait := eventGaps * ex.rule.EventGapTarget
	if en.settings.Without.Off(mechanism.AdaptiveTimeout) {
		return wait
	}
	en.state.withPacing(ex.rule.Name, func(pc *pacing) { wait = max(wait, pc.gap.Timeout()) })
	return wait
}
