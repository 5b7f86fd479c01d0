package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/pool/baseline"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

const (
	// ownerSearchInterval and ownerSearchLimit are those of the entry host in internal/host, which looks for a shard's
	// owner at this interval and gives up after the limit.
	ownerSearchInterval = 50 * time.Millisecond
	ownerSearchLimit    = 8 * time.Second
	// reconnectDelay is the time after which a caller whose entry host failed connects to another host.
	reconnectDelay = time.Second
)

// call is a caller's request from its arrival to its final answer, through all routes and redirects.
type call struct {
	si        *simulation
	index     int
	traceReq  *trace.Request
	req       chestnutroad.Request
	priority  chestnutroad.Priority
	arrivedAt time.Duration
	entry     *host
	// routeNumber is the number of the latest route. A message about a route with another number is out of date.
	routeNumber int
	redirects   int
	resumes     int
	// redirectShard is the shard of a pending redirect, or zero.
	redirectShard chestnutroad.ShardID
	// triedShards has the shards that have refused the request without running it since the caller last connected.
	triedShards map[chestnutroad.ShardID]bool
	// searchStarted is when the caller last connected or its stream last broke; ownerSearchLimit counts from it.
	searchStarted time.Duration
	route         *route
	sent          chestnutroad.Tokens
	done          bool
	// kind is the kind of the final refusal; it is empty while the call is open and after a success.
	kind chestnutroad.Kind
	// started is true once a target has started any attempt of the call. startedSinceConnect ignores attempts from
	// before the caller last connected.
	started             bool
	startedSinceConnect bool
	lastTokenAt         time.Duration
}

func (si *simulation) newCall(rq *trace.Request, index int) *call {
	priority, _ := chestnutroad.ParsePriority(rq.Priority)
	repeat := chestnutroad.RepeatAllowed
	if rq.Key != "" {
		repeat = chestnutroad.RepeatNever
	}
	service := si.services[rq.Service]
	ca := &call{si: si, index: index, traceReq: rq, priority: priority, arrivedAt: si.queue.now}
	ca.req = chestnutroad.Request{
		ID: rq.ID, Team: rq.Team, Service: rq.Service, Chat: rq.Chat, Priority: priority, Repeat: repeat, Key: rq.Key,
		Prompt: rq.Prompt, MaxOutput: rq.MaxOutput, Arrived: si.time(), Deadline: si.time().Add(service.Deadline),
	}
	return ca
}

// begin counts the call, starts its deadline and connects the caller to the entry host that the trace names.
func (ca *call) begin() {
	ca.si.measures.callArrived(ca)
	ca.si.queue.after(ca.req.Deadline.Sub(ca.req.Arrived), ca.expire)
	ca.connect(ca.si.hosts[ca.traceReq.Host])
}

// connect makes the host the entry of the call, or a random host if that one is missing, down or leaving, and starts a
// route there.
func (ca *call) connect(ho *host) {
	if ho == nil || !ho.alive || ho.leaving {
		ho = ca.si.randomHost()
	}
	ca.entry = ho
	ca.redirects = 0
	ca.redirectShard = chestnutroad.ShardID{}
	ca.triedShards = nil
	ca.searchStarted = ca.si.queue.now
	ho.budget.AddRequest(ca.si.time())
	ca.startRoute()
}

func (ca *call) routeID(number int) chestnutroad.RequestID {
	return chestnutroad.RequestID(fmt.Sprintf("%s~%d", ca.traceReq.ID, number))
}

// startRoute submits the request to the instance that the policy's scope assigns to it, under a new route number.
func (ca *call) startRoute() {
	ca.routeNumber++
	ca.route = nil
	switch ca.si.policyEntry.Scope {
	case baseline.ScopeHost:
		ca.entry.instances[ca.traceReq.Service].submit(ca, ca.routeNumber)
	case baseline.ScopePool:
		ca.si.poolRouters[ca.traceReq.Service].submit(ca, ca.routeNumber)
	case baseline.ScopeShard:
		ca.sendToShard()
	}
}

