package entry

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/quarantine"
)

const (
	// evidenceInterval is the time between two checks whether the evidence in the store is current, evidencePause the least time between two
	// writes: many targets that end one after the other change the evidence all the time.
	evidenceInterval = 250 * time.Millisecond
	evidencePause    = time.Second
	// evidenceTimeout limits a call of the store for crash evidence, evidenceRetry is the pause after a failed one.
	evidenceTimeout = time.Second
	evidenceRetry   = time.Second
)

// evidenceStore keeps the crash evidence of a data centre in the store, as all hosts may be lost at the same time. Only the relay writes and
// reads it; hosts tell each other of it, see docs/design/loss-of-all-hosts.md.
type evidenceStore struct {
	entry *Entry
	// loaded is true once this host, as a relay, has read the evidence in the store.
	loaded bool
	// written is the evidence in the record of the data centre; eras is the count of eras when it was written.
	written []chestnutroad.CrashEvidence
	eras    uint64
	// writtenAt is when the record was last written.
	writtenAt time.Duration
	// hasRecord is true if the data centre has a record, as far as this host knows.
	hasRecord bool
}

// run keeps the evidence in the store current, while this host is a relay, until ctx ends.
func (es *evidenceStore) run(ctx context.Context) {
	if es.entry.settings.Without.Off(mechanism.Quarantine) {
		return
	}
	for pause := evidenceInterval; sleep(ctx, pause); {
		pause = evidenceInterval
		if !es.entry.link.relaying() {
			es.loaded = false
			continue
		}
		if err := es.update(ctx); err != nil && ctx.Err() == nil {
			es.entry.logger.Warn("crash evidence in the store was not updated", "Loaded", es.loaded, "Error", err)
			pause = evidenceRetry
		}
	}
}

// update reads the evidence in the store if this host has not done so as a relay, and writes that of the data centre if it has changed.
func (es *evidenceStore) update(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if !es.loaded {
		if err := es.load(ctx); err != nil {
			return err
		}
		es.loaded = true
	}
	now := es.entry.now()
	items := es.entry.state.storedEvidence(now)
	eras := es.entry.eras.count()
	unchanged := sameEvidence(items, es.written) && eras == es.eras || len(items) == 0 && !es.hasRecord
	if unchanged || es.hasRecord && es.entry.elapsed()-es.writtenAt < evidencePause {
		return nil
	}
	var value []byte
	if len(items) > 0 {
		encoded, err := quarantine.EncodeEvidence(now, items)
		if err != nil {
			return err
		}
		value = encoded
	}
	if err := es.entry.store.Put(ctx, chestnutroad.KeyedEvidence, string(es.entry.settings.DataCentre), value); err != nil {
		return err
	}
	es.written, es.writtenAt, es.eras, es.hasRecord = items, es.entry.elapsed(), eras, len(items) > 0
	es.entry.counters.evidenceWrites.Inc()
	return nil
}

// load adds the evidence of all data centres in the store to that of this host.
func (es *evidenceStore) load(ctx context.Context) error {
	batch, err := es.entry.store.Newest(ctx, chestnutroad.KeyedEvidence, chestnutroad.PageOptions{})
	if err != nil {
		return err
	}
	now := es.entry.now()
	es.written, es.hasRecord = nil, false
	for _, record := range batch.Records {
		if record.Key == string(es.entry.settings.DataCentre) {
			es.hasRecord = true
		}
		items, err := quarantine.DecodeEvidence(now, record.Value)
		if err != nil {
			es.entry.logger.Error("crash evidence in the store can't be read", "From", record.Key, "Error", err)
			continue
		}
		es.entry.state.restoreEvidence(now, items)
		es.entry.logger.Info("crash evidence read from the store", "From", record.Key, "Items", len(items), "Suspects", es.entry.state.suspectCount(now))
	}
	return nil
}

// sameEvidence reports whether two lists of evidence are of the same crashes and answers; their ages differ.
func sameEvidence(one, other []chestnutroad.CrashEvidence) bool {
	return slices.EqualFunc(one, other, func(a, b chestnutroad.CrashEvidence) bool { return a.Subject == b.Subject && a.Crash == b.Crash })
}

// storedEvidence returns the evidence to keep in the store.
func (st *state) storedEvidence(now time.Time) []chestnutroad.CrashEvidence {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.suspects.Stored(now)
}

// restoreEvidence adds evidence that was read from the store.
func (st *state) restoreEvidence(now time.Time, items []chestnutroad.CrashEvidence) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.suspects.Restore(now, items)
}
