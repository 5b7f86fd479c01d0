package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/target"
	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

// redirect is the error of an owner that leaves the request to another shard of the pool.
type redirect struct{ Shard chestnutroad.ShardID }

// Error implements error.
func (rd *redirect) Error() string { return "shard " + rd.Shard.String() + " takes the request" }

// orderRunner runs calls that may run at most once. It calls send only when this host has won the claim on the order.
type orderRunner interface {
	Run(ctx context.Context, request *chestnutroad.Request, call *chestnutroad.Call, answer chestnutroad.Answer,
		send func(ctx context.Context, answer chestnutroad.Answer) error) error
}

// ownedShard runs the requests of one shard that this host owns, as its pool.Owner decides.
type ownedShard struct {
	id     chestnutroad.ShardID
	now    func() time.Time
	orders orderRunner
	record func(event timeline.Event)

	ctx  context.Context
	stop context.CancelFunc

	mu    sync.Mutex
	owner *pool.Owner
	// mailboxes holds the mailbox of each running request.
	mailboxes map[chestnutroad.RequestID]*mailbox
	links     map[chestnutroad.TargetID]*targetLink
	// lastSummary is the load summary that was sent last.
	lastSummary pool.Summary
	// released is true once this host has given the shard up.
	released bool
	// handedOver is true once the handover to the successor has ended, whether or not it succeeded.
	handedOver atomic.Bool
}

func newOwnedShard(
	id chestnutroad.ShardID, now func() time.Time, orders orderRunner, record func(timeline.Event), opts ...pool.Option,
) *ownedShard {
	return &ownedShard{
		record:    record,
		id:        id,
		now:       now,
		orders:    orders,
		owner:     pool.New(id, opts...),
		mailboxes: map[chestnutroad.RequestID]*mailbox{},
		links:     map[chestnutroad.TargetID]*targetLink{},
	}
}

// decide calls step under the shard's lock and delivers the actions to the mailboxes of their requests.
func (sh *ownedShard) decide(step func(now time.Time, owner *pool.Owner) []pool.Action) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, action := range step(sh.now(), sh.owner) {
		if mailbox := sh.mailboxes[action.Request]; mailbox != nil {
			mailbox.put(action)
		}
	}
}

// run submits the request to the owner, runs it on the targets that the owner chooses and forwards the answer.
func (sh *ownedShard) run(
	ctx context.Context, request *chestnutroad.Request, call *chestnutroad.Call, answer chestnutroad.Answer, redirects int,
) error {
	mailbox, err := sh.submit(request, call.ResumeAt, redirects)
	if err != nil {
		return err
	}
	defer sh.endRequest(request.ID)
	pg := sh.newProgress(request, call, answer)
	for attempt := 1; ; attempt++ {
		action, err := mailbox.take(ctx)
		if err != nil {
			return err
		}
		switch action.Type {
		case pool.ActionRefuse:
			return sh.handleRefusal(action.Refusal, request, pg)
		case pool.ActionRedirect:
			return &redirect{Shard: action.Shard}
		case pool.ActionStart, pool.ActionMove:
		}
		retry, err := sh.attempt(ctx, mailbox, request, attemptCall(call, attempt, pg), pg, action.Target)
		if !retry {
			return err
		}
	}
}

// handleRefusal returns the error for a refused request. A request that a released shard can't finish goes back to the
// entry, which retries it at the new owner.
func (sh *ownedShard) handleRefusal(
	refusal *chestnutroad.Refusal, request *chestnutroad.Request, pg *progress,
) error {
	if refusal.Kind != chestnutroad.NotReady {
		return refusal
	}
	if refusal.NotRun {
		return errNotOwner
	}
	if pg.retryable(request) {
		return chestnutroad.Refuse(chestnutroad.StreamBroken, "the shard has a new owner")
	}
	return refusal
}

// submit registers the request before the owner decides about it, so that no action for it is lost.
func (sh *ownedShard) submit(request *chestnutroad.Request, sent chestnutroad.Tokens, redirects int) (*mailbox, error) {
	mailbox := newMailbox()
	sh.mu.Lock()
	released := sh.released
	_, running := sh.mailboxes[request.ID]
	if !running && !released {
		sh.mailboxes[request.ID] = mailbox
	}
	sh.mu.Unlock()
	if released {
		return nil, errNotOwner
	}
	if running {
		return nil, chestnutroad.Refuse(chestnutroad.InProgress, "a request with this id is running")
	}
	opts := []pool.SubmitOption{pool.Redirected(redirects)}
	if sent > 0 {
		opts = append(opts, pool.Resumed(sent))
	}
	sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action { return owner.Submit(now, *request, opts...) })
	return mailbox, nil
}