// sendToShard sends the request to the owner of the first shard in ranked order that has not refused it.
func (ca *call) sendToShard() {
	shard, found := ca.nextShard()
	if !found {
		ca.finish(chestnutroad.NoTarget)
		return
	}
	owner := ca.entry.ownerOf(shard)
	if owner == nil {
		ca.waitForOwner()
		return
	}
	number := ca.routeNumber
	arrived := func() { owner.serve(shard, ca, number) }
	if owner == ca.entry {
		arrived()
		return
	}
	if !owner.alive || !ca.si.send(ca.entry.DataCentre, owner.DataCentre, arrived) {
		ca.awaitDialTimeout(number)
	}
}

// awaitDialTimeout looks for the shard's owner again after the connection to the current owner has timed out.
func (ca *call) awaitDialTimeout(number int) {
	ca.si.queue.after(dialTimeout, func() {
		if !ca.done && ca.routeNumber == number {
			ca.waitForOwner()
		}
	})
}

// serve submits a forwarded request to this host's instance of the shard. A host that doesn't own the shard tells the
// entry host so, which then looks for the owner again.
func (ho *host) serve(shard chestnutroad.ShardID, ca *call, number int) {
	if ca.done || ca.routeNumber != number {
		return
	}
	if !ho.alive {
		ca.awaitDialTimeout(number)
		return
	}
	if in := ho.owned[shard]; in != nil {
		in.submit(ca, number)
		return
	}
	ho.si.send(ho.DataCentre, ca.entry.DataCentre, func() {
		if !ca.done && ca.routeNumber == number {
			ca.waitForOwner()
		}
	})
}

// nextShard returns the shard of a pending redirect, or else the first in ranked order that has not refused the request.
func (ca *call) nextShard() (chestnutroad.ShardID, bool) {
	if ca.redirectShard != (chestnutroad.ShardID{}) {
		shard := ca.redirectShard
		ca.redirectShard = chestnutroad.ShardID{}
		return shard, true
	}
	for _, shard := range ca.rankedShards() {
		if !ca.triedShards[shard] {
			return shard, true
		}
	}
	return chestnutroad.ShardID{}, false
}

// rankedShards orders the service's shards as internal/host does: in rendezvous order for a chat; otherwise in rendezvous
// order for the request ID, except that the shard in the entry host's data centre comes first.
func (ca *call) rankedShards() []chestnutroad.ShardID {
	candidates := ca.si.candidates[ca.traceReq.Service]
	if ca.traceReq.Chat != 0 {
		return pool.RankShards(ca.traceReq.Chat, candidates)
	}
	ranked := pool.RankShards(hashOf(ca.traceReq.ID), candidates)
	for index, shard := range ranked {
		if shard.DataCentre == ca.entry.DataCentre {
			copy(ranked[1:index+1], ranked[:index])
			ranked[0] = shard
			break
		}
	}
	return ranked
}

// waitForOwner starts another route after ownerSearchInterval, or fails the call after ownerSearchLimit, which is longer
// than a takeover.
func (ca *call) waitForOwner() {
	if ca.si.queue.now-ca.searchStarted > ownerSearchLimit {
		ca.finish(chestnutroad.NoTarget)
		return
	}
	number := ca.routeNumber
	ca.si.queue.after(ownerSearchInterval, func() {
		if !ca.done && ca.routeNumber == number {
			ca.startRoute()
		}
	})
}

// handleRedirect sends the request to the shard, unless it has followed RedirectLimit redirects since the caller connected.
func (ca *call) handleRedirect(shard chestnutroad.ShardID) {
	ca.redirects++
	if ca.redirects > ca.si.effective.Fleet.RedirectLimit {
		ca.finish(chestnutroad.Overloaded)
		return
	}
	ca.redirectShard = shard
	ca.startRoute()
}

