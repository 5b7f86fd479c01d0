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
	// reconnectTime is the time after which a caller whose entry host failed comes back through another one.
	reconnectTime = time.Second
)

// call is one request of a caller at its entry host, through all attempts.
type call struct {
	si        *simulation
	index     int
	rq        *trace.Request
	req       chestnutroad.Request
	priority  chestnutroad.Priority
	arrived   time.Duration
	entry     *host
	number    int
	redirects int
	resumes   int
	directed  chestnutroad.ShardID
	tried     map[chestnutroad.ShardID]bool
	searching time.Duration
	route     *route
	sent      chestnutroad.Tokens
	done      bool
	kind      chestnutroad.Kind
	// started is true once any target has begun with the request, began since the caller last connected.
	started   bool
	began     bool
	lastToken time.Duration
}

func (si *simulation) newCall(rq *trace.Request, index int) *call {
	priority, _ := chestnutroad.ParsePriority(rq.Priority)
	repeat := chestnutroad.RepeatAllowed
	if rq.Key != "" {
		repeat = chestnutroad.RepeatNever
	}
	service := si.services[rq.Service]
	ca := &call{si: si, index: index, rq: rq, priority: priority, arrived: si.queue.now}
	ca.req = chestnutroad.Request{
		ID: rq.ID, Team: rq.Team, Service: rq.Service, Chat: rq.Chat, Priority: priority, Repeat: repeat, Key: rq.Key,
		Prompt: rq.Prompt, MaxOutput: rq.MaxOutput, Arrived: si.time(), Deadline: si.time().Add(service.Deadline),
	}
	return ca
}

// begin lets the request arrive at its entry host, or at another one if that has gone.
func (ca *call) begin() {
	ca.si.measure.arrived(ca)
	ca.si.queue.after(ca.req.Deadline.Sub(ca.req.Arrived), ca.expire)
	ca.enter(ca.si.hosts[ca.rq.Host])
}

func (ca *call) enter(ho *host) {
	if ho == nil || !ho.alive || ho.leaving {
		ho = ca.si.anyHost()
	}
	ca.entry = ho
	ca.redirects = 0
	ca.directed = chestnutroad.ShardID{}
	ca.tried = nil
	ca.searching = ca.si.queue.now
	ho.budget.AddRequest(ca.si.time())
	ca.next()
}

func (ca *call) attemptID(number int) chestnutroad.RequestID {
	return chestnutroad.RequestID(fmt.Sprintf("%s~%d", ca.rq.ID, number))
}

// next makes one more attempt.
func (ca *call) next() {
	ca.number++
	ca.route = nil
	switch ca.si.entry.Scope {
	case baseline.ScopeHost:
		ca.entry.instances[ca.rq.Service].submit(ca, ca.number)
	case baseline.ScopePool:
		ca.si.single[ca.rq.Service].submit(ca, ca.number)
	case baseline.ScopeShard:
		ca.toShard()
	}
}

// toShard sends the request to the owner of the best shard that was not tried.
func (ca *call) toShard() {
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
	number := ca.number
	arrived := func() { owner.serve(shard, ca, number) }
	if owner == ca.entry {
		arrived()
		return
	}
	if !owner.alive || !ca.si.send(ca.entry.DataCentre, owner.DataCentre, arrived) {
		ca.unreachable(number)
	}
}

// unreachable lets the attempt to connect to the owner time out; a host that can't be reached counts as no owner.
func (ca *call) unreachable(number int) {
	ca.si.queue.after(dialTimeout, func() {
		if !ca.done && ca.number == number {
			ca.waitForOwner()
		}
	})
}

// serve takes a request for a shard that this host owns, as far as the entry knows.
func (ho *host) serve(shard chestnutroad.ShardID, ca *call, number int) {
	if ca.done || ca.number != number {
		return
	}
	if !ho.alive {
		ca.unreachable(number)
		return
	}
	if in := ho.owned[shard]; in != nil {
		in.submit(ca, number)
		return
	}
	ho.si.send(ho.DataCentre, ca.entry.DataCentre, func() {
		if !ca.done && ca.number == number {
			ca.waitForOwner()
		}
	})
}

func (ca *call) nextShard() (chestnutroad.ShardID, bool) {
	if ca.directed != (chestnutroad.ShardID{}) {
		shard := ca.directed
		ca.directed = chestnutroad.ShardID{}
		return shard, true
	}
	for _, shard := range ca.ranked() {
		if !ca.tried[shard] {
			return shard, true
		}
	}
	return chestnutroad.ShardID{}, false
}

