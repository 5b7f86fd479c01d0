package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// expire gives up what is too late. It only looks when something can be.
func (mc *Machine) expire(now time.Time) {
	if mc.expiry.IsZero() || now.Before(mc.expiry) {
		return
	}
	mc.expiry = time.Time{}
	mc.expireBatch(now)
	for _, fl := range mc.sortedFlights() {
		mc.expireFlight(now, fl)
	}
	mc.expireWrites(now, mc.outcomes)
	mc.expireWrites(now, mc.releases)
}

func (mc *Machine) expireFlight(now time.Time, fl *flight) {
	if fl.claiming() && !now.Before(fl.created.Add(mc.set.appendTimeout)) {
		mc.claimTimeout(now, fl)
	}
	if mc.flights[fl.key] != fl {
		return
	}
	mc.refuseExpired(now, fl)
	for _, wt := range fl.waiters {
		mc.watch(wt.deadline)
	}
	if fl.claiming() && mc.flights[fl.key] == fl {
		mc.watch(fl.created.Add(mc.set.appendTimeout))
	}
}

// claimTimeout refuses an order whose claim was not read back in time, unless another host holds the key.
func (mc *Machine) claimTimeout(now time.Time, fl *flight) {
	if mc.heldElsewhere(fl) {
		mc.giveUpClaim(now, fl)
		fl.phase = phaseWaiting
		mc.resolve(now, fl)
		return
	}
	mc.refuseAll(now, fl, refuseLog())
}

// heldElsewhere reports whether another claim holds the flight's key, so that "not run" could be wrong for the key.
func (mc *Machine) heldElsewhere(fl *flight) bool {
	en := mc.table.live(fl.key)
	return en != nil && en.taken() && en.claimant != fl.claim && !mc.abandoned(fl.key, en)
}

// refuseExpired refuses the requests whose deadline has passed. "Not run" is true only if the claim is given up with
// the last one.
func (mc *Machine) refuseExpired(now time.Time, fl *flight) {
	late := fl.expired(now)
	if len(late) == 0 {
		return
	}
	last := len(fl.waiters) == 0
	for _, wt := range late {
		delete(mc.keys, wt.request)
		mc.refuse(wt.request, mc.refusalFor(fl, wt.request, last))
	}
	if last && fl.phase != phaseRunning {
		mc.giveUpClaim(now, fl)
		mc.drop(fl)
	}
}

func (mc *Machine) refusalFor(fl *flight, request chestnutroad.RequestID, last bool) *chestnutroad.Refusal {
	switch {
	case fl.phase == phaseRunning && request == fl.runner:
		return refuseUnknown()
	case fl.phase == phaseRunning, fl.phase == phaseWaiting, mc.heldElsewhere(fl):
		return refuseInProgress()
	default:
		return refuseLate(last)
	}
}

// giveUpClaim makes sure that the flight's claim never leads to a run. The flight must be dropped or claim anew.
func (mc *Machine) giveUpClaim(now time.Time, fl *flight) {
	if fl.phase != phaseSent || mc.set.off.abandon || mc.set.off.release {
		return
	}
	if en := mc.table.live(fl.key); en != nil && en.bars(fl.claim) {
		return
	}
	mc.release(now, fl.key, fl.claim)
}

// release queues the entry that frees the key of a claim that hasn't run and won't.
func (mc *Machine) release(now time.Time, key Key, claim record.Claimant) {
	if mc.set.off.release {
		return
	}
	wr := &write{key: key, since: now, step: record.Entry{
		Type: record.EntryRelease, Team: key.Team, Key: key.Key, Claimant: claim, KeepMs: mc.set.keep().Milliseconds(),
	}}
	mc.releases[key] = wr
	mc.queue.addWrite(wr)
}

func (mc *Machine) drop(fl *flight) {
	if fl.phase == phaseSent && mc.set.off.abandon {
		return
	}
	delete(mc.flights, fl.key)
	delete(mc.running, fl.runner)
}

// moot reports whether a release is so old that readers forget its claim. On a quiet log they may do so late.
func (mc *Machine) moot(now time.Time, wr *write) bool {
	en := mc.table.live(wr.key)
	return now.Sub(wr.since) > mc.set.keep() && (en == nil || !en.covers(wr.step.Claimant))
}

// expireWrites sends entries again whose append has an unknown result, and forgets releases that no longer matter.
func (mc *Machine) expireWrites(now time.Time, writes map[Key]*write) {
	for _, key := range sortedKeys(writes) {
		wr := writes[key]
		if wr.step.Type == record.EntryRelease && mc.moot(now, wr) {
			delete(writes, key)
			continue
		}
		if wr.state != writeInDoubt {
			continue
		}
		if again := wr.sent.Add(mc.set.appendTimeout); now.Before(again) {
			mc.watch(again)
			continue
		}
		mc.queue.addWrite(wr)
	}
}