// handleRefusal either starts another route, under the rules of internal/host, or ends the call with the refusal.
func (ca *call) handleRefusal(shard chestnutroad.ShardID, refusal *chestnutroad.Refusal) {
	ca.si.measures.checkRefusal(ca, refusal)
	if ca.si.policyEntry.Scope != baseline.ScopeShard {
		ca.finish(refusal.Kind)
		return
	}
	now := ca.si.time()
	switch {
	case refusal.Kind == chestnutroad.NotReady && refusal.NotRun && strings.Contains(refusal.Message, "new owner"):
		ca.waitForOwner()
	case refusal.NotRun && refusal.Kind.Answer().Elsewhere &&
		(refusal.Kind != chestnutroad.TargetRefused || ca.entry.budget.TakeRetry(now)):
		if ca.triedShards == nil {
			ca.triedShards = map[chestnutroad.ShardID]bool{}
		}
		ca.triedShards[shard] = true
		ca.startRoute()
	case ca.resumable(refusal) && ca.takeResume(now):
		ca.waitForOwner()
	default:
		ca.finish(refusal.Kind)
	}
}

// takeResume reports whether the call may be resumed. As in internal/host, the first resume of a call is free and each
// further one takes a retry from the host's budget.
func (ca *call) takeResume(now time.Time) bool {
	ca.resumes++
	return ca.resumes == 1 || ca.entry.budget.TakeRetry(now)
}

// resumable reports whether another owner may continue the answer after the refusal.
func (ca *call) resumable(refusal *chestnutroad.Refusal) bool {
	interrupted := refusal.Kind == chestnutroad.StreamBroken || refusal.Kind == chestnutroad.NotReady
	return interrupted && ca.req.Repeat == chestnutroad.RepeatAllowed
}

// recordToken records a token that the current attempt generated. Tokens of other attempts are ignored.
func (ca *call) recordToken(at *attempt) {
	if ca.done || ca.route == nil || ca.route.attempt != at {
		return
	}
	delay := ca.si.net.latency(at.target.DataCentre, at.instance.dataCentre) +
		ca.si.net.latency(at.instance.dataCentre, ca.entry.DataCentre)
	ca.si.measures.tokenArrived(ca, ca.si.queue.now+delay)
	ca.sent = at.sent
}

// handleBrokenStream treats the stream from the owner as broken once the entry host's keep-alive has timed out.
func (ca *call) handleBrokenStream(rt *route) {
	if ca.done || ca.routeNumber != rt.number {
		return
	}
	if rt.instance.host == ca.entry {
		return // the entry host itself failed, so the caller reconnects
	}
	ca.route = nil
	fleet := ca.si.effective.Fleet
	ca.si.queue.after(fleet.KeepAlive+fleet.PingTimeout, func() {
		if ca.done || ca.routeNumber != rt.number {
			return
		}
		refusal := chestnutroad.Refuse(chestnutroad.StreamBroken, "the stream to the owner broke")
		if ca.req.Repeat == chestnutroad.RepeatNever {
			refusal = chestnutroad.Refuse(chestnutroad.OutcomeUnknown, "the stream to the owner broke")
		}
		ca.searchStarted = ca.si.queue.now
		ca.handleRefusal(rt.instance.shard, refusal)
	})
}

// reconnect connects the caller to another host after its entry host failed; the answer starts from its first token.
func (ca *call) reconnect() {
	if ca.done {
		return
	}
	ca.withdrawRoute()
	ca.routeNumber++
	ca.sent = 0
	ca.startedSinceConnect = false
	ca.lastTokenAt = 0
	ca.si.measures.reconnects++
	ca.si.queue.after(reconnectDelay, func() {
		if !ca.done {
			ca.connect(nil)
		}
	})
}

// withdrawRoute withdraws the current route from its instance, which learns of it after the network latency.
func (ca *call) withdrawRoute() {
	rt := ca.route
	ca.route = nil
	if rt == nil || !rt.instance.live {
		return
	}
	rt.abandoned = true
	from := rt.call.entry.DataCentre
	ca.si.queue.after(ca.si.net.latency(from, rt.instance.dataCentre), func() {
		if rt.instance.live {
			rt.instance.withdraw(rt)
		}
	})
}

func (ca *call) expire() {
	if ca.done {
		return
	}
	ca.withdrawRoute()
	ca.finish(chestnutroad.DeadlineExceeded)
}

// finish records the call's final answer; an empty kind means success. Later answers are ignored.
func (ca *call) finish(kind chestnutroad.Kind) {
	if ca.done {
		return
	}
	ca.done = true
	ca.kind = kind
	ca.si.measures.callFinished(ca)
	delete(ca.si.openCalls, ca.index)
}
