package order

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// storedEntry is the encoding of an entry in a snapshot.
type storedEntry struct {
	Team      chestnutroad.TeamID
	Key       chestnutroad.IdempotencyKey
	Claimant  *record.Claimant `json:",omitempty"`
	Digest    string           `json:",omitempty"`
	ExpiresMs int64
	Outcome   *record.Outcome   `json:",omitempty"`
	Barred    []record.Claimant `json:",omitempty"`
}

// storedTable is the payload of a snapshot of type OrderSnapshot.
type storedTable struct {
	ClockMs int64
	Claims  []storedEntry
}

// Payload returns the encoded table without expired entries, sorted by key so that equal tables have equal payloads.
func (tb *table) Payload() []byte {
	tb.deleteExpired()
	stored := storedTable{ClockMs: tb.clockMs, Claims: make([]storedEntry, 0, len(tb.entries))}
	for key, en := range tb.entries {
		stored.Claims = append(stored.Claims, storeEntry(key, en))
	}
	slices.SortFunc(stored.Claims, compareStored)
	data, err := json.Marshal(stored)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %d claims", len(stored.Claims)))
	}
	return data
}

func compareStored(a, b storedEntry) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Key, b.Key))
}

func storeEntry(key Key, en *entry) storedEntry {
	stored := storedEntry{
		Team: key.Team, Key: key.Key, Digest: en.digest, ExpiresMs: en.expiresMs, Outcome: en.outcome, Barred: en.barred,
	}
	if en.claimed() {
		stored.Claimant = &en.claimant
	}
	return stored
}

// Load replaces the table by the one in the payload; on an error the table is unchanged.
func (tb *table) Load(payload []byte) error {
	var stored storedTable
	if err := json.Unmarshal(payload, &stored); err != nil {
		return errors.Wrap(err, "decode order snapshot")
	}
	tb.Reset()
	tb.clockMs = stored.ClockMs
	for index := range stored.Claims {
		tb.loadEntry(&stored.Claims[index])
	}
	return nil
}

func (tb *table) loadEntry(stored *storedEntry) {
	en := &entry{digest: stored.Digest, expiresMs: stored.ExpiresMs, outcome: stored.Outcome, barred: stored.Barred}
	if stored.Claimant != nil {
		en.claimant = *stored.Claimant
		en.claimant.Host = chestnutroad.HostID(tb.intern(string(en.claimant.Host)))
		tb.recordIncarnation(en.claimant)
	}
	team := chestnutroad.TeamID(tb.intern(string(stored.Team)))
	tb.entries[Key{Team: team, Key: stored.Key}] = en
}
