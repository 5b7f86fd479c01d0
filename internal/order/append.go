package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/record"
)

// resultTimeoutFactor times the append timeout is when an append without any result counts as unknown.
const resultTimeoutFactor = 2

// nextAppend is the time from which on the next append fits into the budget.
func (mc *Machine) nextAppend() time.Time {
	if mc.lastAppend.IsZero() {
		return time.Unix(0, 0)
	}
	return later(mc.lastAppend.Add(mc.set.appendIntervalFor(mc.owners)), mc.log.retryAt())
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// flush starts the next append. One append at a time is enough, since it takes all that has gathered meanwhile.
func (mc *Machine) flush(now time.Time) {
	if mc.batch != nil || mc.queue.empty() || now.Before(mc.nextAppend()) || mc.log.down(now) {
		return
	}
	mc.batchID++
	ba := &batch{id: mc.batchID, sentAt: now}
	mc.batchWrites(ba)
	mc.batchClaims(now, ba)
	if ba.entries.Size() == 0 {
		return
	}
	mc.batch = ba
	mc.lastAppend = now
	mc.scheduleExpiry(now.Add(resultTimeoutFactor * mc.set.appendTimeout))
	mc.emit(Append{BatchID: ba.id, Data: ba.entries.Record()})
	if mc.set.disabled.readBack {
		mc.runBeforeReadBack(now, ba)
	}
}

func (mc *Machine) batchWrites(ba *batch) {
	waiting := mc.queue.writes
	mc.queue.writes = nil
	for _, wr := range waiting {
		writes := mc.pendingLike(wr)
		mc.removeIfDone(writes, wr.key)
		switch {
		case wr.state != writeQueued || writes[wr.key] != wr:
		case ba.full():
			mc.queue.writes = append(mc.queue.writes, wr)
		default:
			ba.addWrite(wr)
		}
	}
}

// pendingLike returns the map that has the latest write of that kind for each key.
func (mc *Machine) pendingLike(wr *write) map[Key]*write {
	if wr.entry.Type == record.EntryRelease {
		return mc.releases
	}
	return mc.outcomes
}

func (mc *Machine) batchClaims(now time.Time, ba *batch) {
	waiting := mc.queue.claims
	mc.queue.claims = nil
	for _, fl := range waiting {
		switch {
		case fl.phase != phaseQueued || mc.flights[fl.key] != fl:
		case ba.full():
			mc.queue.claims = append(mc.queue.claims, fl)
		default:
			mc.repeatRelease(ba, fl.key)
			ba.addClaim(fl, mc.set.claimTTL())
			mc.scheduleExpiry(now.Add(mc.set.appendTimeout))
		}
	}
}

// repeatRelease repeats a release whose append has an unknown result in front of the next claim for the same key, which
// would lose otherwise.
func (mc *Machine) repeatRelease(ba *batch, key Key) {
	wr := mc.releases[key]
	if wr != nil && wr.state == writeInDoubt && !wr.done(mc.table) {
		ba.addWrite(wr)
	}
}

// runBeforeReadBack is the baseline without the wait for the claim in the log.
func (mc *Machine) runBeforeReadBack(now time.Time, ba *batch) {
	for _, fl := range ba.claims {
		mc.run(now, fl)
	}
}

// AppendResult takes what is known of an append. A claim that may be in the log is not appended again; the order waits
// until it is read or given up.
func (mc *Machine) AppendResult(now time.Time, id BatchID, result record.AppendOutcome) []Action {
	mc.expire(now)
	if mc.batch != nil && mc.batch.id == id {
		mc.endBatch(now, result)
	}
	return mc.finish(now)
}

func (mc *Machine) endBatch(now time.Time, result record.AppendOutcome) {
	ba := mc.batch
	mc.batch = nil
	switch result {
	case record.AppendOK:
		mc.log.recordSuccess()
		mc.setWriteStates(ba, writeStored)
	case record.AppendFailed:
		mc.log.recordFailure(now)
		mc.requeue(now, ba)
	case record.AppendUnknown:
		mc.log.recordFailure(now)
		mc.setWriteStates(ba, writeInDoubt)
		mc.scheduleExpiry(later(ba.sentAt.Add(mc.set.appendTimeout), now.Add(mc.set.appendInterval)))
	}
	if mc.log.down(now) {
		mc.refuseQueued(now)
	}
}

func (mc *Machine) setWriteStates(ba *batch, state pendingWrite) {
	for _, wr := range ba.writes {
		if wr.state == writeSent && wr.batch == ba.id {
			wr.state = state
		}
	}
}

// requeue takes back what was certainly not appended.
func (mc *Machine) requeue(now time.Time, ba *batch) {
	for _, wr := range ba.writes {
		if wr.state == writeSent && wr.batch == ba.id {
			mc.queue.addWrite(wr)
		}
	}
	for index, fl := range ba.claims {
		if fl.phase == phaseSent && fl.claim.Sequence == ba.sequences[index] && mc.flights[fl.key] == fl {
			fl.phase = phaseQueued
			mc.queue.addClaim(fl)
		}
	}
	mc.scheduleExpiry(now.Add(retryAfter))
}

// refuseQueued refuses the orders whose claims were not appended, since the log is down.
func (mc *Machine) refuseQueued(now time.Time) {
	waiting := mc.queue.claims
	mc.queue.claims = nil
	for _, fl := range waiting {
		if fl.phase == phaseQueued && mc.flights[fl.key] == fl {
			mc.refuseAll(now, fl, logUnavailableRefusal())
		}
	}
}

// expireBatch stops waiting for the result of an append.
func (mc *Machine) expireBatch(now time.Time) {
	if mc.batch == nil {
		return
	}
	limit := mc.batch.sentAt.Add(resultTimeoutFactor * mc.set.appendTimeout)
	if now.Before(limit) {
		mc.scheduleExpiry(limit)
		return
	}
	mc.endBatch(now, record.AppendUnknown)
}
