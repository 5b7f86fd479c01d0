package replay

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// The times of the fake engine's steps. A step takes stepTime, plus timePerSequence for each sequence that generates a
// token and timePerPrefillToken for each prompt token, of which it processes at most prefillTokensPerStep. A prompt token
// costs a tenth of a generated one, as in the definition of work units.
const (
	stepTime             = 25 * time.Millisecond
	timePerSequence      = time.Millisecond
	timePerPrefillToken  = 100 * time.Microsecond
	prefillTokensPerStep = 512
)

// target is a fake engine or plain service.
type target struct {
	si *simulation
	trace.Target
	pool  *poolLoad
	slots int
	// up is false while the target is down or unreachable; removed is true once it has left or failed for good.
	up      bool
	removed bool
	leaving bool
	// listed and listedLeaving are the target's entry in the routers' copy of the platform's list.
	listed        bool
	listedLeaving bool

	incarnation   chestnutroad.Incarnation
	cache         *prefixCache // nil for a plain service
	running       []*attempt
	waiting       []*attempt
	stepScheduled bool
	cacheSequence uint64
	work          chestnutroad.WorkUnits
	// workAddedAt is the time at which the last attempt was accepted.
	workAddedAt time.Duration
}

// attempt is the execution of a request on a target; a route makes one after another.
type attempt struct {
	call     *call
	instance *instance
	id       chestnutroad.RequestID
	target   *target
	work     chestnutroad.WorkUnits
	cached   chestnutroad.Tokens
	prefill  chestnutroad.Tokens
	sent     chestnutroad.Tokens
	resumed  bool
	running  bool
	ended    bool
}

func (tg *target) isEngine() bool { return tg.cache != nil }

// accept queues an attempt that has arrived, and starts it if a slot is free.
func (tg *target) accept(at *attempt) {
	if at.ended {
		return
	}
	if !tg.up {
		at.fail(pool.FailureNotRun)
		return
	}
	rq := at.call.traceReq
	if tg.isEngine() {
		at.cached = min(tg.cache.get(rq.Chat), rq.Prompt+at.sent)
		at.prefill = rq.Prompt + at.sent - at.cached
	}
	at.work = chestnutroad.WorkOf(at.prefill, rq.MaxOutput-at.sent)
	tg.addWork(at.work)
	tg.workAddedAt = tg.si.queue.now
	tg.waiting = append(tg.waiting, at)
	// Targets run waiting attempts in order of priority, then of arrival.
	slices.SortStableFunc(tg.waiting, func(a, b *attempt) int {
		return int(a.call.priority) - int(b.call.priority)
	})
	tg.startWaiting()
}

func (tg *target) addWork(work chestnutroad.WorkUnits) {
	tg.work += work
	tg.pool.dirty = true
}

// startWaiting starts waiting attempts while slots are free.
func (tg *target) startWaiting() {
	for len(tg.waiting) > 0 && len(tg.running) < tg.slots {
		at := tg.waiting[0]
		tg.waiting = tg.waiting[1:]
		tg.running = append(tg.running, at)
		at.running = true
		tg.si.measures.attemptStarted(at)
		if !tg.isEngine() {
			tg.si.queue.after(time.Duration(at.call.traceReq.ServiceMs)*time.Millisecond, at.finish)
		}
	}
	if tg.isEngine() && !tg.stepScheduled && len(tg.running) > 0 {
		tg.step()
	}
}

// step runs one step of continuous batching over the running attempts.
func (tg *target) step() {
	tg.stepScheduled = true
	var generating []*attempt
	var prefilling []*attempt
	budget := chestnutroad.Tokens(prefillTokensPerStep)
	chunks := make([]chestnutroad.Tokens, 0, len(tg.running))
	for _, at := range tg.running {
		if at.prefill == 0 {
			generating = append(generating, at)
			continue
		}
		if budget == 0 {
			continue
		}
		chunk := min(budget, at.prefill)
		budget -= chunk
		prefilling = append(prefilling, at)
		chunks = append(chunks, chunk)
	}
	duration := stepTime + time.Duration(len(generating))*timePerSequence +
		time.Duration(prefillTokensPerStep-budget)*timePerPrefillToken
	tg.si.queue.after(duration, func() {
		for index, at := range prefilling {
			at.prefill -= chunks[index]
		}
		tg.emitTokens(generating)
		tg.stepScheduled = false
		tg.startWaiting()
	})
}

// emitTokens adds a token to each attempt that is still running, and finishes those with a complete answer.
func (tg *target) emitTokens(generating []*attempt) {
	for _, at := range generating {
		if at.ended {
			continue
		}
		at.sent++
		at.call.recordToken(at)
		at.instance.progress(at)
		if at.sent >= at.call.traceReq.Output {
			at.finish()
		}
	}
}

// remove removes the attempt from the target. An engine caches the context that it has processed so far.
func (tg *target) remove(at *attempt) {
	if at.ended {
		return
	}
	at.ended = true
	same := func(other *attempt) bool { return other == at }
	tg.running = slices.DeleteFunc(tg.running, same)
	tg.waiting = slices.DeleteFunc(tg.waiting, same)
	tg.addWork(-at.work)
	if tg.isEngine() && at.running {
		tg.cacheContext(at.call.traceReq.Chat, at.call.traceReq.Prompt+at.sent-at.prefill)
	}
}

// cacheContext caches the chat's context and announces the change and the evictions.
func (tg *target) cacheContext(chat chestnutroad.ChatID, tokens chestnutroad.Tokens) {
	evicted := tg.cache.put(chat, tokens)
	tg.sendCacheEvent(chat, tokens)
	for _, other := range evicted {
		tg.sendCacheEvent(other, 0)
	}
}

// finish ends the attempt with a complete answer.
func (at *attempt) finish() {
	if at.ended {
		return
	}
	tg := at.target
	tg.remove(at)
	tg.si.send(tg.DataCentre, at.instance.dataCentre, func() { at.instance.attemptFinished(at) })
	tg.startWaiting()
}

// fail ends the attempt without an answer. The router learns of it after the network latency.
func (at *attempt) fail(kind pool.FailureKind) {
	at.ended = true
	si := at.target.si
	si.queue.after(si.net.latency(at.target.DataCentre, at.instance.dataCentre), func() { at.instance.attemptFailed(at, kind) })
}

// cancel ends an attempt whose answer is no longer needed. A plain service completes a request that it has started.
func (tg *target) cancel(at *attempt) {
	if at.ended || (!tg.isEngine() && at.running) {
		return
	}
	tg.remove(at)
	tg.startWaiting()
}

// stop takes the target down and fails all its attempts.
func (tg *target) stop() {
	tg.up = false
	tg.pool.dirty = true
	attempts := append(slices.Clone(tg.running), tg.waiting...)
	for _, at := range attempts {
		kind := pool.FailureBroken
		if !at.running {
			kind = pool.FailureNotRun
		}
		tg.remove(at)
		at.fail(kind)
	}
}

// restart brings the target back up, unless it was removed meanwhile. With reset, its cache is empty and it has a new
// incarnation.
func (tg *target) restart(reset bool) {
	if tg.removed {
		return
	}
	tg.up = true
	tg.pool.dirty = true
	if !reset {
		return
	}
	tg.incarnation++
	tg.cacheSequence = 0
	if tg.isEngine() {
		tg.cache = newPrefixCache(tg.CacheTokens)
	}
}
