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
	// maxRepeatedCrashes limits the crashes of a part that are sent again; firmCrashes of them decide.
	maxRepeatedCrashes = 8
	// repeatInterval is the time after which a crash is sent a second time, and those of a suspect are sent again and again, for
	// hosts that start or return from a network partition, unless another host has done so.
	repeatInterval = time.Second
)

// Take returns the evidence to send to other hosts now: what is new, and suspects that were not repeated for a while.
func (tr *Tracker) Take(now time.Time) []chestnutroad.PartEvidence {
	tr.expire(now)
	var hashes []chestnutroad.PartHash
	for hash, pt := range tr.parts {
		if pt.statementDue || pt.hasUnsent(now) || tr.repeatDue(now, pt) {
			hashes = append(hashes, hash)
		}
	}
	// The parts with the most crashes come first, and the order is the same each time.
	slices.SortFunc(hashes, func(a, b chestnutroad.PartHash) int {
		return cmp.Or(cmp.Compare(len(tr.parts[b].crashes), len(tr.parts[a].crashes)), cmp.Compare(a, b))
	})
	var items []chestnutroad.PartEvidence
	for _, hash := range hashes {
		items = tr.takeNew(now, hash, items)
	}
	for _, hash := range hashes {
		pt := tr.parts[hash]
		if !tr.repeatDue(now, pt) {
			continue
		}
		repeated := pt.crashes[max(0, len(pt.crashes)-maxRepeatedCrashes):]
		if len(items)+len(repeated) > maxMessageItems {
			break
		}
		for _, cr := range repeated {
			items = append(items, chestnutroad.PartEvidence{Part: hash, Crash: cr.id, Age: now.Sub(cr.at)})
		}
		pt.repeatedAt = now
	}
	return items
}

// repeatDue reports whether the crashes of the part are to be sent again.
func (tr *Tracker) repeatDue(now time.Time, pt *part) bool {
	return len(pt.crashes) >= minCrashes && now.Sub(pt.repeatedAt) >= repeatInterval && tr.meetsThreshold(now, pt)
}

// hasUnsent reports whether a crash is to be sent now.
func (pt *part) hasUnsent(now time.Time) bool {
	return slices.ContainsFunc(pt.unsent, func(us unsentCrash) bool { return !us.due.After(now) })
}

// takeNew appends the new evidence about a part as long as there is room for it.
func (tr *Tracker) takeNew(now time.Time, hash chestnutroad.PartHash, items []chestnutroad.PartEvidence) []chestnutroad.PartEvidence {
	pt := tr.parts[hash]
	if pt.statementDue && len(items) < maxMessageItems {
		items = append(items, chestnutroad.PartEvidence{Part: hash, Age: now.Sub(tr.served.lastUse(hash))})
		pt.statementDue = false
	}
	pending := pt.unsent[:0]
	for _, us := range pt.unsent {
		index := slices.IndexFunc(pt.crashes, func(cr crash) bool { return cr.id == us.id })
		switch {
		case index < 0:
		case us.due.After(now) || len(items) >= maxMessageItems:
			pending = append(pending, us)
		default:
			items = append(items, chestnutroad.PartEvidence{Part: hash, Crash: us.id, Age: now.Sub(pt.crashes[index].at)})
			if !us.last {
				pending = append(pending, unsentCrash{id: us.id, due: now.Add(repeatInterval), last: true})
			}
		}
	}
	pt.unsent = pending
	return items
}

// Merge adds the evidence of another host. Its order and repetition make no difference: a crash keeps its earliest time, and a
// part the latest time at which it was served. Negative and very old ages are ignored.
func (tr *Tracker) Merge(now time.Time, items []chestnutroad.PartEvidence) {
	heard := map[chestnutroad.PartHash]int{}
	for _, item := range items {
		if item.Age < 0 || item.Age > 2*maxRefusal {
			continue
		}
		pt := tr.track(now, item.Part)
		if pt == nil {
			continue
		}
		if item.Crash == 0 {
			pt.clear(now.Add(-item.Age))
			continue
		}
		heard[item.Part]++
		tr.mergeCrash(now, pt, item)
	}
	for hash, count := range heard {
		if pt := tr.parts[hash]; pt != nil && count >= min(len(pt.crashes), maxRepeatedCrashes) {
			pt.repeatedAt = now
		}
	}
}

// mergeCrash adds a crash that another host reported. If this host has served the part, the others are told when.
func (tr *Tracker) mergeCrash(now time.Time, pt *part, item chestnutroad.PartEvidence) {
	if own := tr.served.lastUse(item.Part); own.After(pt.servedAt) && now.Sub(own) < provenWindow {
		pt.clear(own)
		pt.statementDue = true
	}
	pt.addCrash(item.Crash, now.Add(-item.Age))
}
