package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/record"
)

// entrySize is the number of bytes that an entry has beside its team, key, digest and body.
const entrySize = 256

// queue has what is to be appended next. Claims come last, since a claim after its own release may win.
type queue struct {
	writes []*write
	claims []*flight
}

func (qu *queue) addWrite(wr *write) {
	wr.state = writeQueued
	qu.writes = append(qu.writes, wr)
}

func (qu *queue) addClaim(fl *flight) { qu.claims = append(qu.claims, fl) }

func (qu *queue) empty() bool { return len(qu.writes) == 0 && len(qu.claims) == 0 }

// batch is the append that is in flight.
type batch struct {
	id      BatchID
	sent    time.Time
	entries []record.Entry
	size    int
	writes  []*write
	claims  []*flight
	// sequences has the claims' sequence numbers, since a flight may claim anew before the append ends.
	sequences []uint64
}

func (ba *batch) full() bool { return ba.size >= record.MaxSize-2*entrySize-bodyLimit*2 }

func (ba *batch) add(step record.Entry) {
	ba.entries = append(ba.entries, step)
	ba.size += entrySize + len(step.Team) + len(step.Key) + len(step.Digest)
	if step.Outcome != nil {
		ba.size += len(step.Outcome.Body) / 3 * 4
		for name, values := range step.Outcome.Header {
			ba.size += (len(name) + entrySize) * len(values)
		}
	}
}

func (ba *batch) addWrite(wr *write) {
	wr.state = writeSent
	wr.batch = ba.id
	wr.sent = ba.sent
	ba.writes = append(ba.writes, wr)
	ba.add(wr.step)
}

func (ba *batch) addClaim(fl *flight, keep time.Duration) {
	fl.phase = phaseSent
	ba.claims = append(ba.claims, fl)
	ba.sequences = append(ba.sequences, fl.claim.Sequence)
	ba.add(record.Entry{
		Type: record.EntryClaim, Team: fl.key.Team, Key: fl.key.Key, Digest: fl.digest,
		Claimant: fl.claim, KeepMs: keep.Milliseconds(),
	})
}
