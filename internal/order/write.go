package order

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/record"
)

// writeState is the progress of an outcome or release on its way into the log.
type writeState int

const (
	writeQueued writeState = iota
	writeSent
	// writeInDoubt means that the result of the append is unknown. The entry is appended again; a duplicate has no effect.
	writeInDoubt
	// writeStored means that the entry is in the log but has not been read back.
	writeStored
)

// pendingWrite is an outcome or a release that is not yet read back from the log.
type pendingWrite struct {
	key       Key
	entry     record.Entry
	state     writeState
	batch     BatchID
	sentAt    time.Time
	createdAt time.Time
	// expiresMs is the log time, in Unix milliseconds, from which on an outcome is no longer needed.
	expiresMs int64
}

// done reports whether the table reflects the write, or whether an outcome is obsolete because its claim has expired. The
// absence of the claim proves nothing, since the table may have been rebuilt from an older snapshot.
func (wr *pendingWrite) done(tb *table) bool {
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

func anyUnstored(writes map[Key]*pendingWrite) bool {
	for _, wr := range writes {
		if wr.state != writeStored {
			return true
		}
	}
	return false
}

// sortedKeys returns the keys in ascending order, so that equal inputs yield equal appends.
func sortedKeys(writes map[Key]*pendingWrite) []Key {
	keys := make([]Key, 0, len(writes))
	for key := range writes {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
