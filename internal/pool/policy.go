package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Policy decides where requests run. Owner implements it, and package baseline has simpler ones for comparison.
type Policy interface {
	SetTargets(now time.Time, listed []Target) []Action
	SetLeaving(now time.Time, id chestnutroad.TargetID) []Action
	Submit(now time.Time, req chestnutroad.Request, opts ...SubmitOption) []Action
	Progress(now time.Time, id chestnutroad.RequestID, sent chestnutroad.Tokens)
	Finish(now time.Time, id chestnutroad.RequestID) []Action
	Fail(now time.Time, id chestnutroad.RequestID, kind FailureKind) []Action
	Cancel(now time.Time, id chestnutroad.RequestID) []Action
	Report(now time.Time, report chestnutroad.LoadReport) []Action
	CacheEvent(now time.Time, event chestnutroad.CacheEvent) []Action
	Tick(now time.Time) []Action
}

var _ Policy = (*Owner)(nil)
