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
	// ownerSearchLimit is longer than a takeover takes after a host's death: the suspicion of the dead host, the new owner's
	// takeover delay and one load report.
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
	state := &retryState{entry: en, request: request, tried: map[chestnutroad.ShardID]bool{}}
	pg := &progress{answer: answer, onTokens: func(chestnutroad.Tokens) {}}
	for {
		shard, found := state.nextShard()
		if !found {
			return state.noShardError()
		}
		err := en.router.forward(ctx, shard, request, attemptCall(call, state.attempt, pg), pg, state.redirects)
		if err == nil || ctx.Err() != nil || pg.answerErr != nil {
			return err
		}
		if !state.prepareRetry(ctx, shard, pg, err) {
			return state.lastErr
		}
	}
}

// retryState holds the retries, redirects and resumes of one request.
type retryState struct {
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
func (rs *retryState) nextShard() (chestnutroad.ShardID, bool) {
	if rs.redirectedTo != (chestnutroad.ShardID{}) {
		shard := rs.redirectedTo
		rs.redirectedTo = chestnutroad.ShardID{}
		return shard, true
	}
	for _, shard := range rs.entry.router.shards(rs.request) {
		if !rs.tried[shard] {
			return shard, true
		}
	}
	return chestnutroad.ShardID{}, false
}

// prepareRetry reports whether another attempt follows the failed one, after waiting for an owner if needed.
func (rs *retryState) prepareRetry(ctx context.Context, shard chestnutroad.ShardID, pg *progress, err error) bool {
	rs.lastErr = err
	rs.attempt++
	var redirected *redirect
	if errors.As(err, &redirected) {
		return rs.followRedirect(redirected.Shard)
	}
	if errors.Is(err, errNotOwner) {
		return rs.waitForOwner(ctx)
	}
	refusal := chestnutroad.RefusalOf(err)
	switch {
	case refusal.NotRun && refusal.Kind.Answer().Elsewhere:
		rs.tried[shard] = true
		return refusal.Kind != chestnutroad.TargetRefused || rs.entry.takeRetry()
	case refusal.Kind == chestnutroad.StreamBroken && pg.retryable(rs.request):
		return rs.allowResume() && rs.waitForOwner(ctx)
	default:
		return false
	}
}

// allowResume reports whether the request may be resumed. The first resume is not charged to the retry budget: when a
// host dies, all its streams break at once, and the budget would cut most of them off. Further ones are charged.
func (rs *retryState) allowResume() bool {
	rs.resumes++
	rs.searchStarted = time.Time{}
	return rs.resumes == 1 || rs.entry.takeRetry()
}

// followRedirect makes the shard the next one to try, unless the redirect limit is exceeded.
func (rs *retryState) followRedirect(shard chestnutroad.ShardID) bool {
	rs.redirects++
	if rs.redirects > rs.entry.maxRedirects() {
		rs.lastErr = chestnutroad.Refuse(chestnutroad.Overloaded, "every shard is at its load bound").WithRetryAfter(noOwnerRetry)
		return false
	}
	rs.redirectedTo = shard
	return true
}

// waitForOwner waits for ownerSearchInterval before the next attempt. It returns false once no owner has been found for
// ownerSearchLimit, when the deadline of a request that was not resumed has passed, or when ctx ends.
func (rs *retryState) waitForOwner(ctx context.Context) bool {
	now := rs.entry.now()
	if rs.searchStarted.IsZero() {
		rs.searchStarted = now
	}
	deadline := rs.request.Deadline
	if now.Sub(rs.searchStarted) > ownerSearchLimit || (!deadline.IsZero() && now.After(deadline) && rs.resumes == 0) {
		rs.lastErr = rs.finalError()
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
func (rs *retryState) finalError() error {
	if errors.Is(rs.lastErr, errNotOwner) {
		return chestnutroad.Refuse(chestnutroad.NoTarget, "the shard has no owner at the moment").WithRetryAfter(noOwnerRetry)
	}
	return rs.lastErr
}

// noShardError returns the error for a request with no shard left to try: the last failure, or a refusal if the service
// has no shard.
func (rs *retryState) noShardError() error {
	if rs.lastErr != nil {
		return rs.finalError()
	}
	return chestnutroad.Refuse(chestnutroad.NoTarget, "the service has no target").WithRetryAfter(noOwnerRetry)
}
