package config

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Reader follows the configuration stream on one host. It isn't safe for concurrent use.
type Reader struct {
	self   record.Writer
	opts    options
	state  *state
	reader *record.Reader
	// inForce is the highest version seen. It stays while the state is rebuilt from an older base.
	inForce  Accepted
	history []Accepted
}

// NewReader returns a reader that knows no configuration.
func NewReader(self record.Writer, check Check, opts ...Option) *Reader {
	set := newOptions(opts)
	st := &state{check: check, ignoreParent: set.disabled.parentMatch}
	rd := &Reader{self: self, opts: set, state: st}
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

// Retention returns the time for which the log is taken to keep records.
func (rd *Reader) Retention() time.Duration { return rd.opts.retention }

// NextOffset returns the offset from which the next batch of the configuration stream is to be read.
func (rd *Reader) NextOffset() chestnutroad.Offset { return rd.reader.NextOffset() }

// Ready reports whether the reader has seen the whole stream, so that it can judge and publish.
func (rd *Reader) Ready() bool { return rd.reader.Ready() }

// InForce returns the configuration in force; version 0 means that none is known.
func (rd *Reader) InForce() Accepted { return rd.inForce }

// ReadBatch takes records that were read from From on and returns the verdicts on the new ones.
func (rd *Reader) ReadBatch(now time.Time, batch chestnutroad.Batch) []Verdict {
	rd.reader.ApplyBatch(now, batch)
	verdicts := rd.state.takeVerdicts()
	rd.updateInForce()
	return verdicts
}

// updateInForce puts the state's configuration in force unless a higher version already is.
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

// AcceptedVersion returns an accepted configuration if it is among the latest ones. Publishing its body is a rollback.
func (rd *Reader) AcceptedVersion(version chestnutroad.Version) (Accepted, bool) {
	for _, accepted := range rd.history {
		if accepted.Version == version {
			return accepted, true
		}
	}
	return Accepted{}, false
}

// SnapshotDue reports whether the writer of snapshots should append one.
func (rd *Reader) SnapshotDue(now time.Time) bool {
	return rd.reader.SnapshotDue(now, rd.opts.retention)
}

// Snapshot returns the records of a snapshot, which are to be appended in order; none while the reader has no state.
func (rd *Reader) Snapshot(now time.Time) [][]byte { return rd.reader.WriteSnapshot(now, rd.self) }

// Export returns the state for a peer, and false while the reader has none.
func (rd *Reader) Export() (record.Snapshot, bool) { return rd.reader.Export(rd.self) }

// Import takes the state of a peer if it is further than the own one, and reports whether it did.
func (rd *Reader) Import(state record.Snapshot) bool {
	imported := rd.reader.Import(state)
	if imported {
		rd.updateInForce()
	}
	return imported
}
