package order

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/record"
)

// pendingWrite says how far an outcome or release is on its way into the log.
type pendingWrite int

const (
	writeQueued pendingWrite = iota
	writeSent
	// writeInDoubt means that the append's result is unknown; the entry is sent again, which does no harm.
	writeInDoubt
	// writeStored means that the entry is in the log but has not been read back.
	writeStored
)

// write is an outcome or a release that has to get into the log.
type write struct {
	key       Key
	entry     record.Entry
	state     pendingWrite
	batch     BatchID
	sentAt    time.Time
	createdAt time.Time
	// expiresMs is the log time, in milliseconds, from which on an outcome no longer matters.
	expiresMs int64
}

// done reports whether the table shows what the write says, or that it no longer matters. A table that was rebuilt from
// an older base isn't proof of the latter, so the claim's own expiry decides.
func (wr *write) done(tb *table) bool {
	if wr.entry.Type == record.EntryOutcome && tb.clockMs >= wr.expiresMs {
		return true
	}
	en := tb.live(wr.key)
	if en == nil {
		return false
	}
	if wr.entry.Type == record.EntryRelease {
		return en.isBarred(wr.entry.Claimant) && !en.releasedBy(wr.entry.Claimant)
	}
	if en.claimant != wr.entry.Claimant {
		return false
	}
	return en.answered() || wr.entry.Outcome.Unknown && en.outcome != nil
}

func anyUnstored(writes map[Key]*write) bool {
	for _, wr := range writes {
		if wr.state != writeStored {
			return true
		}
	}
	return false
}

// sortedKeys returns the keys in a fixed order, so that equal inputs give equal appends.
func sortedKeys(writes map[Key]*write) []Key {
	keys := make([]Key, 0, len(writes))
	for key := range writes {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
