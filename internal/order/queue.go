package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/record"
)

// maxEntrySize is more than the size in bytes of any entry: a body and headers at their limits in base64 and escaped JSON.
const maxEntrySize = 48 << 10

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
	sentAt  time.Time
	entries record.OrdersBuilder
	writes  []*write
	claims  []*flight
	// sequences has the claims' sequence numbers, since a flight may claim anew before the append ends.
	sequences []uint64
}

// full reports whether the longest entry might not fit any more.
func (ba *batch) full() bool { return ba.entries.Size() > record.MaxSize-maxEntrySize }

func (ba *batch) addWrite(wr *write) {
	wr.state = writeSent
	wr.batch = ba.id
	wr.sentAt = ba.sentAt
	ba.writes = append(ba.writes, wr)
	ba.entries.Add(&wr.entry)
}

func (ba *batch) addClaim(fl *flight, keep time.Duration) {
	fl.phase = phaseSent
	ba.claims = append(ba.claims, fl)
	ba.sequences = append(ba.sequences, fl.claim.Sequence)
	ba.entries.Add(&record.Entry{
		Type: record.EntryClaim, Team: fl.key.Team, Key: fl.key.Key, Digest: fl.digest,
		Claimant: fl.claim, KeepMs: keep.Milliseconds(),
	})
}
