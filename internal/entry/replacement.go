package entry

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/targetconn"
)

// replacement is another target for a request whose target stalled. The request counts as running there, a retry was taken for
// it, and a connection is open.
type replacement struct {
	choice     placement.Choice
	connection *targetconn.Connection
	// taken is when the retry was taken.
	taken time.Time
}

// replace returns a replacement for the target of the exchange's current send, or nil when there is none. It is called while
// the send goes on, and not concurrently. The wait is that until the first check.
func (en *Entry) replace(ctx context.Context, ex *exchange, wait time.Duration) *replacement {
	now := en.now()
	criteria := ex.criteria
	criteria.Excluded = append(slices.Clone(ex.criteria.Excluded), ex.choice.Entry.ID)
	criteria.MaxEventGap, criteria.RequireHealthy, criteria.Only = en.maxEventGap(ex), true, ""
	criteria.Fetch = en.fetchProfile(ex)
	ex.pin(&criteria)
	criteria.Faulty = append(slices.Clone(ex.criteria.Faulty), ex.choice.Entry.ID)
	choice, end := en.state.chooseReplacement(now, &criteria, ex.remaining(now), replacementReserve(ex, wait))
	if end != attempt.StallRetried {
		en.recordStallEnd(ex, end)
		return nil
	}
	found := &replacement{choice: choice, taken: now}
	connection, err := en.targets.Connect(ctx, connectRequest(ex, &choice, 0))
	if err != nil {
		en.discardUnreachable(ctx, ex, found, err)
		return nil
	}
	found.connection = connection
	en.recordStallEnd(ex, end)
	return found
}

// replacementReserve returns the time that a replacement needs: the latency target, or on a short deadline half of what the
// first target got.
func replacementReserve(ex *exchange, wait time.Duration) time.Duration {
	return min(ex.rule.LatencyTarget, wait/2)
}

// discardUnreachable takes back a replacement to which no connection could be opened. It is excluded from further choices,
// unless the send has ended meanwhile.
func (en *Entry) discardUnreachable(ctx context.Context, ex *exchange, found *replacement, err error) {
	res := sendFailure(err, ctx.Err() != nil)
	entry := &found.choice.Entry
	en.logReachability(entry, en.state.finish(en.now(), entry.ID, res.outcome), err)
	en.state.returnRetry(found.taken, ex.service)
	if ctx.Err() != nil {
		return
	}
	en.counters.countSend(string(ex.service), err)
	en.recordStallEnd(ex, attempt.StallNoTarget)
	ex.criteria.Excluded = append(ex.criteria.Excluded, entry.ID)
	ex.trail = append(ex.trail, trailStep(&found.choice, &res, en.now().Sub(found.taken)))
}

// discard takes back a replacement that is not used.
func (en *Entry) discard(service chestnutroad.ServiceID, found *replacement) {
	en.state.finish(en.now(), found.choice.Entry.ID, placement.Unknown)
	en.state.returnRetry(found.taken, service)
	found.connection.Release()
}

// discardUnused takes back the replacement of an exchange that has ended, if it has one.
func (en *Entry) discardUnused(ex *exchange) {
	if ex.replacement != nil {
		en.discard(ex.service, ex.replacement)
	}
}

// recordStallEnd records what followed a stall, for the log and the metrics, unless the check before had the same result. A
// lack of time is recorded only if there was none at the first check, since the time runs out in each stall that lasts.
func (en *Entry) recordStallEnd(ex *exchange, end attempt.StallEnd) {
	if count := len(ex.stalls); count > 0 && (ex.stalls[count-1] == end || end == attempt.StallNoTime) {
		return
	}
	ex.stalls = append(ex.stalls, end)
	en.counters.countStall(string(ex.service), end)
}
