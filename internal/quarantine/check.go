package quarantine

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Decision tells whether a request is refused.
type Decision struct {
	Refuse bool
	// Part is the id of the suspected part, and Crashes the number of targets known to have crashed under it.
	Part    string
	Crashes int
	// RetryAfter is the time until requests with the part may be admitted as trials; zero during the trials.
	RetryAfter time.Duration
}

// Check decides whether a request is refused because one of its parts is suspected of crashing targets. During trials, a growing
// share of the requests is admitted by the hash of their ids.
func (tr *Tracker) Check(now time.Time, parts []chestnutroad.PromptPart, id chestnutroad.RequestID) Decision {
	for _, pp := range shared(parts) {
		pt := tr.parts[hashOf(pp)]
		if pt == nil || !tr.isSuspect(now, pt) || !tr.holdsGroup(now, pt, parts) {
			continue
		}
		wait := pt.refusal() - now.Sub(pt.lastCrash())
		if wait <= 0 && trialHash(id) < tr.trialShare(-wait) {
			continue
		}
		return Decision{Refuse: true, Part: pp.ID, Crashes: len(pt.crashes), RetryAfter: max(0, wait)}
	}
	return Decision{}
}

// Repeatable reports whether a request whose target crashed may be sent to another target: all of its shared parts were served
// within provenWindow and none is suspected.
func (tr *Tracker) Repeatable(now time.Time, parts []chestnutroad.PromptPart) bool {
	for _, pp := range shared(parts) {
		hash := hashOf(pp)
		pt, servedAt := tr.parts[hash], tr.served.lastUse(hash)
		if pt != nil {
			servedAt = later(servedAt, pt.servedAt)
		}
		if now.Sub(servedAt) >= provenWindow || pt != nil && tr.isSuspect(now, pt) {
			return false
		}
	}
	return true
}

// SuspectCount returns the number of suspected parts.
func (tr *Tracker) SuspectCount(now time.Time) int {
	count := 0
	for _, pt := range tr.parts {
		if tr.isSuspect(now, pt) {
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

// isSuspect reports whether the crashes of the part suffice and no other suspect explains all of them and more.
func (tr *Tracker) isSuspect(now time.Time, pt *part) bool {
	if !tr.meetsThreshold(now, pt) {
		return false
	}
	for _, other := range tr.parts {
		if len(other.crashes) > len(pt.crashes) && other.covers(pt) && tr.meetsThreshold(now, other) {
			return false
		}
	}
	return true
}

// holdsGroup reports whether the prompt holds all suspects with the same crashes as the part. Requests with some of them only
// are admitted, which tells the parts apart.
func (tr *Tracker) holdsGroup(now time.Time, pt *part, parts []chestnutroad.PromptPart) bool {
	held := map[*part]bool{}
	for _, pp := range shared(parts) {
		held[tr.parts[hashOf(pp)]] = true
	}
	for _, other := range tr.parts {
		if !held[other] && len(other.crashes) == len(pt.crashes) && other.covers(pt) && tr.meetsThreshold(now, other) {
			return false
		}
	}
	return true
}

// meetsThreshold reports whether the part has enough crashes and the refusals and trials after them are not over.
func (tr *Tracker) meetsThreshold(now time.Time, pt *part) bool {
	if len(pt.crashes) < minCrashes {
		return false
	}
	since := now.Sub(pt.lastCrash()) - pt.refusal()
	if since > 0 && tr.trialShare(since) >= 1 {
		return false
	}
	if pt.proven() {
		return pt.firm() && pt.lastCrash().Sub(pt.crashes[0].at) >= provenSpread
	}
	return pt.distinctCrashes() >= minCrashes
}

// firm reports whether the crashes are so many that the part is hardly a sound one.
func (pt *part) firm() bool {
	return len(pt.crashes) >= firmCrashes && pt.distinctCrashes() >= firmDistinct
}

// proven reports whether the part was served shortly before its first crash.
func (pt *part) proven() bool { return pt.crashes[0].at.Sub(pt.servedAt) < provenWindow }

// covers reports whether all crashes of the other part are also among those of this one.
func (pt *part) covers(other *part) bool {
	for _, cr := range other.crashes {
		if !pt.has(cr.id) {
			return false
		}
	}
	return true
}

// distinctCrashes counts the crashes; those within commonCauseWindow of the first of them count as one.
func (pt *part) distinctCrashes() int {
	count := 0
	var first time.Time
	for _, cr := range pt.crashes {
		if count == 0 || cr.at.Sub(first) >= commonCauseWindow {
			first = cr.at
			count++
		}
	}
	return count
}

// refusal returns the time after the last crash for which all requests with the part are refused.
func (pt *part) refusal() time.Duration {
	if !pt.firm() {
		return weakRefusal
	}
	refusal := firmRefusal
	for index := 1; index < len(pt.crashes) && refusal < maxRefusal; index++ {
		if pt.crashes[index].at.Sub(pt.crashes[index-1].at) >= roundGap {
			refusal *= 2
		}
	}
	return refusal
}

// ttl returns how long the crashes are kept after the last one.
func (pt *part) ttl() time.Duration { return max(evidenceTTL, 2*pt.refusal()) }
