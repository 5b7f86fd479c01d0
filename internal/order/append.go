package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/record"
)

// resultTimeoutFactor is the number of append timeouts after which the result of an append counts as unknown.
const resultTimeoutFactor = 2

// nextAppend returns the earliest time at which the append budget and the retry delay of a failing log allow an append.
// Before the first append it returns a past time instead of the zero time, which earlier would ignore.
func (mc *Machine) nextAppend() time.Time {
	if mc.lastAppend.IsZero() {
		return time.Unix(0, 0)
	}
	return later(mc.lastAppend.Add(mc.settings.appendIntervalFor(mc.owners)), mc.log.retryAt())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// flush starts the next append if one is due. One append in flight is enough, since each one takes all queued entries
// that fit into a record.
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
	mc.scheduleExpiry(now.Add(resultTimeoutFactor * mc.settings.appendTimeout))
	mc.emit(Append{BatchID: ba.id, Data: ba.entries.Record()})
	if mc.settings.disabled.readBack {
		mc.runBeforeReadBack(now, ba)
	}
}

// batchWrites moves the queued writes to the batch while it has room, and drops those that are done or replaced.
func (mc *Machine) batchWrites(ba *batch) {
	queued := mc.queue.writes
	mc.queue.writes = nil
	for _, wr := range queued {
		writes := mc.pendingOfSameType(wr)
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

// pendingOfSameType returns the map with the latest pending write of the same type for each key.
func (mc *Machine) pendingOfSameType(wr *pendingWrite) map[Key]*pendingWrite {
	if wr.entry.Type == record.EntryRelease {
		return mc.releases
	}
	return mc.outcomes
}

// batchClaims moves the queued claims to the batch while it has room, and drops those that are no longer needed.
func (mc *Machine) batchClaims(now time.Time, ba *batch) {
	queued := mc.queue.claims
	mc.queue.claims = nil
	for _, fl := range queued {
		switch {
		case fl.phase != phaseQueued || mc.flights[fl.key] != fl:
		case ba.full():
			mc.queue.claims = append(mc.queue.claims, fl)
		default:
			mc.repeatRelease(ba, fl.key)
			ba.addClaim(fl, mc.settings.claimTTL())
			mc.scheduleExpiry(now.Add(mc.settings.appendTimeout))
		}
	}
}

// repeatRelease adds a release whose append has an unknown result once more ahead of the next claim of the same key. If
// the release were missing in the log, that claim would lose.
func (mc *Machine) repeatRelease(ba *batch, key Key) {
	wr := mc.releases[key]
	if wr != nil && wr.state == writeInDoubt && !wr.done(mc.table) {
		ba.addWrite(wr)
	}
}

// runBeforeReadBack runs the orders of a batch without waiting for their claims; only tests use it.
func (mc *Machine) runBeforeReadBack(now time.Time, ba *batch) {
	for _, fl := range ba.claims {
		mc.run(now, fl)
	}
}

// AppendResult processes the result of an append. A claim that may be in the log is not appended again; its order waits
// until the claim is read back or abandoned.
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
		mc.scheduleExpiry(later(ba.sentAt.Add(mc.settings.appendTimeout), now.Add(mc.settings.appendInterval)))
	}
	if mc.log.down(now) {
		mc.refuseQueued(now)
	}
}

func (mc *Machine) setWriteStates(ba *batch, state writeState) {
	for _, wr := range ba.writes {
		if wr.state == writeSent && wr.batch == ba.id {
			wr.state = state
		}
	}
}

// requeue queues the entries of a failed append again.
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

// refuseQueued refuses the orders whose claims are still queued because the log is down.
func (mc *Machine) refuseQueued(now time.Time) {
	queued := mc.queue.claims
	mc.queue.claims = nil
	for _, fl := range queued {
		if fl.phase == phaseQueued && mc.flights[fl.key] == fl {
			mc.refuseAll(now, fl, logUnavailableRefusal())
		}
	}
}

// expireBatch ends an append that has been without a result for too long as one with an unknown result.
func (mc *Machine) expireBatch(now time.Time) {
	if mc.batch == nil {
		return
	}
	limit := mc.batch.sentAt.Add(resultTimeoutFactor * mc.settings.appendTimeout)
	if now.Before(limit) {
		mc.scheduleExpiry(limit)
		return
	}
	mc.endBatch(now, record.AppendUnknown)
}