// ranked orders the shards as internal/host does: for a chat by its rendezvous order, otherwise the entry's own data
// centre first.
func (ca *call) ranked() []chestnutroad.ShardID {
	candidates := ca.si.candidates[ca.rq.Service]
	if ca.rq.Chat != 0 {
		return pool.RankShards(ca.rq.Chat, candidates)
	}
	ranked := pool.RankShards(hashOf(ca.rq.ID), candidates)
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
	if ca.si.queue.now-ca.searching > ownerSearchLimit {
		ca.finish(chestnutroad.NoTarget)
		return
	}
	number := ca.number
	ca.si.queue.after(ownerSearchInterval, func() {
		if !ca.done && ca.number == number {
			ca.next()
		}
	})
}

func (ca *call) redirected(shard chestnutroad.ShardID) {
	ca.redirects++
	if ca.redirects > ca.si.effective.Fleet.RedirectLimit {
		ca.finish(chestnutroad.Overloaded)
		return
	}
	ca.directed = shard
	ca.next()
}

// refused decides, as internal/host does, whether another attempt follows.
func (ca *call) refused(shard chestnutroad.ShardID, refusal *chestnutroad.Refusal) {
	ca.si.measure.checkRefusal(ca, refusal)
	if ca.si.entry.Scope != baseline.ScopeShard {
		ca.finish(refusal.Kind)
		return
	}
	now := ca.si.time()
	switch {
	case refusal.Kind == chestnutroad.NotReady && refusal.NotRun && strings.Contains(refusal.Message, "new owner"):
		ca.waitForOwner()
	case refusal.NotRun && refusal.Kind.Answer().Elsewhere &&
		(refusal.Kind != chestnutroad.TargetRefused || ca.entry.budget.TakeRetry(now)):
		if ca.tried == nil {
			ca.tried = map[chestnutroad.ShardID]bool{}
		}
		ca.tried[shard] = true
		ca.next()
	case ca.resumable(refusal) && ca.mayResume(now):
		ca.waitForOwner()
	default:
		ca.finish(refusal.Kind)
	}
}

// mayResume allows one resume of each request for free, as internal/host does.
func (ca *call) mayResume(now time.Time) bool {
	ca.resumes++
	return ca.resumes == 1 || ca.entry.budget.TakeRetry(now)
}

func (ca *call) resumable(refusal *chestnutroad.Refusal) bool {
	broken := refusal.Kind == chestnutroad.StreamBroken || refusal.Kind == chestnutroad.NotReady
	return broken && ca.req.Repeat == chestnutroad.RepeatAllowed
}

// token notes a generated token of the present attempt.
func (ca *call) token(at *attempt) {
	if ca.done || ca.route == nil || ca.route.attempt != at {
		return
	}
	way := ca.si.net.latency(at.target.DataCentre, at.instance.centre) + ca.si.net.latency(at.instance.centre, ca.entry.DataCentre)
	ca.si.measure.token(ca, ca.si.queue.now+way)
	ca.sent = at.sent
}

// broken lets the entry notice, after the time that its keepalive takes, that the stream from the owner is dead.
func (ca *call) broken(rt *route) {
	if ca.done || ca.number != rt.number {
		return
	}
	if rt.instance.host == ca.entry {
		return // the caller's own connection broke too
	}
	ca.route = nil
	fleet := ca.si.effective.Fleet
	ca.si.queue.after(fleet.KeepAlive+fleet.PingTimeout, func() {
		if ca.done || ca.number != rt.number {
			return
		}
		refusal := chestnutroad.Refuse(chestnutroad.StreamBroken, "the stream to the owner broke")
		if ca.req.Repeat == chestnutroad.RepeatNever {
			refusal = chestnutroad.Refuse(chestnutroad.OutcomeUnknown, "the stream to the owner broke")
		}
		ca.searching = ca.si.queue.now
		ca.refused(rt.instance.shard, refusal)
	})
}

// reenter brings the caller back through another host after its entry host failed; its answer starts anew.
func (ca *call) reenter() {
	if ca.done {
		return
	}
	ca.leave()
	ca.number++
	ca.sent = 0
	ca.began = false
	ca.lastToken = 0
	ca.si.measure.reentries++
	ca.si.queue.after(reconnectTime, func() {
		if !ca.done {
			ca.enter(nil)
		}
	})
}

// leave withdraws the present attempt from the instance that runs it.
func (ca *call) leave() {
	rt := ca.route
	ca.route = nil
	if rt == nil || !rt.instance.live {
		return
	}
	rt.abandoned = true
	from := rt.call.entry.DataCentre
	ca.si.queue.after(ca.si.net.latency(from, rt.instance.centre), func() {
		if rt.instance.live {
			rt.instance.withdraw(rt)
		}
	})
}

func (ca *call) expire() {
	if ca.done {
		return
	}
	ca.leave()
	ca.finish(chestnutroad.DeadlineExceeded)
}

// finish gives the caller its only final answer; an empty kind is success.
func (ca *call) finish(kind chestnutroad.Kind) {
	if ca.done {
		return
	}
	ca.done = true
	ca.kind = kind
	ca.si.measure.finished(ca)
	delete(ca.si.open, ca.index)
}
