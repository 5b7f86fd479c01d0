package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Notice is a target's statement in an answer about whether it accepts further requests.
type Notice struct {
	// Leaving is true when the target is shutting down.
	Leaving bool
	// RetryAfter is the remaining time for which the target refuses requests; zero when it accepts them.
	RetryAfter time.Duration
}

// noticeTTL is the minimum time for which the notice of an unregistered target is kept, counted from its last update. Entries
// that expire during an outage of the store come back afterwards, also for a target that has left.
const noticeTTL = 10 * time.Minute

// notice holds what one incarnation of a target stated to this host. It applies until a new incarnation is registered.
type notice struct {
	entry     chestnutroad.TargetEntry
	leaving   bool
	holdUntil time.Time
	updatedAt time.Time
}

// retryAfter returns the remaining time for which the target refuses requests from this host.
func (nt *notice) retryAfter(now time.Time) time.Duration {
	if nt == nil {
		return 0
	}
	return max(0, nt.holdUntil.Sub(now))
}

// RecordNotice records a notice from the incarnation of a target that the entry describes. It reports whether the target
// now leaves, or refuses requests, and did not do so before. The notice is ignored when another incarnation is registered,
// or when none is registered and a later incarnation has already given a notice.
func (pl *Pool) RecordNotice(now time.Time, entry *chestnutroad.TargetEntry, received Notice) bool {
	tg := pl.targets[entry.ID]
	if !received.Leaving && received.RetryAfter <= 0 || tg != nil && !tg.entry.SameIncarnation(entry) {
		return false
	}
	nt := pl.notices[entry.ID]
	if tg == nil && nt != nil && nt.entry.Incarnation > entry.Incarnation {
		return false
	}
	if nt == nil || !nt.entry.SameIncarnation(entry) {
		pl.expireNotices(now)
		nt = &notice{entry: *entry}
		pl.notices[entry.ID] = nt
	}
	changed := received.Leaving && !nt.leaving || received.RetryAfter > 0 && nt.retryAfter(now) == 0
	nt.leaving = nt.leaving || received.Leaving
	if until := now.Add(received.RetryAfter); until.After(nt.holdUntil) {
		nt.holdUntil = until
	}
	nt.updatedAt = now
	if tg != nil {
		tg.notice = nt
	}
	return changed
}

// expireNotices drops notices without a registered target that are older than noticeTTL and whose time of refusal
// has ended.
func (pl *Pool) expireNotices(now time.Time) {
	for id, nt := range pl.notices {
		if pl.targets[id] == nil && now.Sub(nt.updatedAt) > noticeTTL && nt.retryAfter(now) == 0 {
			delete(pl.notices, id)
		}
	}
}

// attachNotice links a newly registered target to an earlier notice of the same incarnation, and drops a notice of another
// one.
func (pl *Pool) attachNotice(tg *target) {
	nt := pl.notices[tg.entry.ID]
	if nt == nil {
		return
	}
	if !nt.entry.SameIncarnation(&tg.entry) {
		delete(pl.notices, tg.entry.ID)
		return
	}
	tg.notice = nt
}

// Notices returns the notices to this host that still apply, to be sent to other hosts.
func (pl *Pool) Notices(now time.Time) map[chestnutroad.TargetID]Notice {
	notices := map[chestnutroad.TargetID]Notice{}
	for id, nt := range pl.notices {
		if remaining := nt.retryAfter(now); nt.leaving || remaining > 0 {
			notices[id] = Notice{Leaving: nt.leaving, RetryAfter: remaining}
		}
	}
	return notices
}

// SetPeerNotices replaces the notices that targets gave to other hosts.
func (pl *Pool) SetPeerNotices(now time.Time, notices map[chestnutroad.TargetID]Notice) {
	for id, tg := range pl.targets {
		received := notices[id]
		tg.peerLeaving, tg.peerHoldUntil = received.Leaving, now.Add(received.RetryAfter)
	}
}

// leaving reports whether the target leaves, by its entry or a notice to this or another host.
func (tg *target) leaving() bool {
	return tg.entry.Leaving || tg.peerLeaving || tg.notice != nil && tg.notice.leaving
}

// acceptingTargets returns the targets that accept requests from this host, and the shortest time after which one of the
// others does. A target that refused a request of this host for a time gets none before, even when there is no other:
// retries would be refused as well and keep it busy.
func acceptingTargets(now time.Time, targets []*target) (accepting []*target, retryAfter time.Duration) {
	for _, tg := range targets {
		remaining := tg.notice.retryAfter(now)
		if remaining == 0 {
			accepting = append(accepting, tg)
		} else if retryAfter == 0 || remaining < retryAfter {
			retryAfter = remaining
		}
	}
	return accepting, retryAfter
}

// RetryAfter returns the time until a target of the service accepts requests from this host; zero when one does now or the
// service has no usable target.
func (pl *Pool) RetryAfter(now time.Time, service chestnutroad.ServiceID) time.Duration {
	var usable []*target
	for _, tg := range pl.services[service] {
		if tg.usable() {
			usable = append(usable, tg)
		}
	}
	accepting, retryAfter := acceptingTargets(now, usable)
	if len(accepting) > 0 {
		return 0
	}
	return retryAfter
}
