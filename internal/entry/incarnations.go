package entry

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// tombstoneTTL is the minimum time for which the incarnation of a removed target is kept; copies of the store are only some
// seconds old.
const tombstoneTTL = 10 * time.Minute

// incarnation is the last observed state of a target's latest incarnation.
type incarnation struct {
	started chestnutroad.Incarnation
	written uint64
	// era is the era of the last record of the target.
	era              chestnutroad.Era
	leaving, removed bool
	removedAt        time.Time
}

// incarnations hold the last observed incarnation of each target across eras of the store. After the store came back from an
// older copy, its entries are some seconds old: a leaving target is ready, a removed one is listed, and one that restarted
// under its id has its former incarnation.
type incarnations struct {
	byID map[chestnutroad.TargetID]incarnation
}

func newIncarnations() *incarnations {
	return &incarnations{byID: map[chestnutroad.TargetID]incarnation{}}
}

// observe stores the incarnation of an applied entry from a record of the era.
func (ic *incarnations) observe(entry *chestnutroad.TargetEntry, era chestnutroad.Era) {
	ic.byID[entry.ID] = incarnation{started: entry.Incarnation, written: entry.Sequence, era: era, leaving: entry.Leaving}
}

// markRemoved marks the target's incarnation as removed, and drops those that were removed more than tombstoneTTL ago.
func (ic *incarnations) markRemoved(now time.Time, id chestnutroad.TargetID) {
	for other, last := range ic.byID {
		if last.removed && now.Sub(last.removedAt) > tombstoneTTL {
			delete(ic.byID, other)
		}
	}
	if last, found := ic.byID[id]; found && !last.removed {
		last.removed, last.removedAt = true, now
		ic.byID[id] = last
	}
}

// outdated is the result of comparing an entry of a later era with the target's last observed incarnation.
type outdated int

const (
	// notOutdated is an entry that is current, or that is not of a later era than the last record of the target.
	notOutdated outdated = iota
	// outdatedRemoved, outdatedLeaving and outdatedLive are entries that are older than the observed removal, leaving, or latest
	// write of the target.
	outdatedRemoved
	outdatedLeaving
	outdatedLive
)

// outdated compares an entry, from a record of the era, with the target's last observed incarnation.
func (ic *incarnations) outdated(entry *chestnutroad.TargetEntry, era chestnutroad.Era) outdated {
	last, found := ic.byID[entry.ID]
	if !found || era <= last.era || entry.Incarnation > last.started {
		return notOutdated
	}
	earlier := entry.Incarnation < last.started
	switch {
	case last.removed && (earlier || entry.Sequence <= last.written):
		return outdatedRemoved
	case last.leaving && (earlier || !entry.Leaving):
		return outdatedLeaving
	case !last.removed && (earlier || entry.Sequence < last.written):
		return outdatedLive
	}
	return notOutdated
}
