package entry

import (
	"maps"
	"slices"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// maxTombstones limits the number of tombstones. When it is exceeded all are dropped, and hosts behind that position get all
// records.
const maxTombstones = 1000

// recordSet holds the newest record of each key of a keyed stream up to a position, and tombstones of removed keys.
//
// Other hosts fetch changes since their own position. All records of 140 targets are 56 KB; sending them at each change to 34
// hosts took a relay with 10 Mbit/s 1.5 s, beyond the timeout of state calls of 0.8 s, so that hosts learned of leaving
// targets only after more than 3 s.
type recordSet struct {
	byKey map[string]chestnutroad.KeyedRecord
	// sortedKeys caches the keys of byKey in order, which each message to other hosts needs; nil after a key was added or
	// removed.
	sortedKeys []string
	// cachedList is the list of targets for sortedKeys; nil until it is needed.
	cachedList *relay.TargetList
	// tombstones hold the positions at which keys were removed.
	tombstones map[string]chestnutroad.Position
	// next is the position after the last record.
	next chestnutroad.Position
	// completeSince is the position before which removed keys may have no tombstone: it was dropped, or the removal was never
	// observed.
	completeSince chestnutroad.Position
}

func newRecordSet() *recordSet {
	return &recordSet{byKey: map[string]chestnutroad.KeyedRecord{}, tombstones: map[string]chestnutroad.Position{}}
}

// keys returns the keys that have a record, in order.
func (rs *recordSet) keys() []string {
	if rs.sortedKeys == nil {
		rs.sortedKeys = slices.Sorted(maps.Keys(rs.byKey))
		rs.cachedList = nil
	}
	return rs.sortedKeys
}

// targetList returns the list of the targets that have a record.
func (rs *recordSet) targetList() *relay.TargetList {
	keys := rs.keys()
	if rs.cachedList == nil {
		ids := make([]chestnutroad.TargetID, 0, len(keys))
		for _, key := range keys {
			ids = append(ids, chestnutroad.TargetID(key))
		}
		rs.cachedList = relay.NewTargetList(ids)
	}
	return rs.cachedList
}

func (rs *recordSet) has(key string) bool {
	_, found := rs.byKey[key]
	return found
}

// filterStale returns the records without those that are earlier than the record or tombstone of their key, so that a late
// answer, or one of a store that is some seconds behind, does not revert newer records.
func (rs *recordSet) filterStale(changes []chestnutroad.KeyedRecord) []chestnutroad.KeyedRecord {
	return slices.DeleteFunc(slices.Clone(changes), func(record chestnutroad.KeyedRecord) bool {
		return rs.positionOf(record.Key).After(record.Position)
	})
}

// positionOf returns the position of a key's record or tombstone, or the zero position if there is neither.
func (rs *recordSet) positionOf(key string) chestnutroad.Position {
	if record, found := rs.byKey[key]; found {
		return record.Position
	}
	return rs.tombstones[key]
}

// apply stores records up to next; one without a value removes its key.
func (rs *recordSet) apply(changes []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	if next.After(rs.next) {
		rs.next = next
	}
	for _, record := range changes {
		if rs.has(record.Key) != (len(record.Value) > 0) {
			rs.sortedKeys = nil
		}
		if len(record.Value) > 0 {
			rs.byKey[record.Key] = record
			delete(rs.tombstones, record.Key)
			continue
		}
		if rs.has(record.Key) {
			delete(rs.byKey, record.Key)
			// The exact position of the removal is not always known, so that every host behind next gets the tombstone.
			rs.tombstones[record.Key] = rs.next.Add(-1)
		}
	}
	if len(rs.tombstones) > maxTombstones {
		rs.completeSince = rs.next
		clear(rs.tombstones)
	}
}

// needsSnapshot reports whether a host that holds the records before the position needs all records rather than changes.
func (rs *recordSet) needsSnapshot(held chestnutroad.Position) bool {
	return held.Offset <= 0 || held.Era != rs.next.Era || rs.completeSince.After(held)
}

// snapshot returns all records in order of their keys.
func (rs *recordSet) snapshot() []chestnutroad.KeyedRecord {
	records := make([]chestnutroad.KeyedRecord, 0, len(rs.byKey))
	for _, key := range rs.keys() {
		records = append(records, rs.byKey[key])
	}
	return records
}

// skipTo prepares for records up to next that are applied without the changes before them. A key that was added and removed
// in between, or removed before the host started, has no tombstone, so that hosts behind next need all records.
func (rs *recordSet) skipTo(next chestnutroad.Position) {
	if next.After(rs.next) {
		rs.completeSince = next
	}
}

// changesSince returns the records and tombstones that a host lacks that holds the records before the position.
func (rs *recordSet) changesSince(held chestnutroad.Position) []chestnutroad.KeyedRecord {
	var changes []chestnutroad.KeyedRecord
	for _, key := range rs.keys() {
		if record := rs.byKey[key]; !held.After(record.Position) {
			changes = append(changes, record)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(rs.tombstones)) {
		if !held.After(rs.tombstones[key]) {
			changes = append(changes, chestnutroad.KeyedRecord{Key: key, Position: rs.tombstones[key]})
		}
	}
	return changes
}
