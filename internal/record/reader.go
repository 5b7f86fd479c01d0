package record

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// FirstOffset is the offset of the first record of a stream.
const FirstOffset chestnutroad.Offset = 0

const (
	// snapshotDivisor makes a snapshot due when the oldest record that none covers has reached half the log's retention time.
	snapshotDivisor = 2
	// maxLagDivisor makes a reader that last reached the end of the log more than a quarter of the retention time ago leave
	// the snapshot to another host.
	maxLagDivisor = 4
)

// snapshotRetryDelay is the time after which a snapshot that has not appeared in the log is written again.
const snapshotRetryDelay = time.Minute

// State is a state derived from the records of one stream. It must depend on these records only.
type State interface {
	// Apply updates the state by the next record in log order.
	Apply(rec chestnutroad.Record)
	// Load replaces the state by the one in a snapshot's payload; on an error it leaves the state unchanged.
	Load(payload []byte) error
	// Payload returns the encoded state for a snapshot.
	Payload() []byte
	// Reset empties the state.
	Reset()
}

// Reader applies a stream's records to a state without gaps and finds a base for the state.
//
// A state is valid when it reflects every record below the next offset. A reader that starts empty is valid when the log
// still has the stream's first record. Otherwise its base is a complete snapshot whose Through + 1 is not below the log's
// oldest offset, and it continues at Through + 1.
type Reader struct {
	// snapshotType is the type of the records that contain parts of snapshots.
	snapshotType Type
	state        State
	next         chestnutroad.Offset
	// oldest is the highest oldest offset that the log has reported.
	oldest chestnutroad.Offset
	// hasBase is true while the state reflects every record below next.
	hasBase bool
	// caughtUp is true once a reader with a base has reached the end of the log or imported a peer's state.
	caughtUp bool
	// caughtUpAt is when the reader, or the peer that the state was imported from, was last at the end of the log.
	caughtUpAt time.Time
	assemblies assemblies
	// uncoveredSince is the log time of the first record that no complete snapshot in the log covers, or an earlier time.
	uncoveredSince time.Time
	// writtenAt is when this reader last encoded a snapshot for the log.
	writtenAt time.Time
	// ignoreGaps turns the check for gaps off; tests use it to show that the check is needed.
	ignoreGaps bool
}

// NewReader returns a reader that starts empty; records of the snapshot type contain the snapshots of its state.
func NewReader(snapshotType Type, state State) *Reader {
	return &Reader{snapshotType: snapshotType, state: state, next: FirstOffset}
}

// IgnoreGaps makes the reader accept gaps in the records and snapshots that are followed by a gap. It exists for the baseline
// in tests.
func (rd *Reader) IgnoreGaps() { rd.ignoreGaps = true }

// NextOffset returns the offset to read the next batch from.
func (rd *Reader) NextOffset() chestnutroad.Offset { return rd.next }

// HasBase reports whether the state reflects every record below NextOffset.
func (rd *Reader) HasBase() bool { return rd.hasBase }

// Ready reports whether the state is valid and has reached the end of the log once or was imported from a peer.
func (rd *Reader) Ready() bool { return rd.hasBase && rd.caughtUp }

// ApplyBatch applies the records of a batch. It reports whether a snapshot replaced the state or a gap reset a valid one. After
// a snapshot it ignores the rest of the batch, since reading continues at NextOffset.
func (rd *Reader) ApplyBatch(now time.Time, batch chestnutroad.Batch) bool {
	rd.oldest = max(rd.oldest, batch.Oldest)
	reset := rd.checkGap(batch)
	rd.assemblies.dropBefore(rd.oldest)
	for _, rec := range batch.Records {
		if rec.Offset != rd.next {
			continue
		}
		rd.next++
		if rd.applyRecord(rec) {
			return true
		}
	}
	if rd.hasBase && rd.next >= batch.Next {
		rd.caughtUp = true
		rd.caughtUpAt = now
	}
	return reset
}

