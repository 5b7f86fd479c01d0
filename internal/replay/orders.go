package replay

import (
	"net/http"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/order"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// fakeLog stands in for the platform's log. It retains all records.
type fakeLog struct {
	up      bool
	records []chestnutroad.Record
}

// logOneWayLatency returns the time that a message to or from the log takes.
func (si *simulation) logOneWayLatency() time.Duration {
	return time.Duration(si.tr.Header.LogLatencyMs) * time.Millisecond / 2
}

func (ho *host) reachesLog() bool { return ho.si.log.up && ho.si.net.reachesPlatform(ho.DataCentre) }

// submitOrder passes the order to the order machine, which runs it once it has a claim.
func (ho *host) submitOrder(rt *route) {
	ho.orderRoutes[rt.id] = rt
	req := rt.call.req
	ho.applyOrders(ho.machine.Submit(ho.si.time(), order.Order{
		Request: rt.id, Team: req.Team, Key: req.Key, Digest: string(req.Key), Deadline: req.Deadline, Repeat: req.Repeat,
	}))
}

// orderDone reports the target's complete answer to the order machine.
func (ho *host) orderDone(rt *route) {
	ho.applyOrders(ho.machine.TargetDone(ho.si.time(), rt.id, http.StatusOK, nil, nil))
}

// orderRefused reports to the order machine that the policy has given up on an order with a claim.
func (ho *host) orderRefused(rt *route, refusal *chestnutroad.Refusal) {
	if refusal.NotRun {
		ho.applyOrders(ho.machine.TargetNotRun(ho.si.time(), rt.id, refusal))
		return
	}
	ho.applyOrders(ho.machine.TargetUnknown(ho.si.time(), rt.id))
}

func (ho *host) cancelOrder(rt *route) {
	ho.applyOrders(ho.machine.Cancel(ho.si.time(), rt.id))
}

// applyOrders executes the order machine's actions and schedules its next tick.
func (ho *host) applyOrders(actions []order.Action) {
	if !ho.alive {
		return
	}
	for _, action := range actions {
		switch act := action.(type) {
		case order.Append:
			ho.appendBatch(act)
		case order.Run:
			ho.runOrder(act.Request)
		case order.Reply:
			ho.answerOrder(act.Request, nil)
		case order.Refuse:
			ho.answerOrder(act.Request, act.Refusal)
		}
	}
	ho.scheduleTick()
}

func (ho *host) runOrder(id chestnutroad.RequestID) {
	rt := ho.orderRoutes[id]
	if rt == nil {
		return
	}
	rt.claimed = true
	rt.instance.dispatch(rt.attempt)
}

// answerOrder sends the machine's answer to the entry host; a nil refusal means success. A request that still has a route,
// such as one that never got the claim, is cancelled in the policy.
func (ho *host) answerOrder(id chestnutroad.RequestID, refusal *chestnutroad.Refusal) {
	rt := ho.orderRoutes[id]
	if rt == nil {
		return
	}
	delete(ho.orderRoutes, id)
	in := rt.instance
	if in.routes[id] == rt {
		delete(in.routes, id)
		in.cancelAttempt(rt)
		ho.si.queue.after(0, func() { in.apply(in.policy.Cancel(ho.si.time(), id)) })
	}
	if refusal != nil {
		in.replyRefusal(rt, refusal)
		return
	}
	in.reply(rt, func(ca *call) { ca.finish("") })
}

// appendBatch appends a batch to the log and reports the outcome to the order machine.
func (ho *host) appendBatch(batch order.Append) {
	si := ho.si
	si.queue.after(si.logOneWayLatency(), func() {
		result := record.AppendFailed
		if ho.reachesLog() {
			si.log.records = append(si.log.records, chestnutroad.Record{
				Offset: chestnutroad.Offset(len(si.log.records)), Appended: si.time(), Data: batch.Data,
			})
			result = record.AppendOK
			si.scheduleReads()
		}
		si.queue.after(si.logOneWayLatency(), func() {
			ho.applyOrders(ho.machine.AppendResult(si.time(), batch.BatchID, result))
		})
	})
}

// scheduleTick schedules the order machine's next tick, if it needs one.
func (ho *host) scheduleTick() {
	wake, needed := ho.machine.NextTick()
	if !needed {
		return
	}
	at := max(ho.si.queue.now, wake.Sub(ho.si.start))
	if ho.nextTickAt > ho.si.queue.now && ho.nextTickAt <= at {
		return
	}
	// A tick at the current instant could repeat forever if the machine still asks for one at that instant.
	at = max(at, ho.si.queue.now+time.Millisecond)
	ho.nextTickAt = at
	ho.si.queue.at(at, func() {
		if ho.alive && ho.nextTickAt == at {
			ho.applyOrders(ho.machine.Tick(ho.si.time()))
		}
	})
}

// startReadingLog starts to read the order log when the host first owns a shard; other hosts don't need the log.
func (ho *host) startReadingLog() {
	if !ho.readsLog {
		ho.readsLog = true
		ho.scheduleRead()
	}
}

// scheduleReads schedules a read of the log on each host that reads it.
func (si *simulation) scheduleReads() {
	for _, ho := range si.hostOrder {
		if ho.readsLog {
			ho.scheduleRead()
		}
	}
}

func (ho *host) scheduleRead() {
	if ho.readScheduled || !ho.alive {
		return
	}
	ho.readScheduled = true
	ho.si.queue.after(ho.si.logOneWayLatency(), ho.readLog)
}

// readLog passes the unread records to the order machine, or reports that the log is down.
func (ho *host) readLog() {
	ho.readScheduled = false
	if !ho.alive {
		return
	}
	if !ho.reachesLog() {
		ho.applyOrders(ho.machine.LogDown(ho.si.time()))
		return
	}
	records := ho.si.log.records
	from := min(int(ho.machine.NextOffset()), len(records))
	ho.applyOrders(ho.machine.ReadBatch(ho.si.time(), chestnutroad.Batch{
		Next: chestnutroad.Offset(len(records)), Records: records[from:],
	}))
}
