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

// The entry host's behaviour, as in internal/host: how it searches for a shard's owner.
const (
	ownerSearchInterval = 50 * time.Millisecond
	ownerSearchLimit    = 8 * time.Second
	// reconnectDelay is the time after which a caller whose entry host failed comes back through another one.
	reconnectDelay = time.Second
)

// call is one request of a caller at its entry host, through all attempts.
type call struct {
	si        *simulation
	index     int
	traceReq        *trace.Request
	req       chestnutroad.Request
	priority  chestnutroad.Priority
	arrivedAt   time.Duration
	entry     *host
	attemptNumber    int
	redirects int
	resumes   int
	redirectShard  chestnutroad.ShardID
	triedShards     map[chestnutroad.ShardID]bool
	searchStarted time.Duration
	route     *route
	sent      chestnutroad.Tokens
	done      bool
	kind      chestnutroad.Kind
	// started is true once any target has begun with the request, began since the caller last connected.
	started   bool
	startedSinceConnect     bool
	lastTokenAt time.Duration
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

// begin lets the request arrive at its entry host, or at another one if that has gone.
func (ca *call) begin() {
	ca.si.measures.callArrived(ca)
	ca.si.queue.after(ca.req.Deadline.Sub(ca.req.Arrived), ca.expire)
	ca.connect(ca.si.hosts[ca.traceReq.Host])
}

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
	ca.nextAttempt()
}

func (ca *call) attemptID(number int) chestnutroad.RequestID {
	return chestnutroad.RequestID(fmt.Sprintf("%s~%d", ca.traceReq.ID, number))
}

// nextAttempt makes one more attempt.
func (ca *call) nextAttempt() {
	ca.attemptNumber++
	ca.route = nil
	switch ca.si.policyEntry.Scope {
	case baseline.ScopeHost:
		ca.entry.instances[ca.traceReq.Service].submit(ca, ca.attemptNumber)
	case baseline.ScopePool:
		ca.si.poolRouters[ca.traceReq.Service].submit(ca, ca.attemptNumber)
	case baseline.ScopeShard:
		ca.sendToShard()
	}
}

// sendToShard sends the request to the owner of the best shard that was not tried.
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
	number := ca.attemptNumber
	arrived := func() { owner.serve(shard, ca, number) }
	if owner == ca.entry {
		arrived()
		return
	}
	if !owner.alive || !ca.si.send(ca.entry.DataCentre, owner.DataCentre, arrived) {
		ca.awaitDialTimeout(number)
	}
}

// awaitDialTimeout lets the attempt to connect to the owner time out; a host that can't be reached counts as no owner.
func (ca *call) awaitDialTimeout(number int) {
	ca.si.queue.after(dialTimeout, func() {
		if !ca.done && ca.attemptNumber == number {
			ca.waitForOwner()
		}
	})
}

// serve takes a request for a shard that this host owns, as far as the entry knows.
func (ho *host) serve(shard chestnutroad.ShardID, ca *call, number int) {
	if ca.done || ca.attemptNumber != number {
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
		if !ca.done && ca.attemptNumber == number {
			ca.waitForOwner()
		}
	})
}

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

// rankedShards orders the shards as internal/host does: for a chat by its rendezvous order, otherwise the entry's own data
// centre first.
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

// waitForOwner asks again after a pause, for as long as a takeover may last.
func (ca *call) waitForOwner() {
	if ca.si.queue.now-ca.searchStarted > ownerSearchLimit {
		ca.finish(chestnutroad.NoTarget)
		return
	}
	number := ca.attemptNumber
	ca.si.queue.after(ownerSearchInterval, func() {
		if !ca.done && ca.attemptNumber == number {
			ca.nextAttempt()
		}
	})
}

func (ca *call) handleRedirect(shard chestnutroad.ShardID) {
	ca.redirects++
	if ca.redirects > ca.si.effective.Fleet.RedirectLimit {
		ca.finish(chestnutroad.Overloaded)
		return
	}
	ca.redirectShard = shard
	ca.nextAttempt()
}

// handleRefusal decides, as internal/host does, whether another attempt follows.
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
		ca.nextAttempt()
	case ca.resumable(refusal) && ca.takeResume(now):
		ca.waitForOwner()
	default:
		ca.finish(refusal.Kind)
	}
}

// takeResume allows one resume of each request for free, as internal/host does.
func (ca *call) takeResume(now time.Time) bool {
	ca.resumes++
	return ca.resumes == 1 || ca.entry.budget.TakeRetry(now)
}

func (ca *call) resumable(refusal *chestnutroad.Refusal) bool {
	broken := refusal.Kind == chestnutroad.StreamBroken || refusal.Kind == chestnutroad.NotReady
	return broken && ca.req.Repeat == chestnutroad.RepeatAllowed
}

// recordToken notes a generated recordToken of the present attempt.
func (ca *call) recordToken(at *attempt) {
	if ca.done || ca.route == nil || ca.route.attempt != at {
		return
	}
	way := ca.si.net.latency(at.target.DataCentre, at.instance.dataCentre) + ca.si.net.latency(at.instance.dataCentre, ca.entry.DataCentre)
	ca.si.measures.tokenArrived(ca, ca.si.queue.now+way)
	ca.sent = at.sent
}

// handleBrokenStream lets the entry notice, after the time that its keepalive takes, that the stream from the owner is dead.
func (ca *call) handleBrokenStream(rt *route) {
	if ca.done || ca.attemptNumber != rt.attemptNumber {
		return
	}
	if rt.instance.host == ca.entry {
		return // the caller's own connection broke too
	}
	ca.route = nil
	fleet := ca.si.effective.Fleet
	ca.si.queue.after(fleet.KeepAlive+fleet.PingTimeout, func() {
		if ca.done || ca.attemptNumber != rt.attemptNumber {
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

// reconnect brings the caller back through another host after its entry host failed; its answer starts anew.
func (ca *call) reconnect() {
	if ca.done {
		return
	}
	ca.withdrawAttempt()
	ca.attemptNumber++
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

// withdrawAttempt withdraws the present attempt from the instance that runs it.
func (ca *call) withdrawAttempt() {
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
	ca.withdrawAttempt()
	ca.finish(chestnutroad.DeadlineExceeded)
}

// finish gives the caller its only final answer; an empty kind is success.
func (ca *call) finish(kind chestnutroad.Kind) {
	if ca.done {
		return
	}
	ca.done = true
	ca.kind = kind
	ca.si.measures.callFinished(ca)
	delete(ca.si.openCalls, ca.index)
}