// checkGap gives an empty reader its base when the log still has the stream's first record. When records that the reader needs
// have expired, it moves the reader to the log's oldest record and reports whether a valid state was lost.
func (rd *Reader) checkGap(batch chestnutroad.Batch) bool {
	if batch.Oldest <= rd.next {
		if !rd.hasBase && rd.next == FirstOffset {
			rd.hasBase = true
		}
		return false
	}
	rd.next = batch.Oldest
	if rd.ignoreGaps && rd.hasBase {
		return false
	}
	lostBase := rd.hasBase
	rd.hasBase = false
	rd.caughtUp = false
	rd.state.Reset()
	return lostBase
}

// applyRecord processes one record and reports whether it completed a snapshot that became the base.
func (rd *Reader) applyRecord(rec chestnutroad.Record) bool {
	if rec.Offset == FirstOffset {
		rd.uncoveredSince = later(rd.uncoveredSince, rec.Appended)
	}
	if rd.hasBase {
		rd.state.Apply(rec)
	}
	if TypeOf(rec.Data) != rd.snapshotType {
		return false
	}
	part, err := DecodePart(rec.Data)
	if err != nil || part.Through >= rec.Offset {
		return false
	}
	return rd.addPart(part)
}

// addPart adds a part of a snapshot and reports whether it completed a snapshot that became the base. Snapshots that are
// followed by a gap are ignored.
func (rd *Reader) addPart(part *SnapshotPart) bool {
	if part.Through+1 < rd.oldest && !rd.ignoreGaps {
		return false
	}
	as := rd.assemblies.getOrCreate(part.id())
	if !as.add(part, !rd.hasBase) {
		return false
	}
	rd.assemblies.remove(as)
	rd.uncoveredSince = later(rd.uncoveredSince, part.Taken)
	if rd.hasBase {
		return false
	}
	return rd.loadSnapshot(as)
}

// loadSnapshot makes a complete snapshot the base and reports whether that succeeded.
func (rd *Reader) loadSnapshot(as *assembly) bool {
	payload, err := as.payload()
	if err != nil {
		return false
	}
	if err := rd.state.Load(payload); err != nil {
		return false
	}
	if !rd.ignoreGaps {
		rd.next = as.id.through + 1
	}
	rd.hasBase = true
	return true
}

// Import makes a peer's state the base if it is ahead of the reader's own and no record after it is known to have expired. It
// reports whether it did so. A gap that is not known yet is detected with the next batch.
func (rd *Reader) Import(snapshot Snapshot) bool {
	if rd.hasBase && snapshot.Through+1 <= rd.next || snapshot.Through+1 < rd.oldest {
		return false
	}
	if err := rd.state.Load(snapshot.Payload); err != nil {
		return false
	}
	rd.next = snapshot.Through + 1
	rd.uncoveredSince = later(rd.uncoveredSince, snapshot.Covered)
	rd.caughtUpAt = later(rd.caughtUpAt, snapshot.Taken)
	rd.caughtUp = true
	rd.hasBase = true
	return true
}

// Export returns the state for a peer, or false while the reader has no valid state.
func (rd *Reader) Export(writer Writer) (Snapshot, bool) {
	if !rd.hasBase {
		return Snapshot{}, false
	}
	return Snapshot{
		Writer: writer, Through: rd.next - 1, Taken: rd.caughtUpAt, Covered: rd.uncoveredSince, Payload: rd.state.Payload(),
	}, true
}

// WriteSnapshot returns the records of a snapshot for the caller to append to the log, or none while the reader has no valid
// state.
func (rd *Reader) WriteSnapshot(now time.Time, writer Writer) [][]byte {
	snapshot, found := rd.Export(writer)
	if !found {
		return nil
	}
	rd.writtenAt = now
	return EncodeSnapshot(rd.snapshotType, snapshot)
}

// SnapshotDue reports whether this reader should write a snapshot: the first record that no snapshot covers is at least half
// the retention time old, and the reader is up to date and wrote none within snapshotRetryDelay.
func (rd *Reader) SnapshotDue(now time.Time, retention time.Duration) bool {
	if !rd.Ready() || rd.uncoveredSince.IsZero() {
		return false
	}
	if now.Sub(rd.caughtUpAt) > retention/maxLagDivisor || now.Sub(rd.writtenAt) < snapshotRetryDelay {
		return false
	}
	return now.Sub(rd.uncoveredSince) >= retention/snapshotDivisor
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
