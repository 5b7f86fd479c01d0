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

// TestRecordsSince guards against a change that a host which fetches the others' is not told, and against one that is told
// again and again.
func TestRecordsSince(t *testing.T) {
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

// answerFor returns what a host is told that holds the records below the position.
func answerFor(rs *recordSet, held chestnutroad.Position) (changes []chestnutroad.KeyedRecord, all bool) {
	if rs.needsSnapshot(held) {
		return rs.snapshot(), true
	}
	return rs.changesSince(held), false
}

// TestRecordsForget guards against a host that keeps a key whose end was forgotten.
func TestRecordsForget(t *testing.T) {
	t.Parallel()
	rs := newRecordSet()
	for index := range chestnutroad.Offset(2 * maxTombstones) {
		key := fmt.Sprint(index)
		rs.apply([]chestnutroad.KeyedRecord{keyed(2*index, key, "1"), keyed(2*index+1, key, "")}, at(2*index+2))
	}
	if _, all := answerFor(rs, at(10)); !all {
		t.Error("a host that holds old records is not told to replace all")
	}
	changes, all := answerFor(rs, rs.next.Plus(-2))
	if all || !slices.ContainsFunc(changes, func(record chestnutroad.KeyedRecord) bool { return len(record.Value) == 0 }) {
		t.Errorf("a host that holds nearly all got %d records, all %t", len(changes), all)
	}
}

// TestChangesAreSmall answers the load of a relay with a link of 10 Mbit/s and 34 hosts behind it: all may fetch a change
// of some targets within 0.2 s, so that an answer has 7 KB.
func TestChangesAreSmall(t *testing.T) {
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
		held        chestnutroad.Offset
		least, most int
	}{
		{0, 1000, 70_000},
		{140, 300, 7000},
		{143, 0, 200},
	}
	for _, tc := range cases {
		text, err := json.Marshal(st.deltaFor(&siblings.StateRequest{Position: at(tc.held)}))
		if err != nil || len(text) < tc.least || len(text) > tc.most {
			t.Errorf("a host that holds %d gets %d bytes, want %d to %d: %v", tc.held, len(text), tc.least, tc.most, err)
		}
	}
	whole, err := siblings.UnpackRecords(st.deltaFor(&siblings.StateRequest{}).AllTargets)
	if err != nil || len(whole) != targets-1 {
		t.Errorf("a host that starts gets %d records, want %d: %v", len(whole), targets-1, err)
	}
}

// TestPackedListIsCurrent guards against a host that starts and is told of a target whose end was noted at an offset for
// which the list of all targets had been packed before.
func TestPackedListIsCurrent(t *testing.T) {
	t.Parallel()
	st := newState(&settings.Entry{CapFactor: 2})
	st.targetsLoaded.Store(true)
	st.applyRecords([]chestnutroad.KeyedRecord{keyed(1, "i-1", "x"), keyed(2, "i-2", "x")}, at(3))
	st.deltaFor(&siblings.StateRequest{})
	st.applyRecords([]chestnutroad.KeyedRecord{keyed(2, "i-2", "")}, at(3))
	records, err := siblings.UnpackRecords(st.deltaFor(&siblings.StateRequest{}).AllTargets)
	if err != nil || len(records) != 1 || records[0].Key != "i-1" {
		t.Errorf("got %+v, %v", records, err)
	}
}

// TestLateStartTellsOfEnds guards against a host that holds a target whose end it is never told of, since the host that it
// asks learned the list of targets after that end (lustre-ruta-grown trouble-2, seed 33488221257).
func TestLateStartTellsOfEnds(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// before and beforeNext are what the asked host knew before it read the whole list up to offset 10, in which "a" is
		// no more.
		before     []chestnutroad.KeyedRecord
		beforeNext chestnutroad.Offset
		// held is what the asking host holds, with "a" among it.
		held chestnutroad.Offset
		all  bool
	}{
		{"started after the end", nil, 0, 6, true},
		{"missed its life", []chestnutroad.KeyedRecord{keyed(1, "b", "x")}, 2, 6, true},
		{"asked by a host that holds the whole list", nil, 0, 10, false},
		{"read the list anew without a change", []chestnutroad.KeyedRecord{keyed(1, "b", "x")}, 10, 6, false},
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
