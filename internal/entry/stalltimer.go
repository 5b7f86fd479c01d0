package entry

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

// stallCheckInterval is the pause between two attempts to replace a target that makes no progress: a check costs a few
// microseconds for each target of the service, and a retry budget changes in steps of a second.
const stallCheckInterval = 200 * time.Millisecond

// stallTimer cancels a send whose target makes no progress for too long, but only once there is a replacement: a target that
// is slow may still answer. A nil timer never does anything, so that the send lasts until its deadline.
type stallTimer struct {
	cancel context.CancelFunc
	// replace returns a replacement, or nil when there is none; discard takes back one that is not needed.
	replace func() *replacement
	discard func(*replacement)

	mu    sync.Mutex
	timer *time.Timer
	// due is when the timer fires.
	due     time.Time
	stopped bool
	// stalled is true once the timer has fired since the last progress.
	stalled     bool
	replacement *replacement
	// checking is true while a replacement is looked for, and checks ends with that.
	checking bool
	checks   sync.WaitGroup
}

// newStallTimer returns a timer for the send of the exchange that started at a time, or nil if the wait is not positive.
func (en *Entry) newStallTimer(
	ctx context.Context, cancel context.CancelFunc, ex *exchange, started time.Time, wait time.Duration,
) *stallTimer {
	if wait <= 0 {
		return nil
	}
	st := &stallTimer{
		cancel: cancel, due: started.Add(wait),
		replace: func() *replacement { return en.replace(ctx, ex, wait) },
		discard: func(found *replacement) { en.discard(ex.service, found) },
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.timer = time.AfterFunc(time.Until(st.due), st.fire)
	return st
}

// fire replaces the target, or sets the timer again when there is no replacement.
func (st *stallTimer) fire() {
	due, ok := st.begin()
	if !ok {
		return
	}
	defer st.checks.Done()
	found := st.replace()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.checking = false
	switch {
	case st.stopped || st.due != due:
		// The answer has ended, or the target has made progress.
		if found != nil {
			st.discard(found)
		}
	case found == nil:
		st.arm(stallCheckInterval)
	default:
		st.stopped, st.replacement = true, found
		st.cancel()
	}
}

// begin returns the time that the timer was set to, or false when it was stopped or set to a later time meanwhile, or when a
// check goes on.
func (st *stallTimer) begin() (due time.Time, ok bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.stopped || time.Now().Before(st.due) {
		return time.Time{}, false
	}
	st.stalled = true
	if st.checking {
		// There was progress during a check that goes on, which takes back what it finds.
		st.arm(stallCheckInterval)
		return time.Time{}, false
	}
	st.checking = true
	st.checks.Add(1)
	return st.due, true
}

// arm sets the timer; st.mu must be held.
func (st *stallTimer) arm(wait time.Duration) {
	st.due = time.Now().Add(wait)
	st.timer.Reset(wait)
}

// stop ends the timer and returns the replacement, or nil when there is none.
func (st *stallTimer) stop() *replacement {
	if st == nil {
		return nil
	}
	st.mu.Lock()
	st.stopped = true
	st.timer.Stop()
	st.mu.Unlock()
	st.checks.Wait()
	return st.replacement
}

// expired reports whether the target made no progress from some time until the timer was stopped.
func (st *stallTimer) expired() bool { return st != nil && st.stalled }

// reset sets the timer after progress of the target.
func (st *stallTimer) reset(wait time.Duration) {
	if st == nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.stopped {
		st.stalled = false
		st.arm(wait)
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
// another one, if there is one. It is zero, which means no limit, when the request may not be repeated or no further send is
// allowed.
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
