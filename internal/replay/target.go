package replay

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// The fake engine's times: a step takes stepTime, more for each sequence that generates a token in it and for each
// prompt token that it prefills, of which it takes at most prefillTokensPerStep. A prompt token costs a tenth of a generated
// one, as in the definition of work units.
const (
	stepTime     = 25 * time.Millisecond
	timePerSequence = time.Millisecond
	timePerPrefillToken  = 100 * time.Microsecond
	prefillTokensPerStep = 512
)

// target is a fake engine or plain service.
type target struct {
	si *simulation
	trace.Target
	pool  *poolLoad
	slots int
	// up is false while the target is down or unreachable, gone once it has left for good.
	up      bool
	removed    bool
	leaving bool
	// listed and listedLeaving are the platform's word as the routers have it by now.
	listed        bool
	listedLeaving bool

	incarnation chestnutroad.Incarnation
	cache       *prefixCache // nil for a plain service
	running     []*attempt
	waiting     []*attempt
	stepping    bool
	cacheSequence    uint64
	work        chestnutroad.WorkUnits
	// workAddedAt is the last time at which work was added.
	workAddedAt time.Duration
}

// attempt is one run of a request on a target.
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
	ended     bool
}

func (tg *target) isEngine() bool { return tg.cache != nil }

// accept takes an attempt that has arrived; the target runs it now or queues it.
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
	// Targets honour priorities.
	slices.SortStableFunc(tg.waiting, func(one, other *attempt) int {
		return int(one.call.priority) - int(other.call.priority)
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
	if tg.isEngine() && !tg.stepping && len(tg.running) > 0 {
		tg.step()
	}
}

// step runs one step of continuous batching over the attempts that are running now.
func (tg *target) step() {
	tg.stepping = true
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
	took := stepTime + time.Duration(len(generating))*timePerSequence + time.Duration(prefillTokensPerStep-budget)*timePerPrefillToken
	tg.si.queue.after(took, func() {
		for index, at := range prefilling {
			at.prefill -= chunks[index]
		}
		tg.emitTokens(generating)
		tg.stepping = false
		tg.startWaiting()
	})
}

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

// remove takes the attempt off the target and keeps its context in the cache.
func (tg *target) remove(at *attempt) {
	if at.ended {
		return
	}
	at.ended = true
	isAt := func(other *attempt) bool { return other == at }
	tg.running = slices.DeleteFunc(tg.running, isAt)
	tg.waiting = slices.DeleteFunc(tg.waiting, isAt)
	tg.addWork(-at.work)
	if tg.isEngine() && at.running {
		tg.cacheContext(at.call.traceReq.Chat, at.call.traceReq.Prompt+at.sent-at.prefill)
	}
}

func (tg *target) cacheContext(chat chestnutroad.ChatID, tokens chestnutroad.Tokens) {
	evicted := tg.cache.put(chat, tokens)
	tg.sendCacheEvent(chat, tokens)
	for _, other := range evicted {
		tg.sendCacheEvent(other, 0)
	}
}

// finish ends the attempt with the whole answer.
func (at *attempt) finish() {
	if at.ended {
		return
	}
	tg := at.target
	tg.remove(at)
	tg.si.send(tg.DataCentre, at.instance.dataCentre, func() { at.instance.attemptFinished(at) })
	tg.startWaiting()
}

// fail ends the attempt without an answer; the router hears of it at once.
func (at *attempt) fail(kind pool.FailureKind) {
	at.ended = true
	si := at.target.si
	si.queue.after(si.net.latency(at.target.DataCentre, at.instance.dataCentre), func() { at.instance.attemptFailed(at, kind) })
}

// cancel ends the attempt because nobody waits for it. A plain call that has started runs on.
func (tg *target) cancel(at *attempt) {
	if at.ended || (!tg.isEngine() && at.running) {
		return
	}
	tg.remove(at)
	tg.startWaiting()
}

// stop breaks all attempts off.
func (tg *target) stop() {
	tg.up = false
	tg.pool.dirty = true
	all := append(slices.Clone(tg.running), tg.waiting...)
	for _, at := range all {
		kind := pool.FailureBroken
		if !at.running {
			kind = pool.FailureNotRun
		}
		tg.remove(at)
		at.fail(kind)
	}
}

// restart brings the target back; an emptied one has a new incarnation.
func (tg *target) restart(empty bool) {
	if tg.removed {
		return
	}
	tg.up = true
	tg.pool.dirty = true
	if !empty {
		return
	}
	tg.incarnation++
	tg.cacheSequence = 0
	if tg.isEngine() {
		tg.cache = newPrefixCache(tg.CacheTokens)
	}
}
