package pool

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Owner decides for the owner of one shard; it is not safe for concurrent use.
//
// Times passed to its methods must not go backwards.
type Owner struct {
	shard       chestnutroad.ShardID
	settings    settings
	epoch       chestnutroad.Epoch
	steppedDown bool
	// takeover is when the owner took over without its predecessor's state; zero means that no wait applies.
	takeover time.Time

	targets  []*target
	byID     map[chestnutroad.TargetID]*target
	locations    []location
	requests map[chestnutroad.RequestID]*request
	queue    *requestQueue
	table    *placementTable
	remotes  []*remoteShard
	drain    drainRate
	// exceptions wait to be sent to the next owner.
	exceptions []PlacementException
	counts     Counts
	// lastEvent is the time of the last event.
	lastEvent time.Time
}

// location is what a table entry's index stands for: a location of a target that still goes on, or a remote shard.
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
	// Ejected counts ejections of targets after failures in a row.
	Ejected int64
	// Restarted counts targets that came back with a higher incarnation.
	Restarted int64
	// CacheGaps counts gaps in the sequence numbers of cache events.
	CacheGaps int64
	// CacheHits counts starts on a target that is expected to have the chat's context.
	CacheHits int64
}

// New returns the owner of a shard; it admits nothing before it knows a target.
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
	return ow.trimQueue(ow.settle(now, nil))
}

// settle follows each event: it refuses what is too late, dispatches what fits and moves streams off targets above the
// bound.
func (ow *Owner) settle(now time.Time, actions []Action) []Action {
	ow.lastEvent = now
	actions = ow.refuseExpired(now, actions)
	actions = ow.dispatch(now, actions)
	return ow.rebalance(now, actions)
}

func (ow *Owner) refuse(rq *request, kind chestnutroad.Kind, message string, retryAfter time.Duration) Action {
	delete(ow.requests, rq.ID)
	ow.counts.Refused++
	return rq.refuse(kind, message, retryAfter)
}

func (ow *Owner) refuseExpired(now time.Time, actions []Action) []Action {
	for _, rq := range ow.queue.expire(now) {
		ow.queue.remove(rq)
		actions = append(actions, ow.refuse(rq, chestnutroad.DeadlineExceeded, "the deadline passed in the queue", ow.retryAfter(ow.queue.work())))
	}
	return actions
}
