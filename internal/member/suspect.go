package member

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// recheckMinAge is the age from which a death is verified again when another host reports the dead host alive. A more
// recent death has most likely not reached the other host yet.
const recheckMinAge = 5 * time.Second

// suspect marks the host as suspect and starts the time in which it can refute. Only the member whose own probe failed
// probes the host again at once: if all members did, the answers of a live host would exceed its budget, and their absence
// would look like a failure.
func (mb *Member) suspect(now time.Time, en *hostEntry, detectedLocally bool) {
	en.state = Suspect
	en.stateSince = now
	en.detectedLocally = detectedLocally
	en.confirmed = false
	en.verifyFailed = detectedLocally
	en.verifyAt = time.Time{}
	if detectedLocally {
		en.verifyAt = now
	}
	mb.entryChanged(en)
	mb.enqueue(en.record(), false)
}

// confirmSuspicion records that another member declared the suspected host dead, and verifies it unless a probe has failed
// already.
func (mb *Member) confirmSuspicion(now time.Time, en *hostEntry, dead bool) {
	if en.confirmed || !dead {
		return
	}
	en.confirmed = true
	if !en.verifyFailed {
		en.verifyAt = now
	}
}

func (mb *Member) declareDead(now time.Time, en *hostEntry) {
	en.state = Dead
	en.stateSince = now
	en.recheckedAt = now
	en.lastFailedAt = now
	en.verifyAt = time.Time{}
	mb.entryChanged(en)
	mb.enqueue(en.record(), false)
}

func (mb *Member) markAlive(now time.Time, en *hostEntry) {
	en.state = Alive
	en.stateSince = now
	en.verifyAt = time.Time{}
}

// checkSuspects declares hosts dead whose suspicion has expired, and sends the verification probes that are due, the one
// that has been due longest first.
func (mb *Member) checkSuspects(now time.Time, sends []Send) []Send {
	var due []*hostEntry
	for _, id := range mb.unhealthy {
		en := mb.hosts[id]
		if en.state == Suspect && mb.suspicionExpired(now, en) {
			mb.declareDead(now, en)
		}
		if en.state == Suspect && mb.needsVerification(now, en) {
			en.verifyAt = now
		}
		if en.state != Alive && !en.verifyAt.IsZero() && !now.Before(en.verifyAt) {
			due = append(due, en)
		}
	}
	slices.SortStableFunc(due, func(a, b *hostEntry) int { return a.verifyAt.Compare(b.verifyAt) })
	for _, en := range due {
		if mb.verifyTokens < 1 {
			break
		}
		mb.verifyTokens--
		en.verifyAt = time.Time{}
		en.verifyPending = true
		sends = append(sends, mb.ping(now, en, true))
	}
	return sends
}

// suspicionExpired reports whether to declare a suspected host dead, which needs a failed probe of this member's own. A
// suspicion learned from another host lasts twice as long, because its refutation may take as long to arrive as the
// suspicion did. If another member has declared the host dead, the failed probe is enough.
func (mb *Member) suspicionExpired(now time.Time, en *hostEntry) bool {
	if !en.verifyFailed {
		return false
	}
	age := now.Sub(en.stateSince)
	if en.detectedLocally {
		return age >= mb.settings.suspicionTimeout
	}
	return en.confirmed || age >= 2*mb.settings.suspicionTimeout
}

// needsVerification reports whether a suspicion learned from another host has lasted its full time without a
// scheduled, pending or failed probe of this member's own.
func (mb *Member) needsVerification(now time.Time, en *hostEntry) bool {
	return !en.detectedLocally && !en.verifyFailed && en.verifyAt.IsZero() && !en.verifyPending &&
		now.Sub(en.stateSince) >= 2*mb.settings.suspicionTimeout
}

// scheduleRecheck schedules a probe of a dead host that was reported alive. A message from the host itself (direct) does so
// at any age of the death and more often than every recheckInterval.
func (mb *Member) scheduleRecheck(now time.Time, en *hostEntry, direct bool) {
	if !direct && now.Sub(en.stateSince) < recheckMinAge {
		return
	}
	if now.Sub(en.recheckedAt) < recheckInterval && !direct {
		return
	}
	en.recheckedAt = now
	if en.verifyAt.IsZero() {
		en.verifyAt = now
	}
}

// refute raises the member's own incarnation if a record about its host is wrong: if it has a higher incarnation or, at the
// same one, a state other than Alive or a leaving that was not announced.
func (mb *Member) refute(rc *Record) {
	contradicts := rc.Incarnation() > mb.self.Incarnation || rc.State != Alive || rc.Leaving && !mb.leaving
	if rc.Incarnation() < mb.self.Incarnation || !contradicts || !mb.settings.refute {
		return
	}
	// A live host with the same id at another address is the replacement of this host.
	if rc.State == Alive && rc.Host.PeerAddress != mb.self.PeerAddress {
		return
	}
	mb.raiseIncarnation(rc.Incarnation())
}

// Incarnation returns the incarnation of the host that the record is about.
func (rc *Record) Incarnation() chestnutroad.Incarnation { return rc.Host.Incarnation }
