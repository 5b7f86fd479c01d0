package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/record"
)

// SnapshotDue reports whether this host should append a snapshot.
func (mc *Machine) SnapshotDue(now time.Time) bool {
	return mc.reader.SnapshotDue(now, mc.settings.retention)
}

// Snapshot returns the records of a snapshot for the caller to append in order, or none while the host has no valid
// state. A snapshot with a missing part has no effect.
func (mc *Machine) Snapshot(now time.Time) [][]byte { return mc.reader.WriteSnapshot(now, mc.self) }

// Export returns the host's state for a peer, or false while the host has no valid state.
func (mc *Machine) Export() (record.Snapshot, bool) { return mc.reader.Export(mc.self) }

// Import replaces the host's state by that of a peer if the peer is ahead in the log.
func (mc *Machine) Import(now time.Time, state record.Snapshot) []Action {
	if mc.reader.Import(state) {
		mc.resolveAll(now)
		mc.releaseOrphanedClaims(now)
	}
	mc.expire(now)
	return mc.finish(now)
}
