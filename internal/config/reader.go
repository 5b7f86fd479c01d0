package config

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Reader reads the configuration stream on a host and tracks the version in force. It is not safe for concurrent use.
type Reader struct {
	self   record.Writer
	opts   options
	state  *state
	reader *record.Reader
	// inForce is the configuration with the highest version seen. It stays in force while the state is rebuilt from an older
	// snapshot.
	inForce Accepted
	// history holds the latest accepted configurations, the oldest first.
	history []Accepted
}

// NewReader returns a reader without a configuration. The writer identifies this host in snapshots.
func NewReader(self record.Writer, check Check, opts ...Option) *Reader {
	op := newOptions(opts)
	st := &state{check: check, ignoreParent: op.disabled.parentMatch}
	rd := &Reader{self: self, opts: op, state: st}
	rd.reader = record.NewReader(record.TypeConfigSnapshot, st)
	if rd.opts.disabled.noGaps {
		rd.reader.IgnoreGaps()
	}
	return rd
}

// Configure applies options to a running reader.
func (rd *Reader) Configure(opts ...Option) {
	for _, opt := range opts {
		opt(&rd.opts)
	}
}

// Retention returns how long the log is expected to retain records.
func (rd *Reader) Retention() time.Duration { return rd.opts.retention }

// NextOffset returns the offset to read the next batch of the configuration stream from.
func (rd *Reader) NextOffset() chestnutroad.Offset { return rd.reader.NextOffset() }

// Ready reports whether the reader has a valid state that has reached the end of the stream once or was imported from a peer.
// Only then can it publish.
func (rd *Reader) Ready() bool { return rd.reader.Ready() }

// InForce returns the configuration in force; version 0 means that the reader has none.
func (rd *Reader) InForce() Accepted { return rd.inForce }

// ReadBatch applies records that were read from NextOffset on and returns the verdicts on the new ones.
func (rd *Reader) ReadBatch(now time.Time, batch chestnutroad.Batch) []Verdict {
	rd.reader.ApplyBatch(now, batch)
	verdicts := rd.state.takeVerdicts()
	rd.updateInForce()
	return verdicts
}

// updateInForce puts the last accepted configuration of the state in force unless a higher version is.
func (rd *Reader) updateInForce() {
	if rd.state.last.Version == rd.inForce.Version {
		return
	}
	if rd.state.last.Version < rd.inForce.Version && !rd.opts.disabled.monotonicVersion {
		return
	}
	rd.inForce = rd.state.last
	rd.history = append(rd.history, rd.inForce)
	rd.history = rd.history[max(0, len(rd.history)-rd.opts.history):]
}

// AcceptedVersion returns the accepted configuration with the version, or false if it is not in the history. Publishing its
// body again is a rollback.
func (rd *Reader) AcceptedVersion(version chestnutroad.Version) (Accepted, bool) {
	for _, accepted := range rd.history {
		if accepted.Version == version {
			return accepted, true
		}
	}
	return Accepted{}, false
}

// SnapshotDue reports whether the host should append a snapshot, if it is the one that writes snapshots.
func (rd *Reader) SnapshotDue(now time.Time) bool {
	return rd.reader.SnapshotDue(now, rd.opts.retention)
}

// Snapshot returns the records of a snapshot, to be appended in order, or none while the reader has no valid state.
func (rd *Reader) Snapshot(now time.Time) [][]byte { return rd.reader.WriteSnapshot(now, rd.self) }

// Export returns the state for a peer, or false while the reader has no valid state.
func (rd *Reader) Export() (record.Snapshot, bool) { return rd.reader.Export(rd.self) }

// Import replaces the state by that of a peer if the peer's is ahead, and reports whether it did so.
func (rd *Reader) Import(state record.Snapshot) bool {
	imported := rd.reader.Import(state)
	if imported {
		rd.updateInForce()
	}
	return imported
}
