package replay

import (
	"net/http"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/order"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// platformLog is the fake log: it keeps all records and answers after its latency.
type platformLog struct {
	up      bool
	records []chestnutroad.Record
}

// logLatency is the time of one message to or from the log.
func (si *simulation) logLatency() time.Duration {
	return time.Duration(si.tr.Header.LogLatencyMs) * time.Millisecond / 2
}

func (ho *host) reachesLog() bool { return ho.si.log.up && ho.si.net.reachesPlatform(ho.DataCentre) }

// submitOrder has the order log decide whether the order may run.
func (ho *host) submitOrder(rt *route) {
	ho.orders[rt.id] = rt
	req := rt.call.req
	ho.applyOrders(ho.machine.Submit(ho.si.time(), order.Order{
		Request: rt.id, Team: req.Team, Key: req.Key, Digest: string(req.Key), Deadline: req.Deadline, Repeat: req.Repeat,
	}))
}

// orderDone takes the target's answer to an order.
func (ho *host) orderDone(rt *route) {
	ho.applyOrders(ho.machine.TargetDone(ho.si.time(), rt.id, http.StatusOK, nil, nil))
}

// orderRefused takes the word that an order with a claim will not be tried again.
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

// applyOrders carries out the actions of the order machine.
func (ho *host) applyOrders(actions []order.Action) {
	if !ho.alive {
		return
	}
	for _, action := range actions {
		switch act := action.(type) {
		case order.Append:
			ho.append(act)
		case order.Run:
			ho.runOrder(act.Request)
		case order.Reply:
			ho.answerOrder(act.Request, nil)
		case order.Refuse:
			ho.answerOrder(act.Request, act.Refusal)
		}
	}
	ho.wakeMachine()
}

func (ho *host) runOrder(id chestnutroad.RequestID) {
	rt := ho.orders[id]
	if rt == nil {
		return
	}
	rt.claimed = true
	rt.instance.dispatch(rt.attempt)
}

// answerOrder passes on the only result of a request; one that did not get the claim leaves the pool.
func (ho *host) answerOrder(id chestnutroad.RequestID, refusal *chestnutroad.Refusal) {
	rt := ho.orders[id]
	if rt == nil {
		return
	}
	delete(ho.orders, id)
	in := rt.instance
	if in.routes[id] == rt {
		delete(in.routes, id)
		in.cancelAttempt(rt)
		ho.si.queue.after(0, func() { in.apply(in.policy.Cancel(ho.si.time(), id)) })
	}
	if refusal != nil {
		in.replyRefused(rt, refusal)
		return
	}
	in.reply(rt, func(ca *call) { ca.finish("") })
}

// append adds a batch to the log and reports what is known of it.
func (ho *host) append(batch order.Append) {
	si := ho.si
	si.queue.after(si.logLatency(), func() {
		result := record.AppendFailed
		if ho.reachesLog() {
			si.log.records = append(si.log.records, chestnutroad.Record{
				Offset: chestnutroad.Offset(len(si.log.records)), Appended: si.time(), Data: batch.Data,
			})
			result = record.AppendOK
			si.wakeReaders()
		}
		si.queue.after(si.logLatency(), func() {
			ho.applyOrders(ho.machine.AppendResult(si.time(), batch.BatchID, result))
		})
	})
}

// wakeMachine ticks the machine when it next needs it.
func (ho *host) wakeMachine() {
	wake, needed := ho.machine.NextTick()
	if !needed {
		return
	}
	at := max(ho.si.queue.now, wake.Sub(ho.si.start))
	if ho.wakeAt > ho.si.queue.now && ho.wakeAt <= at {
		return
	}
	// A wake-up at the present instant would repeat itself if the machine has nothing to do yet.
	at = max(at, ho.si.queue.now+time.Millisecond)
	ho.wakeAt = at
	ho.si.queue.at(at, func() {
		if ho.alive && ho.wakeAt == at {
			ho.applyOrders(ho.machine.Tick(ho.si.time()))
		}
	})
}

// followOrders starts to read the order log; only owners of shards with orders need it.
func (ho *host) followOrders() {
	if !ho.follows {
		ho.follows = true
		ho.readSoon()
	}
}

func (si *simulation) wakeReaders() {
	for _, ho := range si.hostOrder {
		if ho.follows {
			ho.readSoon()
		}
	}
}

func (ho *host) readSoon() {
	if ho.readDue || !ho.alive {
		return
	}
	ho.readDue = true
	ho.si.queue.after(ho.si.logLatency(), ho.read)
}

func (ho *host) read() {
	ho.readDue = false
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
