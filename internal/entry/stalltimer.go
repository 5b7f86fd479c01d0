package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

// stallTimer cancels a send whose target makes no progress for too long. A nil timer never does, so that the send lasts
// until its deadline.
type stallTimer struct {
	timer *time.Timer
	fired atomic.Bool
}

func newStallTimer(cancel context.CancelFunc, wait time.Duration) *stallTimer {
	if wait <= 0 {
		return nil
	}
	st := &stallTimer{}
	st.timer = time.AfterFunc(wait, func() {
		st.fired.Store(true)
		cancel()
	})
	return st
}

// expired reports whether the timer cancelled the send.
func (st *stallTimer) expired() bool { return st != nil && st.fired.Load() }

func (st *stallTimer) stop() {
	if st != nil {
		st.timer.Stop()
	}
}

// reset restarts the timer after progress of the target.
func (st *stallTimer) reset(wait time.Duration) {
	if st != nil {
		st.timer.Reset(wait)
	}
}

const (
	// plainWaitShare is the share of the remaining time that a target of a plain request gets while a further send is
	// allowed, so that the next target has the rest.
	plainWaitShare = 0.5
	// firstEventFactor is the multiple of the latency target after which a stream without a first event goes to another
	// target.
	firstEventFactor = 2
	// eventGapFactor is the multiple of the event gap target after which a stalled stream is resumed at another target.
	eventGapFactor = 3
)

// initialStallTimeout returns how long a target may make no progress, from the start of a send, before the request goes to
// another one. It is zero, which means no limit, when the request may not be repeated or no further send is allowed.
func (en *Entry) initialStallTimeout(ex *exchange, now time.Time) time.Duration {
	if ex.rule.Repeat != chestnutroad.RepeatAllowed || ex.progress.Sent+1 >= ex.rule.MaxAttempts {
		return 0
	}
	if !ex.rule.Streaming {
		return time.Duration(plainWaitShare * float64(ex.remaining(now)))
	}
	if ex.answerStarted() {
		return en.eventStallTimeout(ex)
	}
	wait := firstEventFactor * ex.rule.LatencyTarget
	if en.settings.Without.Off(mechanism.AdaptiveTimeout) {
		return min(wait, ex.remaining(now)/2)
	}
	en.state.withRuleStats(ex.rule.Name, func(rs *ruleStats) { wait = max(wait, rs.firstEvent.Timeout()) })
	return min(wait, ex.remaining(now)/2)
}

// eventStallTimeout returns how long a resumable stream may pause before it is resumed at another target.
func (en *Entry) eventStallTimeout(ex *exchange) time.Duration {
	wait := eventGapFactor * ex.rule.EventGapTarget
	if en.settings.Without.Off(mechanism.AdaptiveTimeout) {
		return wait
	}
	en.state.withRuleStats(ex.rule.Name, func(rs *ruleStats) { wait = max(wait, rs.eventGap.Timeout()) })
	return wait
}