// endRequest unregisters the request and cancels it at the owner, however it ended.
func (sh *ownedShard) endRequest(id chestnutroad.RequestID) {
	sh.mu.Lock()
	delete(sh.mailboxes, id)
	sh.mu.Unlock()
	sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action { return owner.Cancel(now, id) })
}

func (sh *ownedShard) newProgress(
	request *chestnutroad.Request, call *chestnutroad.Call, answer chestnutroad.Answer,
) *progress {
	return &progress{
		answer:   answer,
		sent:     call.ResumeAt,
		reported: call.ResumeAt,
		onTokens: func(sent chestnutroad.Tokens) {
			sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action {
				owner.Progress(now, request.ID, sent)
				return nil
			})
		},
	}
}

// attemptCall returns a copy of the call with its attempt number and the token at which to resume.
func attemptCall(call *chestnutroad.Call, attempt int, pg *progress) *chestnutroad.Call {
	next := *call
	next.Attempt = call.Attempt + attempt
	next.ResumeAt = pg.sent
	return &next
}

// attempt sends the call to one target. It returns true when the owner decides about the request again.
func (sh *ownedShard) attempt(
	ctx context.Context, mailbox *mailbox, request *chestnutroad.Request, call *chestnutroad.Call,
	pg *progress, id chestnutroad.TargetID,
) (bool, error) {
	client, found := sh.targetClient(id)
	if !found {
		return sh.reportFailure(request.ID, pool.FailureNotRun), nil
	}
	sh.record(timeline.Event{Type: placementEvent(call, pg), Request: request.ID, Target: id, Shard: sh.id.String()})
	inner, cancel := mailbox.attemptContext(ctx)
	defer cancel(nil)
	err := sh.send(inner, client, request, call, pg)
	switch {
	case err == nil:
		sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action { return owner.Finish(now, request.ID) })
		return false, nil
	case ctx.Err() != nil:
		return false, err
	case errors.Is(context.Cause(inner), errMoved):
		return true, nil
	case mayRetry(request, pg, err):
		return sh.reportFailure(request.ID, failureKind(err)), nil
	default:
		sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action {
			return owner.Fail(now, request.ID, failureKind(err))
		})
		return false, err
	}
}

// placementEvent returns Resumed for an attempt that continues an answer, Placed for any other.
func placementEvent(call *chestnutroad.Call, pg *progress) timeline.Type {
	if call.ResumeAt > 0 || pg.headSent {
		return timeline.Resumed
	}
	return timeline.Placed
}

// send runs the call on the target, through the order log if it may run at most once.
func (sh *ownedShard) send(
	ctx context.Context, client chestnutroad.Target, request *chestnutroad.Request, call *chestnutroad.Call, pg *progress,
) error {
	if request.Repeat == chestnutroad.RepeatAllowed {
		return client.Do(ctx, call, pg)
	}
	return sh.orders.Run(ctx, request, call, pg, func(ctx context.Context, answer chestnutroad.Answer) error {
		return client.Do(ctx, call, answer)
	})
}

// reportFailure reports the failed attempt to the owner, which then decides about the request again. It returns true.
func (sh *ownedShard) reportFailure(id chestnutroad.RequestID, kind pool.FailureKind) bool {
	sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action { return owner.Fail(now, id, kind) })
	return true
}

// targetClient returns the client of the target, and whether the shard has the target.
func (sh *ownedShard) targetClient(id chestnutroad.TargetID) (chestnutroad.Target, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	link := sh.links[id]
	if link == nil {
		return nil, false
	}
	return link.client, true
}

// mayRetry reports whether the owner may choose another target after the failure: the target refused a repeatable
// request before it ran, or the answer can still be completed.
func mayRetry(request *chestnutroad.Request, pg *progress, err error) bool {
	refusal := chestnutroad.RefusalOf(err)
	if refusal.Kind == chestnutroad.TargetRefused && refusal.NotRun && request.Repeat == chestnutroad.RepeatAllowed {
		return true
	}
	return pg.retryable(request)
}

// failureKind classifies the failure of an attempt for the owner.
func failureKind(err error) pool.FailureKind {
	refusal := chestnutroad.RefusalOf(err)
	switch {
	case refusal.NotRun:
		return pool.FailureNotRun
	case refusal.Kind == chestnutroad.BadAnswer:
		return pool.FailureBadAnswer
	default:
		return pool.FailureBroken
	}
}

// setChatHeader sets the header from which an engine finds the cached context of the call's chat.
func setChatHeader(request *chestnutroad.Request, call *chestnutroad.Call) {
	if isChat(request) {
		call.Header.Set(target.HeaderChat, request.Chat.String())
	}
}
