package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// resolve brings a flight that isn't running in line with what the log says of its key.
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

// abandoned reports whether the key is held by a claim of this host that it has given up before the order ran. It must
// not be called while the order is running here. A claim that has run has an outcome, which stays in outcomes until it
// is read back. If the table is behind that, the release comes later in the log than the outcome and has no effect.
func (mc *Machine) abandoned(key Key, en *entry) bool {
	return en.claimed() && mc.isOwn(en.claimant) && en.outcome == nil && mc.outcomes[key] == nil
}

// releaseAbandoned frees the key of an abandoned claim that was read, unless a release waits for its append. A release
// that was appended before may have been too early and have expired, so it is repeated.
func (mc *Machine) releaseAbandoned(now time.Time, key Key, claim record.Claimant) {
	wr := mc.releases[key]
	switch {
	case wr == nil || wr.entry.Claimant.Sequence < claim.Sequence:
		mc.release(now, key, claim)
	case wr.state == writeInDoubt || wr.state == writeStored:
		mc.queue.addWrite(wr)
	}
}

// resolveUnclaimed claims the key, unless a claim is already on its way and may still win.
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
	mc.scheduleExpiry(now.Add(mc.set.appendTimeout))
}

// resolveUnknown handles a key whose order may have run without a known answer.
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

// resolveClaimed waits for the answer of another host. A claim of our own that hasn't been read back stays under way,
// since the other host may release the key before it.
func (mc *Machine) resolveClaimed(fl *flight, en *entry) {
	if fl.phase == phaseSent && !en.isBarred(fl.claim) {
		return
	}
	fl.phase = phaseWaiting
}

// run sends the order to a target if a request still waits for it.
func (mc *Machine) run(now time.Time, fl *flight) {
	if !now.Before(fl.created.Add(mc.set.maxOrderTime)) {
		mc.refuseAll(now, fl, deadlineRefusal(true))
		return
	}
	mc.refuseExpired(now, fl)
	if len(fl.waiters) > 0 || mc.set.disabled.abandon {
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
