package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// maxMessageItems limits the evidence in one message: 24 items take 0.5 KB as text, and the rest follows with the next one.
	maxMessageItems = 24
	// maxRepeatedCrashes limits the crashes of a subject that are sent again; firmCrashes of them decide.
	maxRepeatedCrashes = 8
	// repeatInterval is the time after which a crash is sent a second time, and those of a suspect are sent again and again, for
	// hosts that start or return from a network partition, unless another host has done so.
	repeatInterval = time.Second
)

// Take returns the evidence to send to other hosts now: what is new, and suspects that were not repeated for a while.
func (tr *Tracker) Take(now time.Time) []chestnutroad.CrashEvidence {
	tr.expire(now)
	var hashes []chestnutroad.SubjectHash
	for hash, sb := range tr.subjects {
		if sb.statementDue || sb.hasUnsent(now) || tr.repeatDue(now, sb) {
			hashes = append(hashes, hash)
		}
	}
	tr.sortByCrashes(hashes)
	var items []chestnutroad.CrashEvidence
	for _, hash := range hashes {
		items = tr.takeNew(now, hash, items)
	}
	for _, hash := range hashes {
		sb := tr.subjects[hash]
		if !tr.repeatDue(now, sb) {
			continue
		}
		repeated := sb.crashes[max(0, len(sb.crashes)-maxRepeatedCrashes):]
		if len(items)+len(repeated) > maxMessageItems {
			break
		}
		for _, cr := range repeated {
			items = append(items, chestnutroad.CrashEvidence{Subject: hash, Crash: cr.id, Age: now.Sub(cr.at)})
		}
		sb.repeatedAt = now
	}
	return items
}

// sortByCrashes sorts subjects so that those with the most crashes come first, and the order is the same each time.
func (tr *Tracker) sortByCrashes(hashes []chestnutroad.SubjectHash) {
	slices.SortFunc(hashes, func(a, b chestnutroad.SubjectHash) int {
		return cmp.Or(cmp.Compare(len(tr.subjects[b].crashes), len(tr.subjects[a].crashes)), cmp.Compare(a, b))
	})
}

// repeatDue reports whether the crashes of the subject are to be sent again.
func (tr *Tracker) repeatDue(now time.Time, sb *subject) bool {
	return len(sb.crashes) >= minCrashes && now.Sub(sb.repeatedAt) >= repeatInterval && tr.meetsThreshold(now, sb)
}

// hasUnsent reports whether a crash is to be sent now.
func (sb *subject) hasUnsent(now time.Time) bool {
	return slices.ContainsFunc(sb.unsent, func(us unsentCrash) bool { return !us.due.After(now) })
}

// takeNew appends the new evidence about a subject as long as there is room for it.
func (tr *Tracker) takeNew(now time.Time, hash chestnutroad.SubjectHash, items []chestnutroad.CrashEvidence) []chestnutroad.CrashEvidence {
	sb := tr.subjects[hash]
	if sb.statementDue && len(items) < maxMessageItems {
		items = append(items, chestnutroad.CrashEvidence{Subject: hash, Age: now.Sub(tr.served.lastUse(hash))})
		sb.statementDue = false
	}
	pending := sb.unsent[:0]
	for _, us := range sb.unsent {
		index := slices.IndexFunc(sb.crashes, func(cr crash) bool { return cr.id == us.id })
		switch {
		case index < 0:
		case us.due.After(now) || len(items) >= maxMessageItems:
			pending = append(pending, us)
		default:
			items = append(items, chestnutroad.CrashEvidence{Subject: hash, Crash: us.id, Age: now.Sub(sb.crashes[index].at)})
			if !us.last {
				pending = append(pending, unsentCrash{id: us.id, due: now.Add(repeatInterval), last: true})
			}
		}
	}
	sb.unsent = pending
	return items
}

// Merge adds the evidence of another host. Its order and repetition make no difference: a crash keeps its earliest time, and a
// subject the latest time at which it was served. Negative and very old ages are ignored.
func (tr *Tracker) Merge(now time.Time, items []chestnutroad.CrashEvidence) {
	heard := map[chestnutroad.SubjectHash]int{}
	for _, item := range items {
		if item.Age < 0 || item.Age > 2*maxRefusal {
			continue
		}
		sb := tr.track(now, item.Subject)
		if sb == nil {
			continue
		}
		if item.Crash == 0 {
			sb.clear(now.Add(-item.Age))
			continue
		}
		heard[item.Subject]++
		tr.mergeCrash(now, sb, item)
	}
	for hash, count := range heard {
		if sb := tr.subjects[hash]; sb != nil && count >= min(len(sb.crashes), maxRepeatedCrashes) {
			sb.repeatedAt = now
		}
	}
}

// mergeCrash adds a crash that another host reported. If this host has served the subject, the others are told when.
func (tr *Tracker) mergeCrash(now time.Time, sb *subject, item chestnutroad.CrashEvidence) {
	if own := tr.served.lastUse(item.Subject); own.After(sb.servedAt) && now.Sub(own) < provenWindow {
		sb.clear(own)
		sb.statementDue = true
	}
	sb.addCrash(item.Crash, now.Add(-item.Age))
}
