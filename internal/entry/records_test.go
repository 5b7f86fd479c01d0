package entry

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

func keyed(offset chestnutroad.Offset, key, value string) chestnutroad.KeyedRecord {
	return chestnutroad.KeyedRecord{Position: at(offset), Key: key, Value: []byte(value)}
}

// at returns a position of the first era.
func at(offset chestnutroad.Offset) chestnutroad.Position {
	return chestnutroad.Position{Offset: offset}
}

// TestChangesSince guards against changes that are missing in the answer to another host, and against changes that are sent
// repeatedly.
func TestChangesSince(t *testing.T) {
	t.Parallel()
	rs := newRecordSet()
	rs.apply([]chestnutroad.KeyedRecord{keyed(0, "a", "1"), keyed(1, "b", "1"), keyed(2, "c", "1")}, at(3))
	rs.apply([]chestnutroad.KeyedRecord{keyed(3, "b", "2"), keyed(4, "a", "")}, at(5))
	rs.apply([]chestnutroad.KeyedRecord{keyed(6, "d", "1"), keyed(7, "a", "")}, at(9))
	cases := []struct {
		held chestnutroad.Offset
		want string
		all  bool
	}{
		{0, "b c d", true},
		{1, "b c d -a", false},
		{3, "b d -a", false},
		{4, "d -a", false},
		{5, "d", false},
		{7, "", false},
		{9, "", false},
	}
	for _, tc := range cases {
		changes, all := answerFor(rs, at(tc.held))
		var names []string
		for _, record := range changes {
			name := record.Key
			if len(record.Value) == 0 {
				name = "-" + name
			}
			names = append(names, name)
		}
		if got := strings.Join(names, " "); got != tc.want || all != tc.all {
			t.Errorf("since %d: got %q, %t", tc.held, got, all)
		}
	}
}

// answerFor returns the records that are sent to a host that holds the records before the position.
func answerFor(rs *recordSet, held chestnutroad.Position) (changes []chestnutroad.KeyedRecord, all bool) {
	if rs.needsSnapshot(held) {
		return rs.snapshot(), true
	}
	return rs.changesSince(held), false
}

// TestTombstoneLimit guards against a host that keeps a removed key since the tombstone was dropped before the host fetched it.
func TestTombstoneLimit(t *testing.T) {
	t.Parallel()
	rs := newRecordSet()
	for index := range chestnutroad.Offset(2 * maxTombstones) {
		key := fmt.Sprint(index)
		rs.apply([]chestnutroad.KeyedRecord{keyed(2*index, key, "1"), keyed(2*index+1, key, "")}, at(2*index+2))
	}
	if _, all := answerFor(rs, at(10)); !all {
		t.Error("a host far behind did not get all records")
	}
	changes, all := answerFor(rs, rs.next.Add(-2))
	if all || !slices.ContainsFunc(changes, func(record chestnutroad.KeyedRecord) bool { return len(record.Value) == 0 }) {
		t.Errorf("a host two records behind got %d records, all %t; want changes with tombstones", len(changes), all)
	}
}

// TestDeltaSize guards against answers that overload a relay with a link of 10 Mbit/s and 34 hosts. All hosts may fetch a
// change of a few targets within 0.2 s, which limits an answer to 7 KB.
func TestDeltaSize(t *testing.T) {
	t.Parallel()
	st := newState(&settings.Entry{CapFactor: 2})
	const targets = 140
	all := make([]chestnutroad.KeyedRecord, 0, targets)
	for index := range chestnutroad.Offset(targets) {
		all = append(all, keyed(index, fmt.Sprintf("i-%d", index), strings.Repeat("x", 300)))
	}
	st.records.apply(all, at(140))
	st.targetsLoaded.Store(true)
	st.records.apply([]chestnutroad.KeyedRecord{all[3], keyed(141, "i-7", strings.Repeat("y", 300)), keyed(142, "i-9", "")}, at(143))
	cases := []struct {
		held     chestnutroad.Offset
		min, max int
	}{
		{0, 1000, 70_000},
		{140, 300, 7000},
		{143, 0, 200},
	}
	for _, tc := range cases {
		text, err := json.Marshal(st.deltaFor(&siblings.StateRequest{Position: at(tc.held)}))
		if err != nil || len(text) < tc.min || len(text) > tc.max {
			t.Errorf("a host at offset %d gets %d bytes, want %d to %d: %v", tc.held, len(text), tc.min, tc.max, err)
		}
	}
	snapshot, err := siblings.DecompressRecords(st.deltaFor(&siblings.StateRequest{}).AllTargets)
	if err != nil || len(snapshot) != targets-1 {
		t.Errorf("a host that starts gets %d records, want %d: %v", len(snapshot), targets-1, err)
	}
}

// TestCompressedSnapshotIsCurrent guards against sending a removed target to a starting host. The removal is applied at the
// same offset at which the snapshot was compressed before.
func TestCompressedSnapshotIsCurrent(t *testing.T) {
	t.Parallel()
	st := newState(&settings.Entry{CapFactor: 2})
	st.targetsLoaded.Store(true)
	st.applyRecords([]chestnutroad.KeyedRecord{keyed(1, "i-1", "x"), keyed(2, "i-2", "x")}, at(3))
	st.deltaFor(&siblings.StateRequest{})
	st.applyRecords([]chestnutroad.KeyedRecord{keyed(2, "i-2", "")}, at(3))
	records, err := siblings.DecompressRecords(st.deltaFor(&siblings.StateRequest{}).AllTargets)
	if err != nil || len(records) != 1 || records[0].Key != "i-1" {
		t.Errorf("got %+v, %v", records, err)
	}
}

// TestUnobservedRemoval guards against a host that keeps a removed target, since the host from which it fetches read the list
// of targets only after the removal and has no tombstone.
func TestUnobservedRemoval(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// before and beforeNext are the records that the answering host held before it read the whole list up to offset 10,
		// which no longer contains "a".
		before     []chestnutroad.KeyedRecord
		beforeNext chestnutroad.Offset
		// held is the offset up to which the requesting host holds records, including "a".
		held chestnutroad.Offset
		all  bool
	}{
		{"started after the removal", nil, 0, 6, true},
		{"missed the addition and the removal", []chestnutroad.KeyedRecord{keyed(1, "b", "x")}, 2, 6, true},
		{"requesting host holds the whole list", nil, 0, 10, false},
		{"read the list again without a change", []chestnutroad.KeyedRecord{keyed(1, "b", "x")}, 10, 6, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newState(&settings.Entry{CapFactor: 2})
			st.targetsLoaded.Store(true)
			st.applyRecords(tc.before, at(tc.beforeNext))
			st.replaceRecords([]chestnutroad.KeyedRecord{keyed(1, "b", "x")}, at(10))
			st.applyRecords([]chestnutroad.KeyedRecord{keyed(10, "c", "x")}, at(11))
			answer := st.deltaFor(&siblings.StateRequest{Position: at(tc.held)})
			if all := len(answer.AllTargets) > 0; all != tc.all {
				t.Errorf("all targets: %t, want %t", all, tc.all)
			}
		})
	}
}
