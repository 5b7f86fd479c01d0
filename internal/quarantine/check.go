package quarantine

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Decision tells whether a request is refused.
type Decision struct {
	Refuse bool
	// Part is the id of the suspected part; it is empty when the whole request is suspected. Subject identifies either, and Crashes is
	// the number of targets known to have crashed under it.
	Part    string
	Subject chestnutroad.SubjectHash
	Crashes int
	// RetryAfter is the time until requests with the part may be admitted as trials; zero during the trials.
	RetryAfter time.Duration
}

// Check decides whether a request is refused because it, or one of its parts, is suspected of crashing targets. During trials, a
// growing share of the requests is admitted by the hash of their ids.
func (tr *Tracker) Check(now time.Time, rq *Request, id chestnutroad.RequestID) Decision {
	features := rq.features()
	for _, ft := range features {
		sb := tr.subjects[ft.hash]
		if sb == nil || !tr.isSuspect(now, sb) || !sb.whole && !tr.holdsGroup(now, sb, features) {
			continue
		}
		wait := sb.refusal() - now.Sub(sb.lastCrash())
		if wait <= 0 && trialHash(id) < tr.trialShare(-wait) {
			continue
		}
		return Decision{Refuse: true, Part: ft.name, Subject: ft.hash, Crashes: len(sb.crashes), RetryAfter: max(0, wait)}
	}
	return Decision{}
}

// Repeatable reports whether a request whose target crashed may be sent to another target: all of its shared parts were served
// within provenWindow and none is suspected, and no other target has crashed under it since it was last served.
func (tr *Tracker) Repeatable(now time.Time, rq *Request) bool {
	for _, ft := range rq.features() {
		sb, servedAt := tr.subjects[ft.hash], tr.served.lastUse(ft.hash)
		if ft.hash.Whole() {
			if sb != nil && len(sb.crashes) > 1 {
				return false
			}
			continue
		}
		if sb != nil {
			servedAt = later(servedAt, sb.servedAt)
		}
		if now.Sub(servedAt) >= provenWindow || sb != nil && tr.isSuspect(now, sb) {
			return false
		}
	}
	return true
}

// SuspectCount returns the number of suspected subjects.
func (tr *Tracker) SuspectCount(now time.Time) int {
	count := 0
	for _, sb := range tr.subjects {
		if tr.isSuspect(now, sb) {
			count++
		}
	}
	return count
}

// trialHash maps a request's id to a number from 0 to below 1.
func trialHash(id chestnutroad.RequestID) float64 {
	return float64(chestnutroad.HashID("trial/"+string(id))>>11) / (1 << 53)
}

// trialShare returns the share of the requests that are admitted at a time after the refusals: at first one of as many as there
// are hosts.
func (tr *Tracker) trialShare(elapsed time.Duration) float64 {
	return math.Exp2(float64(elapsed)/float64(trialDoubling)) / float64(tr.hosts)
}

// isSuspect reports whether the crashes of the subject suffice and no other suspect explains all of them and more.
func (tr *Tracker) isSuspect(now time.Time, sb *subject) bool {
	if !tr.meetsThreshold(now, sb) {
		return false
	}
	for _, other := range tr.subjects {
		if len(other.crashes) > len(sb.crashes) && other.covers(sb) && tr.meetsThreshold(now, other) {
			return false
		}
	}
	return true
}

// holdsGroup reports whether the prompt holds all suspects with the same crashes as the part. Requests with some of them only
// are admitted, which tells the parts apart.
func (tr *Tracker) holdsGroup(now time.Time, sb *subject, features []feature) bool {
	held := map[*subject]bool{}
	for _, ft := range features {
		held[tr.subjects[ft.hash]] = true
	}
	for _, other := range tr.subjects {
		if !held[other] && len(other.crashes) == len(sb.crashes) && other.covers(sb) && tr.meetsThreshold(now, other) {
			return false
		}
	}
	return true
}

// meetsThreshold reports whether the subject has enough crashes and the refusals and trials after them are not over.
func (tr *Tracker) meetsThreshold(now time.Time, sb *subject) bool {
	if len(sb.crashes) < minCrashes {
		return false
	}
	since := now.Sub(sb.lastCrash()) - sb.refusal()
	if since > 0 && tr.trialShare(since) >= 1 {
		return false
	}
	if sb.proven() && !sb.whole {
		return sb.firm() && sb.lastCrash().Sub(sb.crashes[0].at) >= provenSpread
	}
	return sb.distinctCrashes() >= minCrashes
}

// firm reports whether the crashes are so many that the subject is hardly a sound one.
func (sb *subject) firm() bool {
	if sb.whole {
		return len(sb.crashes) >= firmRequestCrashes && sb.distinctCrashes() >= firmRequestDistinct
	}
	return len(sb.crashes) >= firmCrashes && sb.distinctCrashes() >= firmDistinct
}

// proven reports whether the subject was served shortly before its first crash.
func (sb *subject) proven() bool { return sb.crashes[0].at.Sub(sb.servedAt) < provenWindow }

// covers reports whether all crashes of the other subject are also among those of this one.
func (sb *subject) covers(other *subject) bool {
	for _, cr := range other.crashes {
		if !sb.has(cr.id) {
			return false
		}
	}
	return true
}

// distinctCrashes counts the crashes; those within commonCauseWindow of the first of them count as one.
func (sb *subject) distinctCrashes() int {
	count := 0
	var first time.Time
	for _, cr := range sb.crashes {
		if count == 0 || cr.at.Sub(first) >= commonCauseWindow {
			first = cr.at
			count++
		}
	}
	return count
}

// refusal returns the time after the last crash for which all requests with the subject are refused.
func (sb *subject) refusal() time.Duration {
	if !sb.firm() {
		return weakRefusal
	}
	refusal := firmRefusal
	for index := 1; index < len(sb.crashes) && refusal < maxRefusal; index++ {
		if sb.crashes[index].at.Sub(sb.crashes[index-1].at) >= roundGap {
			refusal *= 2
		}
	}
	return refusal
}

// ttl returns how long the crashes are kept after the last one.
func (sb *subject) ttl() time.Duration { return max(evidenceTTL, 2*sb.refusal()) }
