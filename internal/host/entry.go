package host

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/retrybudget"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

const (
	// ownerSearchInterval spaces the questions for a shard's owner while hosts disagree about it.
	ownerSearchInterval = 50 * time.Millisecond
	// ownerSearchLimit is longer than a takeover takes after a host's death: suspicion, takeover delay, one report.
	ownerSearchLimit = 8 * time.Second
	noOwnerRetry     = 2 * time.Second
)

// errNotOwner is returned by an owner that has lost the shard or never had it; nothing of the request ran there.
var errNotOwner = errors.New("the host does not own the shard")

// fleet is what the entry knows of the other hosts and the pools.
type fleet interface {
	// shards ranks the shards that can take the request, the preferred one first.
	shards(request *chestnutroad.Request) []chestnutroad.ShardID
	// forward sends the request to the shard's present owner, on this host or another one.
	forward(ctx context.Context, shard chestnutroad.ShardID, request *chestnutroad.Request, call *chestnutroad.Call,
		answer chestnutroad.Answer, redirects int) error
}

// entry forwards callers' requests to the owners of shards.
type entry struct {
	fleet fleet
	now   func() time.Time

	// mu guards the limits, which a configuration changes while requests run.
	mu            sync.Mutex
	budget        *retrybudget.Decaying
	redirectLimit int
}

// The retry budget and the redirects before a configuration is read.
const (
	defaultRetryShare    = 0.1
	defaultRetryWindow   = 10 * time.Second
	defaultRetryFloor    = 1
	defaultRedirectLimit = 3
)

func newEntry(fleet fleet, now func() time.Time) *entry {
	return &entry{
		fleet:         fleet,
		now:           now,
		budget:        retrybudget.NewDecaying(defaultRetryShare, defaultRetryWindow, defaultRetryFloor),
		redirectLimit: defaultRedirectLimit,
	}
}

// configure applies the limits of the configuration in force.
func (en *entry) configure(fleet settings.Fleet) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.budget.Configure(fleet.RetryShare, fleet.RetryWindow, fleet.RetryFloor)
	en.redirectLimit = fleet.RedirectLimit
}

func (en *entry) countRequest() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.budget.AddRequest(en.now())
}

func (en *entry) takeRetry() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.budget.TakeRetry(en.now())
}

func (en *entry) redirects() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.redirectLimit
}

// Forward runs the call and returns nil once the whole answer was passed on.
func (en *entry) Forward(
	ctx context.Context, request *chestnutroad.Request, call *chestnutroad.Call, answer chestnutroad.Answer,
) error {
	en.countRequest()
	chatHeader(request, call)
	route := &routing{entry: en, request: request, tried: map[chestnutroad.ShardID]bool{}}
	pg := &progress{answer: answer, onTokens: func(chestnutroad.Tokens) {}}
	for {
		shard, known := route.next()
		if !known {
			return route.giveUp()
		}
		err := en.fleet.forward(ctx, shard, request, attemptCall(call, route.attempt, pg), pg, route.redirects)
		if err == nil || ctx.Err() != nil || pg.failed != nil {
			return err
		}
		if !route.again(ctx, shard, pg, err) {
			return route.last
		}
	}
}

// routing is the way of one request through the shards.
type routing struct {
	entry     *entry
	request   *chestnutroad.Request
	redirects int
	attempt   int
	resumes   int
	// searching is since when the shard's owner can't be found; a process that was frozen must not count that time.
	searching time.Time
	// directed is the shard that an owner named, or zero.
	directed chestnutroad.ShardID
	tried    map[chestnutroad.ShardID]bool
	last     error
}

// next returns the shard to ask, preferring the one that an owner named.
func (rt *routing) next() (chestnutroad.ShardID, bool) {
	if rt.directed != (chestnutroad.ShardID{}) {
		shard := rt.directed
		rt.directed = chestnutroad.ShardID{}
		return shard, true
	}
	for _, shard := range rt.entry.fleet.shards(rt.request) {
		if !rt.tried[shard] {
			return shard, true
		}
	}
	return chestnutroad.ShardID{}, false
}

// again decides whether another attempt follows the failed one.
func (rt *routing) again(ctx context.Context, shard chestnutroad.ShardID, pg *progress, err error) bool {
	rt.last = err
	rt.attempt++
	var other *redirect
	if errors.As(err, &other) {
		return rt.follow(other.Shard)
	}
	if errors.Is(err, errNotOwner) {
		return rt.waitForOwner(ctx)
	}
	refusal := chestnutroad.RefusalOf(err)
	switch {
	case refusal.NotRun && refusal.Kind.Answer().Elsewhere:
		rt.tried[shard] = true
		return refusal.Kind != chestnutroad.TargetRefused || rt.entry.takeRetry()
	case refusal.Kind == chestnutroad.StreamBroken && pg.repeatable(rt.request):
		return rt.mayResume() && rt.waitForOwner(ctx)
	default:
		return false
	}
}

// mayResume allows one resume of each request for free: when a host dies, all its streams break at once, and a budget
// would cut most of them off. Further ones are charged.
func (rt *routing) mayResume() bool {
	rt.resumes++
	rt.searching = time.Time{}
	return rt.resumes == 1 || rt.entry.takeRetry()
}

// follow goes to the shard that an owner named, up to the limit.
func (rt *routing) follow(shard chestnutroad.ShardID) bool {
	rt.redirects++
	if rt.redirects > rt.entry.redirects() {
		rt.last = chestnutroad.Refuse(chestnutroad.Overloaded, "every shard is at its load bound").WithRetryAfter(noOwnerRetry)
		return false
	}
	rt.directed = shard
	return true
}

// waitForOwner pauses before the shard's owner is asked for again. It gives up when no owner was found for long, or
// when the request's deadline has passed.
func (rt *routing) waitForOwner(ctx context.Context) bool {
	now := rt.entry.now()
	if rt.searching.IsZero() {
		rt.searching = now
	}
	deadline := rt.request.Deadline
	if now.Sub(rt.searching) > ownerSearchLimit || (!deadline.IsZero() && now.After(deadline) && rt.resumes == 0) {
		rt.last = rt.ownerRefusal()
		return false
	}
	timer := time.NewTimer(ownerSearchInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (rt *routing) ownerRefusal() error {
	if errors.Is(rt.last, errNotOwner) {
		return chestnutroad.Refuse(chestnutroad.NoTarget, "the shard has no owner at the moment").WithRetryAfter(noOwnerRetry)
	}
	return rt.last
}

// giveUp returns the last failure, or says that there is no shard at all.
func (rt *routing) giveUp() error {
	if rt.last != nil {
		return rt.ownerRefusal()
	}
	return chestnutroad.Refuse(chestnutroad.NoTarget, "the service has no target").WithRetryAfter(noOwnerRetry)
}
