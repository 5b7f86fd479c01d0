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
	// ownerSearchInterval is the time between attempts to reach a shard's owner while hosts disagree about it.
	ownerSearchInterval = 50 * time.Millisecond
	// ownerSearchLimit is longer than a takeover takes after a host's death: suspicion, takeover delay, one report.
	ownerSearchLimit = 8 * time.Second
	// noOwnerRetry is the time after which a refused caller may retry.
	noOwnerRetry = 2 * time.Second
)

// errNotOwner is returned by a host that does not own the shard, or no longer does; nothing of the request ran there.
var errNotOwner = errors.New("the host does not own the shard")

// shardRouter finds the shards of a request and reaches their owners.
type shardRouter interface {
	// shards returns the shards that can run the request, the preferred one first.
	shards(request *chestnutroad.Request) []chestnutroad.ShardID
	// forward sends the request to the shard's current owner, on this host or another one.
	forward(ctx context.Context, shard chestnutroad.ShardID, request *chestnutroad.Request, call *chestnutroad.Call,
		answer chestnutroad.Answer, redirects int) error
}

// entry forwards callers' requests to the owners of shards, with redirects, retries within a budget, and resumes.
type entry struct {
	router shardRouter
	now    func() time.Time

	// mu guards the limits, which change with the configuration while requests run.
	mu            sync.Mutex
	budget        *retrybudget.Decaying
	redirectLimit int
}

// The retry budget and the redirect limit until a configuration is read. The retry share is the number of retries per
// request, the floor the number of retries per second that are always allowed.
const (
	defaultRetryShare    = 0.1
	defaultRetryWindow   = 10 * time.Second
	defaultRetryFloor    = 1
	defaultRedirectLimit = 3
)

func newEntry(router shardRouter, now func() time.Time) *entry {
	return &entry{
		router:        router,
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

func (en *entry) maxRedirects() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.redirectLimit
}

// Forward runs the call, in several attempts if needed, and returns nil once the whole answer has been forwarded.
func (en *entry) Forward(
	ctx context.Context, request *chestnutroad.Request, call *chestnutroad.Call, answer chestnutroad.Answer,
) error {
	en.countRequest()
	setChatHeader(request, call)
	route := &requestRoute{entry: en, request: request, tried: map[chestnutroad.ShardID]bool{}}
	pg := &progress{answer: answer, onTokens: func(chestnutroad.Tokens) {}}
	for {
		shard, found := route.nextShard()
		if !found {
			return route.noShardError()
		}
		err := en.router.forward(ctx, shard, request, attemptCall(call, route.attempt, pg), pg, route.redirects)
		if err == nil || ctx.Err() != nil || pg.answerErr != nil {
			return err
		}
		if !route.prepareRetry(ctx, shard, pg, err) {
			return route.lastErr
		}
	}
}

// requestRoute holds the retries, redirects and resumes of one request.
type requestRoute struct {
	entry     *entry
	request   *chestnutroad.Request
	redirects int
	attempt   int
	resumes   int
	// searchStarted is when the current search for the shard's owner began, or zero. The limit counts from here and not
	// from the request's arrival, so that time in which the process was suspended before does not count.
	searchStarted time.Time
	// redirectedTo is the shard to which an owner redirected the request, or zero.
	redirectedTo chestnutroad.ShardID
	tried        map[chestnutroad.ShardID]bool
	lastErr      error
}

// nextShard returns the shard of the next attempt: the one of a redirect, or else the first that was not tried.
func (rt *requestRoute) nextShard() (chestnutroad.ShardID, bool) {
	if rt.redirectedTo != (chestnutroad.ShardID{}) {
		shard := rt.redirectedTo
		rt.redirectedTo = chestnutroad.ShardID{}
		return shard, true
	}
	for _, shard := range rt.entry.router.shards(rt.request) {
		if !rt.tried[shard] {
			return shard, true
		}
	}
	return chestnutroad.ShardID{}, false
}

// prepareRetry reports whether another attempt follows the failed one, after waiting for an owner if needed.
func (rt *requestRoute) prepareRetry(ctx context.Context, shard chestnutroad.ShardID, pg *progress, err error) bool {
	rt.lastErr = err
	rt.attempt++
	var redirected *redirect
	if errors.As(err, &redirected) {
		return rt.followRedirect(redirected.Shard)
	}
	if errors.Is(err, errNotOwner) {
		return rt.waitForOwner(ctx)
	}
	refusal := chestnutroad.RefusalOf(err)
	switch {
	case refusal.NotRun && refusal.Kind.Answer().Elsewhere:
		rt.tried[shard] = true
		return refusal.Kind != chestnutroad.TargetRefused || rt.entry.takeRetry()
	case refusal.Kind == chestnutroad.StreamBroken && pg.retryable(rt.request):
		return rt.allowResume() && rt.waitForOwner(ctx)
	default:
		return false
	}
}

// allowResume reports whether the request may be resumed. The first resume is not charged to the retry budget: when a
// host dies, all its streams break at once, and the budget would cut most of them off. Further ones are charged.
func (rt *requestRoute) allowResume() bool {
	rt.resumes++
	rt.searchStarted = time.Time{}
	return rt.resumes == 1 || rt.entry.takeRetry()
}

// followRedirect makes the shard the next one to try, unless the redirect limit is exceeded.
func (rt *requestRoute) followRedirect(shard chestnutroad.ShardID) bool {
	rt.redirects++
	if rt.redirects > rt.entry.maxRedirects() {
		rt.lastErr = chestnutroad.Refuse(chestnutroad.Overloaded, "every shard is at its load bound").WithRetryAfter(noOwnerRetry)
		return false
	}
	rt.redirectedTo = shard
	return true
}

// waitForOwner waits for ownerSearchInterval before the next attempt. It returns false once no owner has been found for
// ownerSearchLimit, or when the deadline of a request that was not resumed has passed.
func (rt *requestRoute) waitForOwner(ctx context.Context) bool {
	now := rt.entry.now()
	if rt.searchStarted.IsZero() {
		rt.searchStarted = now
	}
	deadline := rt.request.Deadline
	if now.Sub(rt.searchStarted) > ownerSearchLimit || (!deadline.IsZero() && now.After(deadline) && rt.resumes == 0) {
		rt.lastErr = rt.finalError()
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

// finalError returns the last failure, as a refusal if the shard had no owner.
func (rt *requestRoute) finalError() error {
	if errors.Is(rt.lastErr, errNotOwner) {
		return chestnutroad.Refuse(chestnutroad.NoTarget, "the shard has no owner at the moment").WithRetryAfter(noOwnerRetry)
	}
	return rt.lastErr
}

// noShardError returns the error for a request with no shard left to try: the last failure, or a refusal if the service
// has no shard.
func (rt *requestRoute) noShardError() error {
	if rt.lastErr != nil {
		return rt.finalError()
	}
	return chestnutroad.Refuse(chestnutroad.NoTarget, "the service has no target").WithRetryAfter(noOwnerRetry)
}
