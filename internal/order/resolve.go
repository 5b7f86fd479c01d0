package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// resolve advances a flight that isn't running according to the state of its key in the table.
func (mc *Machine) resolve(now time.Time, fl *flight) {
	if fl.phase == phaseRunning || !mc.Ready() {
		return
	}
	en := mc.table.live(fl.key)
	switch {
	case en == nil || !en.claimed():
		mc.resolveUnclaimed(now, fl, en)
	case fl.phase == phaseSent && en.claimant == fl.claim:
		mc.log.recordSuccess()
		fl.expiresMs = en.expiresMs
		mc.run(now, fl)
	case mc.abandoned(fl.key, en):
		mc.releaseAbandoned(now, fl.key, en.claimant)
		mc.resolveUnclaimed(now, fl, en)
	case en.digest != fl.digest:
		mc.refuseAll(now, fl, keyReusedRefusal())
	case en.answered():
		mc.replyAll(fl, *en.outcome)
	case en.outcome != nil || mc.isOwn(en.claimant) || mc.isDead(en.claimant):
		mc.resolveUnknown(now, fl, en)
	default:
		mc.resolveClaimed(fl, en)
	}
}

// abandoned reports whether the key is held by a claim that this host abandoned before the order ran. It must not be
// called while the order is running here. A claim whose order ran has an outcome, which stays in outcomes until it is
// read back. If the table later goes back to a state without that outcome, a release is written, but it follows the
// outcome in the log and has no effect.
func (mc *Machine) abandoned(key Key, en *entry) bool {
	return en.claimed() && mc.isOwn(en.claimant) && en.outcome == nil && mc.outcomes[key] == nil
}

// releaseAbandoned releases the key of an abandoned claim that was read back, unless a release is already queued or being
// appended. A release that was appended before the claim may have expired before the claim appeared, so it is repeated.
func (mc *Machine) releaseAbandoned(now time.Time, key Key, claim record.Claimant) {
	wr := mc.releases[key]
	switch {
	case wr == nil || wr.entry.Claimant.Sequence < claim.Sequence:
		mc.release(now, key, claim)
	case wr.state == writeInDoubt || wr.state == writeStored:
		mc.queue.addWrite(wr)
	}
}

// resolveUnclaimed queues a claim of the key, unless the flight has one that may still win.
func (mc *Machine) resolveUnclaimed(now time.Time, fl *flight, en *entry) {
	lost := fl.phase == phaseSent && en != nil && en.isBarred(fl.claim)
	if fl.phase != phaseWaiting && !lost {
		return
	}
	if mc.log.down(now) {
		mc.refuseAll(now, fl, logUnavailableRefusal())
		return
	}
	fl.phase = phaseQueued
	fl.claim = mc.newClaim()
	fl.created = now
	mc.queue.addClaim(fl)
	mc.scheduleExpiry(now.Add(mc.settings.appendTimeout))
}

// resolveUnknown handles a key whose order may have run but whose answer is unknown. The order is run again only if the
// target deduplicates; otherwise its requests are refused.
func (mc *Machine) resolveUnknown(now time.Time, fl *flight, en *entry) {
	if fl.repeat != chestnutroad.RepeatTargetDeduplicates {
		mc.refuseAll(now, fl, outcomeUnknownRefusal())
		return
	}
	mc.abandonClaim(now, fl)
	fl.claim = en.claimant
	fl.expiresMs = en.expiresMs
	fl.created = now
	fl.mayHaveRun = true
	mc.start(fl)
}

// resolveClaimed waits for the outcome of another host's claim. The flight's own claim stays valid if it is not yet read
// back, since the other host's release may precede it in the log.
func (mc *Machine) resolveClaimed(fl *flight, en *entry) {
	if fl.phase == phaseSent && !en.isBarred(fl.claim) {
		return
	}
	fl.phase = phaseWaiting
}

// run starts the order if a request still waits for it and the claim is not older than maxOrderTime.
func (mc *Machine) run(now time.Time, fl *flight) {
	if !now.Before(fl.created.Add(mc.settings.maxOrderTime)) {
		mc.refuseAll(now, fl, deadlineRefusal(true))
		return
	}
	mc.refuseExpired(now, fl)
	if len(fl.waiters) > 0 || mc.settings.disabled.abandon {
		mc.start(fl)
	}
}

func (mc *Machine) start(fl *flight) {
	fl.phase = phaseRunning
	if len(fl.waiters) > 0 {
		fl.runRequest = fl.waiters[0].request
	}
	mc.running[fl.runRequest] = fl
	mc.emit(Run{Request: fl.runRequest})
}

func (mc *Machine) replyAll(fl *flight, outcome Outcome) {
	for _, wt := range fl.waiters {
		delete(mc.keys, wt.request)
		mc.emit(Reply{Request: wt.request, Outcome: outcome})
	}
	fl.waiters = nil
	mc.drop(fl)
}

func (mc *Machine) refuseAll(now time.Time, fl *flight, refusal *chestnutroad.Refusal) {
	mc.refuseEach(fl, refusal)
	mc.abandonClaim(now, fl)
	mc.drop(fl)
}

func (mc *Machine) refuseEach(fl *flight, refusal *chestnutroad.Refusal) {
	for _, wt := range fl.waiters {
		delete(mc.keys, wt.request)
		copied := *refusal
		mc.refuse(wt.request, &copied)
	}
	fl.waiters = nil
}
