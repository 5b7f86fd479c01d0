package entry

import (
	"maps"
	"slices"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// maxGone bounds the keys without a record that are remembered; a host that holds less than that gets all records.
const maxGone = 1000

// records are the newest records of a keyed stream up to a position, and what changed since earlier ones.
//
// Other hosts fetch changes from here. All records of 140 targets are 56 KB; a relay with 10 Mbit/s that sent them to 34
// hosts at each change needed 1.5 s, and calls ended at their limit of 0.8 s, so that hosts learned of targets that leave
// after more than 3 s (warta-lace-grown trouble-1, journal e3304ff3).
type records struct {
	live map[string]chestnutroad.KeyedRecord
	// sorted are the keys of live in order, or nil after one came or went: they are asked for with each message to other
	// hosts.
	sorted []string
	// list is the list of the sorted keys, or nil with them.
	list *relay.TargetList
	// gone holds the position at which a key lost its record.
	gone map[string]chestnutroad.Position
	next chestnutroad.Position
	// whole is the position below which keys that are gone were forgotten or never known.
	whole chestnutroad.Position
}

func newRecords() *records {
	return &records{live: map[string]chestnutroad.KeyedRecord{}, gone: map[string]chestnutroad.Position{}}
}

// keys returns the keys that have a record, in order.
func (rs *records) keys() []string {
	if rs.sorted == nil {
		rs.sorted = slices.Sorted(maps.Keys(rs.live))
		rs.list = nil
	}
	return rs.sorted
}

// targetList returns the list of the targets that have a record.
func (rs *records) targetList() *relay.TargetList {
	keys := rs.keys()
	if rs.list == nil {
		ids := make([]chestnutroad.TargetID, 0, len(keys))
		for _, key := range keys {
			ids = append(ids, chestnutroad.TargetID(key))
		}
		rs.list = relay.NewTargetList(ids)
	}
	return rs.list
}

func (rs *records) has(key string) bool {
	_, found := rs.live[key]
	return found
}

// current returns the records without those that are earlier than what is held of their key: an answer of the store that is
// late, or behind by some seconds, takes nothing back.
func (rs *records) current(changes []chestnutroad.KeyedRecord) []chestnutroad.KeyedRecord {
	return slices.DeleteFunc(slices.Clone(changes), func(record chestnutroad.KeyedRecord) bool {
		return rs.held(record.Key).After(record.Position)
	})
}

// held returns the position of what is held of a key: of its record, or of its end.
func (rs *records) held(key string) chestnutroad.Position {
	if record, found := rs.live[key]; found {
		return record.Position
	}
	return rs.gone[key]
}

// apply takes in records up to next; one without a value ends its key's.
func (rs *records) apply(changes []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	if next.After(rs.next) {
		rs.next = next
	}
	for _, record := range changes {
		if rs.has(record.Key) != (len(record.Value) > 0) {
			rs.sorted = nil
		}
		if len(record.Value) > 0 {
			rs.live[record.Key] = record
			delete(rs.gone, record.Key)
			continue
		}
		if rs.has(record.Key) {
			delete(rs.live, record.Key)
			// When exactly the key went is not always known; whoever holds less than all has to be told.
			rs.gone[record.Key] = rs.next.Plus(-1)
		}
	}
	if len(rs.gone) > maxGone {
		rs.whole = rs.next
		clear(rs.gone)
	}
}

// needsAll reports whether a host that holds the records below the position can't go on from changes.
func (rs *records) needsAll(held chestnutroad.Position) bool {
	return held.Offset <= 0 || held.Era != rs.next.Era || rs.whole.After(held)
}

// all returns all records.
func (rs *records) all() []chestnutroad.KeyedRecord {
	all := make([]chestnutroad.KeyedRecord, 0, len(rs.live))
	for _, key := range rs.keys() {
		all = append(all, rs.live[key])
	}
	return all
}

// jump notes that the records up to next are known without the changes between: a key that came and went meanwhile, or
// before the host started, is not known here, and hosts that hold it have to get all records.
func (rs *records) jump(next chestnutroad.Position) {
	if next.After(rs.next) {
		rs.whole = next
	}
}

// since returns the changes that a host lacks that holds the records below the position.
func (rs *records) since(held chestnutroad.Position) []chestnutroad.KeyedRecord {
	var changes []chestnutroad.KeyedRecord
	for _, key := range rs.keys() {
		if record := rs.live[key]; !held.After(record.Position) {
			changes = append(changes, record)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(rs.gone)) {
		if !held.After(rs.gone[key]) {
			changes = append(changes, chestnutroad.KeyedRecord{Key: key, Position: rs.gone[key]})
		}
	}
	return changes
}
