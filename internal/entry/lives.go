package entry

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// tombstoneTTL is how long the end of a target's life is remembered: copies of the store are some seconds old.
const tombstoneTTL = 10 * time.Minute

// incarnation is what the host has seen of the latest incarnation of a target.
type incarnation struct {
	started chestnutroad.Incarnation
	written uint64
	// era is that of the record which told of it last.
	era              chestnutroad.Era
	leaving, removed bool
	removedAt        time.Time
}

// incarnations are what a host has seen of the targets, across eras of the store. A copy of the store holds again what was true
// some seconds before: a target that left is ready in it, one that is gone is listed, and one that started anew under its id
// has its former life.
type incarnations struct {
	byID map[chestnutroad.TargetID]incarnation
}

func newIncarnations() *incarnations {
	return &incarnations{byID: map[chestnutroad.TargetID]incarnation{}}
}

// observe takes in an entry that the host believes, from a record of the era.
func (ls *incarnations) observe(entry *chestnutroad.TargetEntry, era chestnutroad.Era) {
	ls.byID[entry.ID] = incarnation{started: entry.Started, written: entry.Written, era: era, leaving: entry.Leaving}
}

// markRemoved takes in that the target's entry is gone.
func (ls *incarnations) markRemoved(now time.Time, id chestnutroad.TargetID) {
	for other, known := range ls.byID {
		if known.removed && now.Sub(known.removedAt) > tombstoneTTL {
			delete(ls.byID, other)
		}
	}
	if known, found := ls.byID[id]; found && !known.removed {
		known.removed, known.removedAt = true, now
		ls.byID[id] = known
	}
}

// outdated says whether an entry of a later era is older than what was seen of its target in an earlier one.
type outdated int

const (
	// notOutdated is an entry that tells something new, or of an era in which the target was seen.
	notOutdated outdated = iota
	// outdatedRemoved, outdatedLeaving and outdatedLive are entries that were written before the host saw that the target went, left,
	// or goes on.
	outdatedRemoved
	outdatedLeaving
	outdatedLive
)

// outdated reports whether the entry, from a record of the era, is one that an older copy of the store brought back.
func (ls *incarnations) outdated(entry *chestnutroad.TargetEntry, era chestnutroad.Era) outdated {
	known, found := ls.byID[entry.ID]
	if !found || era <= known.era || entry.Started > known.started {
		return notOutdated
	}
	earlier := entry.Started < known.started
	switch {
	case known.removed && (earlier || entry.Written <= known.written):
		return outdatedRemoved
	case known.leaving && (earlier || !entry.Leaving):
		return outdatedLeaving
	case !known.removed && (earlier || entry.Written < known.written):
		return outdatedLive
	}
	return notOutdated
}
