package member

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// disputeAfter is the age from which a death is verified again when another host reports the dead host as alive; a
// younger one is most likely news that the other host has not heard yet.
const disputeAfter = 5 * time.Second

// suspect starts the time in which the host can refute. Only the member whose own probe failed probes the host again
// at once: if all members did, the answers of a live host would go over its budget and be taken for silence.
func (mb *Member) suspect(now time.Time, en *entry, firstHand bool) {
	en.state = Suspect
	en.since = now
	en.firstHand = firstHand
	en.confirmed = false
	en.unanswered = firstHand
	en.verifyAt = time.Time{}
	if firstHand {
		en.verifyAt = now
	}
	mb.changed(en)
	mb.enqueue(en.record(), false)
}

// confirmIf notes that another member declared the suspected host dead.
func (mb *Member) confirmIf(now time.Time, en *entry, dead bool) {
	if en.confirmed || !dead {
		return
	}
	en.confirmed = true
	if !en.unanswered {
		en.verifyAt = now
	}
}

func (mb *Member) declareDead(now time.Time, en *entry) {
	en.state = Dead
	en.since = now
	en.disputedAt = now
	en.checkedAt = now
	en.verifyAt = time.Time{}
	mb.changed(en)
	mb.enqueue(en.record(), false)
}

func (mb *Member) revive(now time.Time, en *entry) {
	en.state = Alive
	en.since = now
	en.verifyAt = time.Time{}
}

// checkSuspects declares dead those that ran out of time and probes suspected and disputed hosts again, the one that
// has waited longest first.
func (mb *Member) checkSuspects(now time.Time, sends []Send) []Send {
	var due []*entry
	for _, id := range mb.troubled {
		en := mb.hosts[id]
		if en.state == Suspect && mb.outOfTime(now, en) {
			mb.declareDead(now, en)
		}
		if en.state == Suspect && mb.unverified(now, en) {
			en.verifyAt = now
		}
		if en.state != Alive && !en.verifyAt.IsZero() && !now.Before(en.verifyAt) {
			due = append(due, en)
		}
	}
	slices.SortStableFunc(due, func(one, two *entry) int { return one.verifyAt.Compare(two.verifyAt) })
	for _, en := range due {
		if mb.verifyTokens < 1 {
			break
		}
		mb.verifyTokens--
		en.verifyAt = time.Time{}
		en.verifying = true
		sends = append(sends, mb.ping(now, en, true))
	}
	return sends
}

// outOfTime reports whether a suspicion holds. A suspicion heard from another host has twice the time, because its
// refutation may take as long to arrive as the suspicion did, and needs a failed probe of this member's own.
func (mb *Member) outOfTime(now time.Time, en *entry) bool {
	if !en.unanswered {
		return false
	}
	age := now.Sub(en.since)
	if en.firstHand {
		return age >= mb.settings.suspicionTimeout
	}
	return en.confirmed || age >= 2*mb.settings.suspicionTimeout
}

// unverified reports whether a suspicion heard from another host has run out without a probe of this member's own.
func (mb *Member) unverified(now time.Time, en *entry) bool {
	return !en.firstHand && !en.unanswered && en.verifyAt.IsZero() && !en.verifying &&
		now.Sub(en.since) >= 2*mb.settings.suspicionTimeout
}

// dispute has a dead host probed again because it was reported alive.
func (mb *Member) dispute(now time.Time, en *entry, direct bool) {
	if !direct && now.Sub(en.since) < disputeAfter {
		return
	}
	if now.Sub(en.disputedAt) < disputeInterval && !direct {
		return
	}
	en.disputedAt = now
	if en.verifyAt.IsZero() {
		en.verifyAt = now
	}
}

// refute answers an accusation against the member's own host.
func (mb *Member) refute(rc *Record) {
	accused := rc.Incarnation() > mb.self.Incarnation || rc.State != Alive || rc.Leaving && !mb.leaving
	if rc.Incarnation() < mb.self.Incarnation || !accused || !mb.settings.refute {
		return
	}
	// A live host with this id at another address replaced this one.
	if rc.State == Alive && rc.Host.PeerAddress != mb.self.PeerAddress {
		return
	}
	mb.raiseIncarnation(rc.Incarnation())
}

// Incarnation returns the incarnation of the host that the record is about.
func (rc *Record) Incarnation() chestnutroad.Incarnation { return rc.Host.Incarnation }
