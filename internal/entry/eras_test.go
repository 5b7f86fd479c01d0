package entry

import (
	"errors"
	"testing"

	"github.com/chestnutroad/chestnutroad"
)

// TestErasOnlyIncrease guards against using an answer of an earlier era that arrives late or on another connection, and against
// a read that resumes at an offset of an earlier era.
func TestErasOnlyIncrease(t *testing.T) {
	t.Parallel()
	type read struct {
		from, next chestnutroad.Position
		resumed    bool
		want       error
	}
	cases := []struct {
		name      string
		reads     []read
		increases uint64
	}{
		{"a store without eras", []read{{at(0), at(5), false, nil}, {at(5), at(9), true, nil}}, 0},
		{"the first era is not counted", []read{{at(0), inEra(3, 5), false, nil}, {inEra(3, 5), inEra(3, 9), true, nil}}, 0},
		{
			"restored from a copy", []read{
				{at(0), inEra(1, 9), false, nil},
				{inEra(1, 9), inEra(2, 9), true, errNewEra},
				{at(0), inEra(2, 7), false, nil},
			}, 1,
		},
		{
			"late answers", []read{
				{at(0), inEra(2, 9), false, nil},
				{inEra(1, 9), inEra(1, 12), true, errEarlierEra},
				{at(0), inEra(1, 12), false, errEarlierEra},
				{inEra(2, 9), inEra(2, 10), true, nil},
			}, 0,
		},
		{
			"two restores in a row", []read{
				{at(0), inEra(1, 9), false, nil},
				{inEra(1, 9), inEra(3, 9), true, errNewEra},
				{at(0), inEra(2, 9), false, errEarlierEra},
			}, 1,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			er := &eraTracker{}
			for index, rd := range tc.reads {
				if err := er.check(rd.from, rd.next, rd.resumed); !errors.Is(err, rd.want) || (err == nil) != (rd.want == nil) {
					t.Errorf("read %d: %v, want %v", index, err, rd.want)
				}
			}
			if er.count() != tc.increases {
				t.Errorf("era increased %d times, want %d", er.count(), tc.increases)
			}
		})
	}
}

// inEra returns a position of an era.
func inEra(era chestnutroad.Era, offset chestnutroad.Offset) chestnutroad.Position {
	return chestnutroad.Position{Era: era, Offset: offset}
}

// TestRecordsAcrossEras guards against treating records of an earlier era as newer, or applying changes to them, because their
// offsets are higher.
func TestRecordsAcrossEras(t *testing.T) {
	t.Parallel()
	rs := newRecordSet()
	rs.apply([]chestnutroad.KeyedRecord{keyed(1, "a", "1"), keyed(8, "b", "1")}, at(9))
	fresh := chestnutroad.KeyedRecord{Position: inEra(1, 2), Key: "a", Value: []byte("2")}
	rs.skipTo(inEra(1, 3))
	rs.apply(rs.filterStale([]chestnutroad.KeyedRecord{fresh, {Position: inEra(1, 3), Key: "b"}}), inEra(1, 3))
	if rs.next != inEra(1, 3) || !rs.has("a") || rs.has("b") {
		t.Errorf("got keys %v up to %s", rs.keys(), rs.next)
	}
	if _, all := answerFor(rs, at(9)); !all {
		t.Error("a host of the earlier era gets only changes")
	}
	late := []chestnutroad.KeyedRecord{keyed(9, "a", "3"), keyed(10, "b", "3")}
	if current := rs.filterStale(late); len(current) > 0 {
		t.Errorf("records of the earlier era are applied: %v", current)
	}
	rs.apply(nil, at(20))
	if rs.next != inEra(1, 3) {
		t.Errorf("the position went back to %s", rs.next)
	}
}

// TestStaleReadRevertsNothing guards against an answer of the store that is some seconds behind and reverts records that were
// fetched from another host.
func TestStaleReadRevertsNothing(t *testing.T) {
	t.Parallel()
	rs := newRecordSet()
	rs.apply([]chestnutroad.KeyedRecord{
		keyed(1, "a", "ready"), keyed(6, "a", "leaving"), keyed(7, "b", "1"), keyed(8, "c", ""),
	}, at(9))
	stale := []chestnutroad.KeyedRecord{keyed(1, "a", "ready"), {Position: at(5), Key: "b"}}
	rs.apply(rs.filterStale(stale), at(5))
	if got := string(rs.byKey["a"].Value); got != "leaving" || !rs.has("b") {
		t.Errorf("a is %q, keys %v", got, rs.keys())
	}
}
