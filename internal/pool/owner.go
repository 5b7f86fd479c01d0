package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Owner makes the decisions for one shard. It is not safe for concurrent use.
//
// Times passed to its methods must not go backwards.
type Owner struct {
	shard       chestnutroad.ShardID
	settings    settings
	epoch       chestnutroad.Epoch
	steppedDown bool
	// takeover is when the owner took over without the former owner's state; zero means that admissions need no wait.
	takeover time.Time

	targets   []*target
	byID      map[chestnutroad.TargetID]*target
	locations []location
	requests  map[chestnutroad.RequestID]*request
	queue     *requestQueue
	table     *placementTable
	remotes   []*remoteShard
	drain     drainRate
	// exceptions are the placement exceptions not yet sent to the successor.
	exceptions []PlacementException
	counts     Counts
	// lastEvent is the time of the last event that called reconcile.
	lastEvent time.Time
}

// location is the place that a placement table entry refers to: one incarnation of a target, or a remote shard. It is
// empty once that incarnation or the target is gone.
type location struct {
	target *target
	remote *remoteShard
}

// Counts counts an owner's decisions and observations since it started.
type Counts struct {
	Submitted  int64
	Started    int64
	Finished   int64
	Failed     int64
	Refused    int64
	Redirected int64
	Moved      int64
	// Ejected counts ejections of targets after consecutive failures.
	Ejected int64
	// Restarted counts restarts of targets, seen as a higher incarnation.
	Restarted int64
	// CacheGaps counts gaps in the sequence numbers of cache events.
	CacheGaps int64
	// CacheHits counts starts on a target that is expected to hold part of the chat's context.
	CacheHits int64
}

// New returns the owner of a shard. It refuses requests until a target or another shard with targets is known.
func New(shard chestnutroad.ShardID, opts ...Option) *Owner {
	ow := &Owner{
		shard:    shard,
		settings: defaultSettings(),
		byID:     map[chestnutroad.TargetID]*target{},
		requests: map[chestnutroad.RequestID]*request{},
		queue:    newRequestQueue(),
	}
	for _, opt := range opts {
		opt(&ow.settings)
	}
	ow.table = newPlacementTable(ow.settings.tableLimit)
	return ow
}

// Configure applies options to a running owner.
func (ow *Owner) Configure(now time.Time, opts ...Option) []Action {
	for _, opt := range opts {
		opt(&ow.settings)
	}
	ow.table.setLimit(ow.settings.tableLimit)
	return ow.trimQueue(ow.reconcile(now, nil))
}

// reconcile runs after each event: it refuses expired requests, dispatches waiting ones and moves streams off targets
// above the bound.
func (ow *Owner) reconcile(now time.Time, actions []Action) []Action {
	ow.lastEvent = now
	actions = ow.refuseExpired(now, actions)
	actions = ow.dispatch(now, actions)
	return ow.rebalance(now, actions)
}

// refuse forgets the request and returns its refusal. The caller takes it out of the queue.
func (ow *Owner) refuse(rq *request, kind chestnutroad.Kind, message string, retryAfter time.Duration) Action {
	delete(ow.requests, rq.ID)
	ow.counts.Refused++
	return rq.refuse(kind, message, retryAfter)
}

func (ow *Owner) refuseExpired(now time.Time, actions []Action) []Action {
	for _, rq := range ow.queue.expire(now) {
		ow.queue.remove(rq)
		actions = append(actions,
			ow.refuse(rq, chestnutroad.DeadlineExceeded, "the deadline passed in the queue", ow.retryAfter(ow.queue.work())))
	}
	return actions
}
