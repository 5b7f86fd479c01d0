package replay

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// The fake engine's times: a step takes stepTime, more for each sequence that generates a token in it and for each
// prompt token that it prefills, of which it takes at most prefillChunk. A prompt token costs a tenth of a generated
// one, as in the definition of work units.
const (
	stepTime     = 25 * time.Millisecond
	sequenceTime = time.Millisecond
	prefillTime  = 100 * time.Microsecond
	prefillChunk = 512
)

// target is a fake engine or plain service.
type target struct {
	si *simulation
	trace.Target
	pool  *poolLoad
	slots int
	// up is false while the target is down or unreachable, gone once it has left for good.
	up      bool
	gone    bool
	leaving bool
	// listed and listedLeaving are the platform's word as the routers have it by now.
	listed        bool
	listedLeaving bool

	incarnation chestnutroad.Incarnation
	cache       *prefixCache // nil for a plain service
	running     []*attempt
	waiting     []*attempt
	stepping    bool
	sequence    uint64
	work        chestnutroad.WorkUnits
	// startedAt is the last time at which work was added.
	startedAt time.Duration
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
	over     bool
}

func (tg *target) isEngine() bool { return tg.cache != nil }

// accept takes an attempt that has arrived; the target runs it now or queues it.
func (tg *target) accept(at *attempt) {
	if at.over {
		return
	}
	if !tg.up {
		at.fail(pool.FailureNotRun)
		return
	}
	rq := at.call.rq
	if tg.isEngine() {
		at.cached = min(tg.cache.get(rq.Chat), rq.Prompt+at.sent)
		at.prefill = rq.Prompt + at.sent - at.cached
	}
	at.work = chestnutroad.WorkOf(at.prefill, rq.MaxOutput-at.sent)
	tg.addWork(at.work)
	tg.startedAt = tg.si.queue.now
	tg.waiting = append(tg.waiting, at)
	// Targets honour priorities.
	slices.SortStableFunc(tg.waiting, func(one, other *attempt) int {
		return int(one.call.priority) - int(other.call.priority)
	})
	tg.fill()
}

func (tg *target) addWork(work chestnutroad.WorkUnits) {
	tg.work += work
	tg.pool.dirty = true
}

// fill starts waiting attempts while slots are free.
func (tg *target) fill() {
	for len(tg.waiting) > 0 && len(tg.running) < tg.slots {
		at := tg.waiting[0]
		tg.waiting = tg.waiting[1:]
		tg.running = append(tg.running, at)
		at.running = true
		tg.si.measure.started(at)
		if !tg.isEngine() {
			tg.si.queue.after(time.Duration(at.call.rq.ServiceMs)*time.Millisecond, at.finish)
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
	budget := chestnutroad.Tokens(prefillChunk)
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
	took := stepTime + time.Duration(len(generating))*sequenceTime + time.Duration(prefillChunk-budget)*prefillTime
	tg.si.queue.after(took, func() {
		for index, at := range prefilling {
			at.prefill -= chunks[index]
		}
		tg.generated(generating)
		tg.stepping = false
		tg.fill()
	})
}

func (tg *target) generated(generating []*attempt) {
	for _, at := range generating {
		if at.over {
			continue
		}
		at.sent++
		at.call.token(at)
		at.instance.progress(at)
		if at.sent >= at.call.rq.Output {
			at.finish()
		}
	}
}

// remove takes the attempt off the target and keeps its context in the cache.
func (tg *target) remove(at *attempt) {
	if at.over {
		return
	}
	at.over = true
	isAt := func(other *attempt) bool { return other == at }
	tg.running = slices.DeleteFunc(tg.running, isAt)
	tg.waiting = slices.DeleteFunc(tg.waiting, isAt)
	tg.addWork(-at.work)
	if tg.isEngine() && at.running {
		tg.store(at.call.rq.Chat, at.call.rq.Prompt+at.sent-at.prefill)
	}
}

func (tg *target) store(chat chestnutroad.ChatID, tokens chestnutroad.Tokens) {
	evicted := tg.cache.put(chat, tokens)
	tg.cacheEvent(chat, tokens)
	for _, other := range evicted {
		tg.cacheEvent(other, 0)
	}
}

// finish ends the attempt with the whole answer.
func (at *attempt) finish() {
	if at.over {
		return
	}
	tg := at.target
	tg.remove(at)
	tg.si.send(tg.DataCentre, at.instance.centre, func() { at.instance.finished(at) })
	tg.fill()
}

// fail ends the attempt without an answer; the router hears of it at once.
func (at *attempt) fail(kind pool.FailureKind) {
	at.over = true
	si := at.target.si
	si.queue.after(si.net.latency(at.target.DataCentre, at.instance.centre), func() { at.instance.failed(at, kind) })
}

// cancel ends the attempt because nobody waits for it. A plain call that has started runs on.
func (tg *target) cancel(at *attempt) {
	if at.over || (!tg.isEngine() && at.running) {
		return
	}
	tg.remove(at)
	tg.fill()
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
	if tg.gone {
		return
	}
	tg.up = true
	tg.pool.dirty = true
	if !empty {
		return
	}
	tg.incarnation++
	tg.sequence = 0
	if tg.isEngine() {
		tg.cache = newPrefixCache(tg.CacheTokens)
	}
}
