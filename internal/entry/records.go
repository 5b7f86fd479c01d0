package entry

import (
	"maps"
	"slices"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// maxTombstones bounds the keys without a record that are remembered; a host that holds less than that gets all records.
const maxTombstones = 1000

// recordSet are the newest recordSet of a keyed stream up to a position, and what changed since earlier ones.
//
// Other hosts fetch changes from here. All recordSet of 140 targets are 56 KB; a relay with 10 Mbit/s that sent them to 34
// hosts at each change needed 1.5 s, and calls ended at their limit of 0.8 s, so that hosts learned of targets that leave
// after more than 3 s (warta-lace-grown trouble-1, journal e3304ff3).
type recordSet struct {
	byKey map[string]chestnutroad.KeyedRecord
	// sortedKeys are the keys of live in order, or nil after one came or went: they are asked for with each message to other
	// hosts.
	sortedKeys []string
	// cachedList is the cachedList of the sorted keys, or nil with them.
	cachedList *relay.TargetList
	// tombstones holds the position at which a key lost its record.
	tombstones map[string]chestnutroad.Position
	next       chestnutroad.Position
	// completeSince is the position below which keys that are gone were forgotten or never known.
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

// filterStale returns the records without those that are earlier than what is held of their key: an answer of the store that is
// late, or behind by some seconds, takes nothing back.
func (rs *recordSet) filterStale(changes []chestnutroad.KeyedRecord) []chestnutroad.KeyedRecord {
	return slices.DeleteFunc(slices.Clone(changes), func(record chestnutroad.KeyedRecord) bool {
		return rs.positionOf(record.Key).After(record.Position)
	})
}

// positionOf returns the position of what is positionOf of a key: of its record, or of its end.
func (rs *recordSet) positionOf(key string) chestnutroad.Position {
	if record, found := rs.byKey[key]; found {
		return record.Position
	}
	return rs.tombstones[key]
}

// apply takes in records up to next; one without a value ends its key's.
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
			// When exactly the key went is not always known; whoever holds less than all has to be told.
			rs.tombstones[record.Key] = rs.next.Plus(-1)
		}
	}
	if len(rs.tombstones) > maxTombstones {
		rs.completeSince = rs.next
		clear(rs.tombstones)
	}
}

// needsSnapshot reports whether a host that holds the records below the position can't go on from changes.
func (rs *recordSet) needsSnapshot(held chestnutroad.Position) bool {
	return held.Offset <= 0 || held.Era != rs.next.Era || rs.completeSince.After(held)
}

// snapshot returns snapshot records.
func (rs *recordSet) snapshot() []chestnutroad.KeyedRecord {
	all := make([]chestnutroad.KeyedRecord, 0, len(rs.byKey))
	for _, key := range rs.keys() {
		all = append(all, rs.byKey[key])
	}
	return all
}

// skipTo notes that the records up to next are known without the changes between: a key that came and went meanwhile, or
// before the host started, is not known here, and hosts that hold it have to get all records.
func (rs *recordSet) skipTo(next chestnutroad.Position) {
	if next.After(rs.next) {
		rs.completeSince = next
	}
}

// changesSince returns the changes that a host lacks that holds the records below the position.
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
