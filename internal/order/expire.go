package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// expire processes all expired appends, claims, requests and pending writes. It does nothing before nextExpiry.
func (mc *Machine) expire(now time.Time) {
	if mc.nextExpiry.IsZero() || now.Before(mc.nextExpiry) {
		return
	}
	mc.nextExpiry = time.Time{}
	mc.expireBatch(now)
	for _, fl := range mc.sortedFlights() {
		mc.expireFlight(now, fl)
	}
	mc.expireWrites(now, mc.outcomes)
	mc.expireWrites(now, mc.releases)
}

func (mc *Machine) expireFlight(now time.Time, fl *flight) {
	if fl.claiming() && !now.Before(fl.created.Add(mc.settings.appendTimeout)) {
		mc.expireClaim(now, fl)
	}
	if mc.flights[fl.key] != fl {
		return
	}
	mc.refuseExpired(now, fl)
	for _, wt := range fl.waiters {
		mc.scheduleExpiry(wt.deadline)
	}
	if fl.claiming() && mc.flights[fl.key] == fl {
		mc.scheduleExpiry(fl.created.Add(mc.settings.appendTimeout))
	}
}

// expireClaim refuses an order whose claim was not read back in time. If another claim holds the key, the order waits for
// the outcome of that claim instead.
func (mc *Machine) expireClaim(now time.Time, fl *flight) {
	if mc.heldByOtherClaim(fl) {
		mc.abandonClaim(now, fl)
		fl.phase = phaseWaiting
		mc.resolve(now, fl)
		return
	}
	mc.refuseAll(now, fl, logUnavailableRefusal())
}

// heldByOtherClaim reports whether another claim holds the flight's key, so that the order may run or have run under it.
func (mc *Machine) heldByOtherClaim(fl *flight) bool {
	en := mc.table.live(fl.key)
	return en != nil && en.claimed() && en.claimant != fl.claim && !mc.abandoned(fl.key, en)
}

// refuseExpired refuses the requests whose deadline has passed. NotRun may be true in these refusals only if no request
// remains, so that the claim is abandoned.
func (mc *Machine) refuseExpired(now time.Time, fl *flight) {
	expired := fl.removeExpired(now)
	if len(expired) == 0 {
		return
	}
	last := len(fl.waiters) == 0
	for _, wt := range expired {
		delete(mc.keys, wt.request)
		mc.refuse(wt.request, mc.refusalFor(fl, wt.request, last))
	}
	if last && fl.phase != phaseRunning {
		mc.abandonClaim(now, fl)
		mc.drop(fl)
	}
}

// refusalFor returns the refusal for an expired request; last is true if no other request waits for the order.
func (mc *Machine) refusalFor(fl *flight, request chestnutroad.RequestID, last bool) *chestnutroad.Refusal {
	switch {
	case fl.phase == phaseRunning && request == fl.runRequest:
		return outcomeUnknownRefusal()
	case fl.phase == phaseRunning, fl.phase == phaseWaiting, mc.heldByOtherClaim(fl):
		return inProgressRefusal()
	default:
		return deadlineRefusal(last)
	}
}

// abandonClaim releases the flight's claim, so that it never leads to a run. The caller must drop the flight or move
// it out of phaseSent.
func (mc *Machine) abandonClaim(now time.Time, fl *flight) {
	if fl.phase != phaseSent || mc.settings.disabled.abandon || mc.settings.disabled.release {
		return
	}
	if en := mc.table.live(fl.key); en != nil && en.isBarred(fl.claim) {
		return
	}
	mc.release(now, fl.key, fl.claim)
}

// release queues the release of a claim whose order hasn't run and won't run.
func (mc *Machine) release(now time.Time, key Key, claim record.Claimant) {
	if mc.settings.disabled.release {
		return
	}
	wr := &pendingWrite{key: key, createdAt: now, entry: record.Entry{
		Type: record.EntryRelease, Team: key.Team, Key: key.Key, Claimant: claim, KeepMs: mc.settings.claimTTL().Milliseconds(),
	}}
	mc.releases[key] = wr
	mc.queue.addWrite(wr)
}

func (mc *Machine) drop(fl *flight) {
	if fl.phase == phaseSent && mc.settings.disabled.abandon {
		return
	}
	delete(mc.flights, fl.key)
	delete(mc.running, fl.runRequest)
}

// releaseExpired reports whether a release is so old that readers have removed its claim. On a log with few records they
// may do so later, since the log time advances only with records.
func (mc *Machine) releaseExpired(now time.Time, wr *pendingWrite) bool {
	en := mc.table.live(wr.key)
	return now.Sub(wr.createdAt) > mc.settings.claimTTL() && (en == nil || !en.releasedBy(wr.entry.Claimant))
}

// expireWrites queues entries again whose append has an unknown result, and removes expired releases.
func (mc *Machine) expireWrites(now time.Time, writes map[Key]*pendingWrite) {
	for _, key := range sortedKeys(writes) {
		wr := writes[key]
		if wr.entry.Type == record.EntryRelease && mc.releaseExpired(now, wr) {
			delete(writes, key)
			continue
		}
		if wr.state != writeInDoubt {
			continue
		}
		if retryAt := wr.sentAt.Add(mc.settings.appendTimeout); now.Before(retryAt) {
			mc.scheduleExpiry(retryAt)
			continue
		}
		mc.queue.addWrite(wr)
	}
}
