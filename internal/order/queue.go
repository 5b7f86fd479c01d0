package order

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/record"
)

// maxEntrySize is an upper bound in bytes of an encoded entry: a body and a header of the longest stored size, in base64
// and escaped JSON.
const maxEntrySize = 48 << 10

// queue holds the entries for the next append. Claims come last: the release of an earlier claim must precede the next
// claim of the same key, or that claim loses.
type queue struct {
	writes []*pendingWrite
	claims []*flight
}

func (qu *queue) addWrite(wr *pendingWrite) {
	wr.state = writeQueued
	qu.writes = append(qu.writes, wr)
}

func (qu *queue) addClaim(fl *flight) { qu.claims = append(qu.claims, fl) }

func (qu *queue) empty() bool { return len(qu.writes) == 0 && len(qu.claims) == 0 }

// batch holds the entries of the append in flight.
type batch struct {
	id      BatchID
	sentAt  time.Time
	entries record.OrdersBuilder
	writes  []*pendingWrite
	claims  []*flight
	// sequences has the sequence numbers of the claims, since a flight may make a new claim before the append ends.
	sequences []uint64
}

// full reports whether the record may have no room for an entry of maxEntrySize.
func (ba *batch) full() bool { return ba.entries.Size() > record.MaxSize-maxEntrySize }

func (ba *batch) addWrite(wr *pendingWrite) {
	wr.state = writeSent
	wr.batch = ba.id
	wr.sentAt = ba.sentAt
	ba.writes = append(ba.writes, wr)
	ba.entries.Add(&wr.entry)
}

func (ba *batch) addClaim(fl *flight, ttl time.Duration) {
	fl.phase = phaseSent
	ba.claims = append(ba.claims, fl)
	ba.sequences = append(ba.sequences, fl.claim.Sequence)
	ba.entries.Add(&record.Entry{
		Type: record.EntryClaim, Team: fl.key.Team, Key: fl.key.Key, Digest: fl.digest,
		Claimant: fl.claim, KeepMs: ttl.Milliseconds(),
	})
}
