package baseline

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// retryAfter is the Retry-After of a refusal when there is no target.
const retryAfter = 2 * time.Second

// chooser picks one of the targets, of which there is at least one, and observes starts, ends and load reports.
type chooser interface {
	choose(now time.Time, req *runningRequest, targets []chestnutroad.TargetID) chestnutroad.TargetID
	started(req *runningRequest)
	ended(req *runningRequest)
	reported(report chestnutroad.LoadReport)
}

// runningRequest is a request that runs on a target.
type runningRequest struct {
	chestnutroad.Request
	sent   chestnutroad.Tokens
	resume bool
	target chestnutroad.TargetID
	work   chestnutroad.WorkUnits
	cached chestnutroad.Tokens
}

// router starts each request at once on the target that its chooser picks, and retries failed requests that may be
// repeated.
type router struct {
	chooser chooser
	targets []chestnutroad.TargetID
	// leaving holds the listed targets of which a peer's notice says that they are leaving.
	leaving  []chestnutroad.TargetID
	requests map[chestnutroad.RequestID]*runningRequest
}

func newRouter(ch chooser) *router {
	return &router{chooser: ch, requests: map[chestnutroad.RequestID]*runningRequest{}}
}

// SetTargets applies the current list of targets.
func (rt *router) SetTargets(_ time.Time, listed []pool.Target) []pool.Action {
	rt.targets = rt.targets[:0]
	var leaving []chestnutroad.TargetID
	for _, entry := range listed {
		switch {
		case entry.Leaving:
		case slices.Contains(rt.leaving, entry.ID):
			leaving = append(leaving, entry.ID)
		default:
			rt.targets = append(rt.targets, entry.ID)
		}
	}
	rt.leaving = leaving
	return nil
}

// SetLeaving applies a peer's notice that a target is leaving.
func (rt *router) SetLeaving(_ time.Time, id chestnutroad.TargetID) []pool.Action {
	rt.leaving = append(rt.leaving, id)
	rt.targets = slices.DeleteFunc(rt.targets, func(other chestnutroad.TargetID) bool { return other == id })
	return nil
}

// Submit starts the request, or refuses it when there is no target.
func (rt *router) Submit(now time.Time, req chestnutroad.Request, _ ...pool.SubmitOption) []pool.Action {
	return rt.start(now, &runningRequest{Request: req}, rt.targets)
}

func (rt *router) start(now time.Time, rn *runningRequest, targets []chestnutroad.TargetID) []pool.Action {
	if len(targets) == 0 {
		refusal := chestnutroad.Refuse(chestnutroad.NoTarget, "there is no target").WithRetryAfter(retryAfter)
		refusal.NotRun = !rn.resume
		return []pool.Action{{Type: pool.ActionRefuse, Request: rn.ID, Refusal: refusal}}
	}
	rn.cached = 0
	rn.target = rt.chooser.choose(now, rn, targets)
	rn.work = chestnutroad.WorkOf(max(0, rn.Prompt+rn.sent-rn.cached), max(0, rn.MaxOutput-rn.sent))
	rt.requests[rn.ID] = rn
	rt.chooser.started(rn)
	return []pool.Action{{
		Type: pool.ActionStart, Request: rn.ID, Target: rn.target, Cached: rn.cached, Resume: rn.resume, Work: rn.work,
	}}
}

// Progress records how many tokens of the answer the caller has received.
func (rt *router) Progress(_ time.Time, id chestnutroad.RequestID, sent chestnutroad.Tokens) {
	if rn := rt.requests[id]; rn != nil {
		rn.sent = max(rn.sent, sent)
	}
}

// Finish ends a request.
func (rt *router) Finish(_ time.Time, id chestnutroad.RequestID) []pool.Action {
	rt.end(id)
	return nil
}

// Cancel ends a request that its caller cancelled.
func (rt *router) Cancel(_ time.Time, id chestnutroad.RequestID) []pool.Action {
	rt.end(id)
	return nil
}

// Fail retries the request on another target if it may be repeated, and refuses it otherwise.
func (rt *router) Fail(now time.Time, id chestnutroad.RequestID, kind pool.FailureKind) []pool.Action {
	rn := rt.end(id)
	if rn == nil {
		return nil
	}
	if kind == pool.FailureBadAnswer || (kind == pool.FailureBroken && rn.Repeat == chestnutroad.RepeatNever) {
		refusal := chestnutroad.Refuse(chestnutroad.OutcomeUnknown, "the target broke off")
		return []pool.Action{{Type: pool.ActionRefuse, Request: id, Refusal: refusal}}
	}
	rn.resume = rn.resume || kind == pool.FailureBroken
	others := slices.DeleteFunc(slices.Clone(rt.targets), func(other chestnutroad.TargetID) bool { return other == rn.target })
	return rt.start(now, rn, others)
}

func (rt *router) end(id chestnutroad.RequestID) *runningRequest {
	rn := rt.requests[id]
	if rn != nil {
		delete(rt.requests, id)
		rt.chooser.ended(rn)
	}
	return rn
}

// Report passes the report to the chooser.
func (rt *router) Report(_ time.Time, report chestnutroad.LoadReport) []pool.Action {
	rt.chooser.reported(report)
	return nil
}

// CacheEvent does nothing.
func (rt *router) CacheEvent(time.Time, chestnutroad.CacheEvent) []pool.Action { return nil }

// Tick does nothing.
func (rt *router) Tick(time.Time) []pool.Action { return nil }

// ignoreEvents is embedded by choosers that ignore starts and ends, and load reports unless they override reported.
type ignoreEvents struct{}

func (ignoreEvents) started(*runningRequest) {}

func (ignoreEvents) ended(*runningRequest) {}

func (ignoreEvents) reported(chestnutroad.LoadReport) {}
