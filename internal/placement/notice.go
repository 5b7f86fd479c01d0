package placement

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Notice is what a target says of itself in its answers.
type Notice struct {
	// Leaving is true when the target leaves.
	Leaving bool
	// RetryAfter is how much longer the target wants no requests; zero when it takes them.
	RetryAfter time.Duration
}

// noticeTTL is how long a notice is kept after the target's entry has gone. Entries that lapse in an outage of the
// store come back for a target that has left as well.
const noticeTTL = 10 * time.Minute

// notice is what one life of a target said to this host, which is binding until a new life is registered.
type notice struct {
	entry   chestnutroad.TargetEntry
	leaving bool
	holdUntil   time.Time
	updatedAt time.Time
}

// retryAfter returns how much longer the target wants no requests from this host.
func (nt *notice) retryAfter(now time.Time) time.Duration {
	if nt == nil {
		return 0
	}
	return max(0, nt.holdUntil.Sub(now))
}

// RecordNotice takes in what the life of a target that the entry describes said in an answer, and reports whether it tells
// something new. An answer of an earlier life than the one that is registered, or that last said something, tells nothing.
func (pl *Pool) RecordNotice(now time.Time, entry *chestnutroad.TargetEntry, said Notice) bool {
	tg := pl.targets[entry.ID]
	if !said.Leaving && said.RetryAfter <= 0 || tg != nil && !tg.entry.SameLife(entry) {
		return false
	}
	known := pl.notices[entry.ID]
	if tg == nil && known != nil && known.entry.Started > entry.Started {
		return false
	}
	if known == nil || !known.entry.SameLife(entry) {
		pl.expireNotices(now)
		known = &notice{entry: *entry}
		pl.notices[entry.ID] = known
	}
	news := said.Leaving && !known.leaving || said.RetryAfter > 0 && known.retryAfter(now) == 0
	known.leaving = known.leaving || said.Leaving
	if until := now.Add(said.RetryAfter); until.After(known.holdUntil) {
		known.holdUntil = until
	}
	known.updatedAt = now
	if tg != nil {
		tg.notice = known
	}
	return news
}

// expireNotices drops the notices of targets whose entries have been gone for long.
func (pl *Pool) expireNotices(now time.Time) {
	for id, nt := range pl.notices {
		if pl.targets[id] == nil && now.Sub(nt.updatedAt) > noticeTTL && nt.retryAfter(now) == 0 {
			delete(pl.notices, id)
		}
	}
}

// attachNotice gives a target that was just registered what the same life said before, and forgets an earlier life's.
func (pl *Pool) attachNotice(tg *target) {
	known := pl.notices[tg.entry.ID]
	if known == nil {
		return
	}
	if !known.entry.SameLife(&tg.entry) {
		delete(pl.notices, tg.entry.ID)
		return
	}
	tg.notice = known
}

// Notices returns what targets have said to this host and what still holds, for other hosts.
func (pl *Pool) Notices(now time.Time) map[chestnutroad.TargetID]Notice {
	notices := map[chestnutroad.TargetID]Notice{}
	for id, nt := range pl.notices {
		if left := nt.retryAfter(now); nt.leaving || left > 0 {
			notices[id] = Notice{Leaving: nt.leaving, RetryAfter: left}
		}
	}
	return notices
}

// SetPeerNotices takes in what targets have said to other hosts, in place of what was taken in before.
func (pl *Pool) SetPeerNotices(now time.Time, notices map[chestnutroad.TargetID]Notice) {
	for id, tg := range pl.targets {
		said := notices[id]
		tg.peerLeaving, tg.peerHoldUntil = said.Leaving, now.Add(said.RetryAfter)
	}
}

// leaving reports whether the target's entry, the target itself or another host says that it leaves.
func (tg *target) leaving() bool {
	return tg.entry.Leaving || tg.peerLeaving || tg.notice != nil && tg.notice.leaving
}

// acceptingTargets returns the least time after which one of the targets takes requests again, and the targets that do now.
// A target that turned a request of this host away for a time gets none until then, not even when there is no other: the
// retries of callers would be turned away as well and keep it busy.
func acceptingTargets(now time.Time, targets []*target) (open []*target, wait time.Duration) {
	for _, tg := range targets {
		hold := tg.notice.retryAfter(now)
		if hold == 0 {
			open = append(open, tg)
		} else if wait == 0 || hold < wait {
			wait = hold
		}
	}
	return open, wait
}

// RetryAfter returns how long no target of the service takes requests from this host; zero when one does.
func (pl *Pool) RetryAfter(now time.Time, service chestnutroad.ServiceID) time.Duration {
	var usable []*target
	for _, tg := range pl.services[service] {
		if tg.usable() {
			usable = append(usable, tg)
		}
	}
	open, wait := acceptingTargets(now, usable)
	if len(open) > 0 {
		return 0
	}
	return wait
}
