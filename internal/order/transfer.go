package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/record"
)

// SnapshotDue reports whether the writer of snapshots should append one.
func (mc *Machine) SnapshotDue(now time.Time) bool {
	return mc.reader.SnapshotDue(now, mc.set.retention)
}

// Snapshot returns the records of a snapshot, which are to be appended in order; none while the host isn't ready.
// A snapshot of which a part is missing in the log has no effect.
func (mc *Machine) Snapshot(now time.Time) [][]byte { return mc.reader.WriteSnapshot(now, mc.self) }

// Export returns the host's state for a peer, and false while it has none.
func (mc *Machine) Export() (record.Snapshot, bool) { return mc.reader.Export(mc.self) }

// Import takes the state of a peer if it is further than the own one.
func (mc *Machine) Import(now time.Time, state record.Snapshot) []Action {
	if mc.reader.Import(state) {
		mc.resolveAll(now)
		mc.releaseOrphanedClaims(now)
	}
	mc.expire(now)
	return mc.finish(now)
}
