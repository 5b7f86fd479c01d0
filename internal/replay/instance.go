package replay

import (
	"cmp"
	"slices"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// instance is a running policy: the owner of a shard, the router of an entry host, or the single router of a pool.
type instance struct {
	si         *simulation
	policy     pool.Policy
	owner      *pool.Owner // nil unless the policy is a pool.Owner
	service    settings.Service
	shard      chestnutroad.ShardID
	host       *host // nil for the single router of a pool
	dataCentre chestnutroad.DataCentreID
	live       bool
	// lastSummary is the load summary that was sent last.
	lastSummary pool.Summary
	routes      map[chestnutroad.RequestID]*route
}

// route is one submission of a call to an instance, through all targets that the policy tries. Each of them gets an
// attempt.
type route struct {
	call     *call
	number   int
	instance *instance
	id       chestnutroad.RequestID
	attempt  *attempt
	sent     chestnutroad.Tokens
	// claimed is true once the order machine has let the order run.
	claimed bool
	// abandoned is true once the entry host no longer waits for the answer.
	abandoned bool
}

func (si *simulation) newInstance(service settings.Service, policy pool.Policy, ho *host) *instance {
	in := &instance{
		si: si, policy: policy, service: service, host: ho, live: true, routes: map[chestnutroad.RequestID]*route{},
	}
	if ho != nil {
		in.dataCentre = ho.DataCentre
	}
	in.owner, _ = policy.(*pool.Owner)
	return in
}

// submit passes the request to the policy under the ID of a new route.
func (in *instance) submit(ca *call, number int) {
	rt := &route{call: ca, number: number, instance: in, id: ca.routeID(number), sent: ca.sent}
	in.routes[rt.id] = rt
	ca.route = rt
	req := ca.req
	req.ID = rt.id
	opts := []pool.SubmitOption{pool.Redirected(ca.redirects)}
	if rt.sent > 0 {
		opts = append(opts, pool.Resumed(rt.sent))
	}
	in.apply(in.policy.Submit(in.si.time(), req, opts...))
}

// apply executes the policy's actions, unless the instance has stopped.
func (in *instance) apply(actions []pool.Action) {
	if !in.live {
		return
	}
	for _, action := range actions {
		rt := in.routes[action.Request]
		if rt == nil {
			continue
		}
		switch action.Type {
		case pool.ActionStart:
			in.start(rt, action.Target)
		case pool.ActionMove:
			in.si.measures.moves++
			in.cancelAttempt(rt)
			in.start(rt, action.Target)
		case pool.ActionRedirect:
			in.redirect(rt, action.Shard)
		case pool.ActionRefuse:
			in.refuse(rt, action.Refusal)
		}
	}
}

// start runs the request on the target, or submits it to the order machine if it needs a claim first.
func (in *instance) start(rt *route, id chestnutroad.TargetID) {
	rt.attempt = &attempt{
		call: rt.call, instance: in, id: rt.id, target: in.si.targets[id], sent: rt.sent, resumed: rt.sent > 0,
	}
	if in.usesOrderLog(rt) && !rt.claimed {
		in.host.submitOrder(rt)
		return
	}
	in.dispatch(rt.attempt)
}

// usesOrderLog reports whether the request must not run without a claim in the order log.
func (in *instance) usesOrderLog(rt *route) bool {
	return in.owner != nil && rt.call.req.Repeat == chestnutroad.RepeatNever
}

// dispatch sends the attempt to its target.
func (in *instance) dispatch(at *attempt) {
	if !in.si.send(in.dataCentre, at.target.DataCentre, func() { at.target.accept(at) }) {
		in.si.queue.after(dialTimeout, func() { in.attemptFailed(at, pool.FailureNotRun) })
	}
}

func (in *instance) progress(at *attempt) {
	if rt := in.routes[at.id]; rt != nil && rt.attempt == at {
		rt.sent = at.sent
		in.policy.Progress(in.si.time(), at.id, at.sent)
	}
}

// attemptFinished processes a complete answer from the target.
func (in *instance) attemptFinished(at *attempt) {
	rt := in.routes[at.id]
	if !in.live || rt == nil || rt.attempt != at {
		return
	}
	delete(in.routes, rt.id)
	actions := in.policy.Finish(in.si.time(), rt.id)
	if rt.claimed {
		in.host.orderDone(rt)
	} else {
		in.reply(rt, func(ca *call) { ca.finish("") })
	}
	in.apply(actions)
}

// attemptFailed reports a failed attempt to the policy.
func (in *instance) attemptFailed(at *attempt, kind pool.FailureKind) {
	at.ended = true
	rt := in.routes[at.id]
	if !in.live || rt == nil || rt.attempt != at {
		return
	}
	in.apply(in.policy.Fail(in.si.time(), rt.id, kind))
}

func (in *instance) refuse(rt *route, refusal *chestnutroad.Refusal) {
	delete(in.routes, rt.id)
	if rt.claimed {
		in.host.orderRefused(rt, refusal)
		return
	}
	in.replyRefusal(rt, refusal)
}

func (in *instance) replyRefusal(rt *route, refusal *chestnutroad.Refusal) {
	in.reply(rt, func(ca *call) { ca.handleRefusal(in.shard, refusal) })
}

func (in *instance) redirect(rt *route, shard chestnutroad.ShardID) {
	delete(in.routes, rt.id)
	in.si.measures.redirects++
	if rt.call.entry != in.host {
		in.host.control.add(in.si.queue.now, redirectBytes(shard))
		rt.call.entry.control.add(in.si.queue.now, forwardBytes(&rt.call.req, rt.id))
	}
	in.reply(rt, func(ca *call) { ca.handleRedirect(shard) })
}

// reply runs fn when the answer arrives at the entry host, unless the call has ended or started another route by then.
func (in *instance) reply(rt *route, fn func(*call)) {
	if rt.abandoned {
		return
	}
	in.si.send(in.dataCentre, rt.call.entry.DataCentre, func() {
		if rt.call.done || rt.call.routeNumber != rt.number {
			return
		}
		fn(rt.call)
	})
}

// cancelAttempt cancels the route's attempt at its target, or before it arrives there.
func (in *instance) cancelAttempt(rt *route) {
	at := rt.attempt
	if at == nil || at.ended {
		return
	}
	if !at.target.holds(at) {
		at.ended = true // in transit to the target
		return
	}
	at.target.cancel(at)
}

// withdraw ends a request whose entry host failed, was cut off or no longer waits for the answer. An order with a claim
// continues to run.
func (in *instance) withdraw(rt *route) {
	if in.routes[rt.id] != rt {
		return
	}
	rt.abandoned = true
	if in.usesOrderLog(rt) && rt.attempt != nil {
		in.host.cancelOrder(rt)
		if rt.claimed {
			return
		}
	}
	delete(in.routes, rt.id)
	in.cancelAttempt(rt)
	in.apply(in.policy.Cancel(in.si.time(), rt.id))
}

// sortedRoutes returns the routes in the order of their calls' arrival and of their numbers, because map order would make
// the replay random.
func (in *instance) sortedRoutes() []*route {
	routes := make([]*route, 0, len(in.routes))
	for _, rt := range in.routes {
		routes = append(routes, rt)
	}
	slices.SortFunc(routes, func(a, b *route) int {
		return cmp.Or(cmp.Compare(a.call.index, b.call.index), cmp.Compare(a.number, b.number))
	})
	return routes
}

// stop ends the instance together with its host, which breaks its connections to targets and entry hosts.
func (in *instance) stop() {
	in.live = false
	for _, rt := range in.sortedRoutes() {
		in.cancelAttempt(rt)
		rt.call.handleBrokenStream(rt)
	}
}
