package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// maxKeySize is the longest idempotency key in bytes. It bounds memory, since each host keeps each key for the claim TTL.
const maxKeySize = 255

// Submit starts an order or adds the request to the order in progress with the same key. A request that is submitted
// again while it waits is answered once.
func (mc *Machine) Submit(now time.Time, order Order) []Action {
	mc.expire(now)
	mc.submit(now, order)
	return mc.finish(now)
}

func (mc *Machine) submit(now time.Time, order Order) {
	if len(order.Key) > maxKeySize {
		mc.refuse(order.Request, keyTooLongRefusal())
		return
	}
	wt := waiter{request: order.Request, deadline: mc.deadline(now, order.Deadline)}
	if !now.Before(wt.deadline) {
		mc.refuse(order.Request, deadlineRefusal(true))
		return
	}
	key := Key{Team: order.Team, Key: order.Key}
	if fl := mc.flights[key]; fl != nil {
		mc.joinFlight(fl, wt, order.Digest)
		return
	}
	if mc.replyOwn(key, order) {
		return
	}
	if !mc.Ready() {
		mc.refuse(order.Request, notReadyRefusal())
		return
	}
	mc.startFlight(now, key, wt, order)
}

// deadline returns the requested deadline, limited to maxOrderTime from now; a zero one becomes that limit.
func (mc *Machine) deadline(now, requested time.Time) time.Time {
	limit := now.Add(mc.settings.maxOrderTime)
	if requested.IsZero() || requested.After(limit) {
		return limit
	}
	return requested
}

func (mc *Machine) joinFlight(fl *flight, wt waiter, digest string) {
	if fl.digest != digest {
		mc.refuse(wt.request, keyReusedRefusal())
		return
	}
	fl.addWaiter(wt)
	mc.keys[wt.request] = fl.key
	mc.scheduleExpiry(wt.deadline)
}

// replyOwn answers the request from an outcome of this host that is not yet read back from the log, and reports whether
// it did so.
func (mc *Machine) replyOwn(key Key, order Order) bool {
	mc.removeIfDone(mc.outcomes, key)
	wr := mc.outcomes[key]
	if wr == nil || wr.entry.Outcome.Unknown {
		return false
	}
	if wr.entry.Digest != order.Digest {
		mc.refuse(order.Request, keyReusedRefusal())
		return true
	}
	mc.emit(Reply{Request: order.Request, Outcome: *wr.entry.Outcome})
	return true
}

func (mc *Machine) startFlight(now time.Time, key Key, wt waiter, order Order) {
	mc.flightCount++
	fl := &flight{
		number: mc.flightCount, key: key, digest: order.Digest, repeat: order.Repeat,
		phase: phaseWaiting, waiters: []waiter{wt}, runRequest: wt.request,
	}
	mc.flights[key] = fl
	mc.keys[wt.request] = key
	mc.scheduleExpiry(wt.deadline)
	mc.resolve(now, fl)
}

// Cancel removes a request that needs no answer any more. An order that is running continues.
func (mc *Machine) Cancel(now time.Time, request chestnutroad.RequestID) []Action {
	mc.expire(now)
	mc.cancel(now, request)
	return mc.finish(now)
}

func (mc *Machine) cancel(now time.Time, request chestnutroad.RequestID) {
	fl := mc.flights[mc.keys[request]]
	delete(mc.keys, request)
	if fl == nil {
		return
	}
	fl.removeWaiter(request)
	if len(fl.waiters) == 0 && fl.phase != phaseRunning {
		mc.abandonClaim(now, fl)
		mc.drop(fl)
	}
}

func (mc *Machine) refuse(request chestnutroad.RequestID, refusal *chestnutroad.Refusal) {
	mc.emit(Refuse{Request: request, Refusal: refusal})
}
