package record

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// FirstOffset is the offset of the first record that a stream ever gets.
const FirstOffset chestnutroad.Offset = 0

// Shares of the log's retention time: a snapshot is due when the last one is older than half of it, and a reader that
// was last up to date more than a quarter of it ago leaves the snapshot to another host.
const (
	snapshotsPerRetention = 2
	laggingPerRetention   = 4
)

// snapshotRetry is how long a written snapshot may take to show up in the log before it is written again.
const snapshotRetry = time.Minute

// State is what a reader derives from the records of one stream; it must depend on nothing but these records.
type State interface {
	// Apply takes the next record in log order.
	Apply(rec chestnutroad.Record)
	// Load replaces the state by the one in a snapshot's payload; after an error the state is as before.
	Load(payload []byte) error
	// Payload returns the state for a snapshot.
	Payload() []byte
	// Reset empties the state.
	Reset()
}

// Reader feeds a stream's records to a state without gaps and finds a base for it.
//
// A state is valid when it covers every record below the next offset. A reader that starts empty is valid when the log
// still has the stream's first record. Otherwise it takes as base a complete snapshot whose Through + 1 is at or after
// the log's oldest offset, and reads on from Through + 1.
type Reader struct {
	kind  Type
	state State
	next  chestnutroad.Offset
	// oldest is the highest oldest offset that the log has reported.
	oldest chestnutroad.Offset
	// based is true while the state covers every record below next.
	based bool
	// current is true once a based reader has reached the end of the log.
	current bool
	// currentAt is when the reader was last at the end of the log.
	currentAt  time.Time
	assemblies assemblies
	// covered is the log time of the first record that no complete snapshot in the log covers, or an earlier time.
	covered time.Time
	// written is when this reader's state was last encoded for the log.
	written time.Time
	// ignoreThrough switches the gap rule off; tests use it to show that the rule is needed.
	ignoreThrough bool
}

// NewReader returns a reader that has read nothing yet.
func NewReader(kind Type, state State) *Reader {
	return &Reader{kind: kind, state: state, next: FirstOffset}
}

// IgnoreGaps lets the reader accept snapshots with a gap behind them; it exists for the baseline in tests.
func (rd *Reader) IgnoreGaps() { rd.ignoreThrough = true }

// NextOffset returns the offset from which the next batch is to be read.
func (rd *Reader) NextOffset() chestnutroad.Offset { return rd.next }

// Based reports whether the state covers every record below From.
func (rd *Reader) Based() bool { return rd.based }

// Ready reports whether the state is valid and has reached the end of the log once.
func (rd *Reader) Ready() bool { return rd.based && rd.current }

// ApplyBatch takes a batch and reports whether the whole state was replaced or lost instead of continued.
func (rd *Reader) ApplyBatch(now time.Time, batch chestnutroad.Batch) bool {
	rd.oldest = max(rd.oldest, batch.Oldest)
	replaced := rd.checkGap(batch)
	rd.assemblies.dropBefore(rd.oldest)
	for _, rec := range batch.Records {
		if rec.Offset != rd.next {
			continue
		}
		rd.next++
		if rd.take(rec) {
			return true
		}
	}
	if rd.based && rd.next >= batch.Next {
		rd.current = true
		rd.currentAt = now
	}
	return replaced
}

// checkGap moves the reader to the log's oldest record when the records that it needs are gone.
func (rd *Reader) checkGap(batch chestnutroad.Batch) bool {
	if batch.Oldest <= rd.next {
		if !rd.based && rd.next == FirstOffset {
			rd.based = true
		}
		return false
	}
	rd.next = batch.Oldest
	if rd.ignoreThrough && rd.based {
		return false
	}
	lost := rd.based
	rd.based = false
	rd.current = false
	rd.state.Reset()
	return lost
}

// take handles one record and reports whether it completed a snapshot that became the base.
func (rd *Reader) take(rec chestnutroad.Record) bool {
	if rec.Offset == FirstOffset {
		rd.covered = later(rd.covered, rec.Appended)
	}
	if rd.based {
		rd.state.Apply(rec)
	}
	if TypeOf(rec.Data) != rd.kind {
		return false
	}
	part, err := DecodePart(rec.Data)
	if err != nil || part.Through >= rec.Offset {
		return false
	}
	return rd.takePart(part)
}

func (rd *Reader) takePart(part *SnapshotPart) bool {
	if part.Through+1 < rd.oldest && !rd.ignoreThrough {
		return false
	}
	as := rd.assemblies.of(part.id())
	if !as.add(part, !rd.based) {
		return false
	}
	rd.assemblies.remove(as)
	rd.covered = later(rd.covered, part.Taken)
	if rd.based {
		return false
	}
	return rd.adopt(as)
}

func (rd *Reader) adopt(as *assembly) bool {
	payload, err := as.payload()
	if err != nil {
		return false
	}
	if err := rd.state.Load(payload); err != nil {
		return false
	}
	if !rd.ignoreThrough {
		rd.next = as.id.through + 1
	}
	rd.based = true
	return true
}

// Import takes a peer's state as base if it is further than the reader's own and no record after it is known to be gone,
// and reports whether it did. A gap that isn't known yet is found at the next batch.
func (rd *Reader) Import(snapshot Snapshot) bool {
	if rd.based && snapshot.Through+1 <= rd.next || snapshot.Through+1 < rd.oldest {
		return false
	}
	if err := rd.state.Load(snapshot.Payload); err != nil {
		return false
	}
	rd.next = snapshot.Through + 1
	rd.covered = later(rd.covered, snapshot.Covered)
	rd.currentAt = later(rd.currentAt, snapshot.Taken)
	rd.current = true
	rd.based = true
	return true
}

// Export returns the state for a peer, and false while the reader has none.
func (rd *Reader) Export(writer Writer) (Snapshot, bool) {
	if !rd.based {
		return Snapshot{}, false
	}
	return Snapshot{
		Writer: writer, Through: rd.next - 1, Taken: rd.currentAt, Covered: rd.covered, Payload: rd.state.Payload(),
	}, true
}

// WriteSnapshot returns the records of a snapshot for the log, or none while the reader has no state.
func (rd *Reader) WriteSnapshot(now time.Time, writer Writer) [][]byte {
	snapshot, found := rd.Export(writer)
	if !found {
		return nil
	}
	rd.written = now
	return EncodeSnapshot(rd.kind, snapshot)
}

// SnapshotDue reports whether the log needs a new snapshot: half the retention time has passed since the last one.
func (rd *Reader) SnapshotDue(now time.Time, retention time.Duration) bool {
	if !rd.Ready() || rd.covered.IsZero() {
		return false
	}
	if now.Sub(rd.currentAt) > retention/laggingPerRetention || now.Sub(rd.written) < snapshotRetry {
		return false
	}
	return now.Sub(rd.covered) >= retention/snapshotsPerRetention
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}
