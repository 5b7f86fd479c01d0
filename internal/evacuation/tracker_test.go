package evacuation_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/evacuation"
)

func at(era chestnutroad.Era, offset chestnutroad.Offset) chestnutroad.Position {
	return chestnutroad.Position{Era: era, Offset: offset}
}

func record(position chestnutroad.Position, id chestnutroad.DataCentreID, evacuated bool) evacuation.Record {
	return evacuation.Record{
		EvacuationRecord: chestnutroad.EvacuationRecord{DataCentre: id, Evacuated: evacuated}, Position: position,
	}
}

func list(position chestnutroad.Position, ids ...chestnutroad.DataCentreID) *chestnutroad.EvacuationList {
	return &chestnutroad.EvacuationList{Position: position, DataCentres: ids}
}

// TestLists guards against lists of earlier positions that replace later ones, against evacuations that end with a restore of the store, and
// against ones that outlast the deletion of their record.
func TestLists(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		act  func(tr *evacuation.Tracker) error
		// later is the time of the check.
		later time.Duration
		want  []chestnutroad.DataCentreID
	}{
		{"deletion", func(tr *evacuation.Tracker) error {
			tr.Apply(0, []evacuation.Record{record(at(0, 5), "a", false)}, at(0, 6), "store")
			return nil
		}, 0, []chestnutroad.DataCentreID{"b"}},
		{"earlier records", func(tr *evacuation.Tracker) error {
			tr.Apply(0, []evacuation.Record{record(at(0, 3), "c", true), record(at(0, 4), "a", false)}, at(0, 5), "store")
			return nil
		}, 0, []chestnutroad.DataCentreID{"a", "b"}},
		{"earlier list", func(tr *evacuation.Tracker) error {
			return tr.Merge(0, list(at(0, 4), "c"), "host")
		}, 0, []chestnutroad.DataCentreID{"a", "b"}},
		{"later list", func(tr *evacuation.Tracker) error {
			return tr.Merge(0, list(at(0, 6), "c"), "host")
		}, 0, []chestnutroad.DataCentreID{"c"}},
		{"newest records", func(tr *evacuation.Tracker) error {
			tr.Reset(0, []evacuation.Record{record(at(0, 1), "b", true)}, at(0, 7), "store")
			return nil
		}, 0, []chestnutroad.DataCentreID{"b"}},
		{"restore", func(tr *evacuation.Tracker) error {
			tr.Reset(0, nil, at(1, 2), "store")
			return nil
		}, evacuation.RestoreHold - 1, []chestnutroad.DataCentreID{"a", "b"}},
		{"restore, time over", func(tr *evacuation.Tracker) error {
			tr.Reset(0, nil, at(1, 2), "store")
			return nil
		}, evacuation.RestoreHold, nil},
		{"restore, written again", func(tr *evacuation.Tracker) error {
			tr.Reset(0, nil, at(1, 2), "store")
			tr.Apply(time.Second, []evacuation.Record{record(at(1, 2), "a", true)}, at(1, 3), "store")
			return nil
		}, time.Hour, []chestnutroad.DataCentreID{"a"}},
		{"restore, deleted", func(tr *evacuation.Tracker) error {
			tr.Reset(0, nil, at(1, 2), "store")
			tr.Apply(time.Second, []evacuation.Record{record(at(1, 2), "a", false)}, at(1, 3), "store")
			return nil
		}, time.Second, []chestnutroad.DataCentreID{"b"}},
		{"restore, list of another host", func(tr *evacuation.Tracker) error {
			return tr.Merge(0, list(at(1, 1), "b"), "host")
		}, time.Second, []chestnutroad.DataCentreID{"a", "b"}},
		{"later list of the new era", func(tr *evacuation.Tracker) error {
			tr.Reset(0, nil, at(1, 2), "store")
			return tr.Merge(time.Second, list(at(1, 4)), "host")
		}, time.Second, []chestnutroad.DataCentreID{"a", "b"}},
		{"earlier era", func(tr *evacuation.Tracker) error {
			tr.Reset(0, nil, at(1, 2), "store")
			return tr.Merge(0, list(at(0, 9), "c"), "host")
		}, evacuation.RestoreHold, nil},
		{"no list", func(tr *evacuation.Tracker) error { return tr.Merge(0, nil, "host") }, 0, []chestnutroad.DataCentreID{"a", "b"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := evacuation.New()
			tr.Reset(0, []evacuation.Record{record(at(0, 1), "a", true), record(at(0, 3), "b", true)}, at(0, 5), "store")
			if err := tc.act(tr); err != nil {
				t.Fatal(err)
			}
			tr.Expire(tc.later)
			if got := tr.Evacuated(); !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestListIsOmitted guards against messages that differ from those of earlier versions on installations without evacuations, and against
// hosts that keep an evacuation since their relay, which started after its end, does not state a list.
func TestListIsOmitted(t *testing.T) {
	t.Parallel()
	tr := evacuation.New()
	tr.Reset(0, nil, at(0, 5), "store")
	tr.Apply(0, []evacuation.Record{record(at(0, 5), "a", false)}, at(0, 6), "store")
	if got := tr.List(); got != nil || tr.Seen() {
		t.Errorf("got %v without an evacuation", got)
	}
	if err := tr.Merge(0, list(at(0, 3), "a"), "host"); err != nil {
		t.Fatal(err)
	}
	if got := tr.List(); got == nil || got.Position != at(0, 6) || len(got.DataCentres) > 0 {
		t.Errorf("got %v after the list of another host", got)
	}
}

// TestMissingIsTakenOver guards against a host that starts after a restore of the store and does not know of an evacuation whose record
// is missing, and against two hosts that keep it up for each other.
func TestMissingIsTakenOver(t *testing.T) {
	t.Parallel()
	former, started := evacuation.New(), evacuation.New()
	former.Reset(0, []evacuation.Record{record(at(0, 1), "a", true)}, at(0, 5), "store")
	former.Reset(0, nil, at(1, 2), "store")
	const begin = evacuation.RestoreHold / 2
	if err := started.Merge(begin, former.List(), "host"); err != nil {
		t.Fatal(err)
	}
	started.Reset(begin, nil, at(1, 2), "store")
	if got := started.Evacuated(); len(got) != 1 {
		t.Errorf("a host that starts has %v", got)
	}
	offset := chestnutroad.Offset(2)
	for now := begin; now <= begin+evacuation.RestoreHold; now += 100 * time.Millisecond {
		for _, pair := range [][2]*evacuation.Tracker{{former, started}, {started, former}} {
			offset++
			pair[0].Apply(now, nil, at(1, offset), "store")
			if err := pair[1].Merge(now, pair[0].List(), "host"); err != nil {
				t.Fatal(err)
			}
			pair[0].Expire(now)
			pair[1].Expire(now)
		}
	}
	if got := append(former.Evacuated(), started.Evacuated()...); len(got) > 0 {
		t.Errorf("still evacuated: %v", got)
	}
}

// TestMalformedLists guards against lists of other hosts that change something although they can't be valid.
func TestMalformedLists(t *testing.T) {
	t.Parallel()
	many := make([]chestnutroad.DataCentreID, 0, 65)
	for index := range cap(many) {
		many = append(many, chestnutroad.DataCentreID(fmt.Sprint(index)))
	}
	for _, malformed := range []*chestnutroad.EvacuationList{
		list(at(0, 9), ""), list(at(0, 9), "b", ""), list(at(0, 9), many...), list(at(0, 9), chestnutroad.DataCentreID(strings.Repeat("x", 256))),
		{Position: at(0, 9), Ending: []chestnutroad.DataCentreID{""}},
	} {
		tr := evacuation.New()
		tr.Reset(0, []evacuation.Record{record(at(0, 1), "a", true)}, at(0, 5), "store")
		if err := tr.Merge(0, malformed, "host"); !errors.Is(err, evacuation.ErrMalformed) {
			t.Errorf("got error %v for %v", err, malformed)
		}
		if got := tr.List(); got.Position != at(0, 5) || !slices.Equal(got.DataCentres, []chestnutroad.DataCentreID{"a"}) {
			t.Errorf("the list changed to %v", got)
		}
	}
}

// TestChanges guards against changes that are logged twice or not at all, and against an unknown data centre that is logged as evacuated.
func TestChanges(t *testing.T) {
	t.Parallel()
	known := map[chestnutroad.DataCentreID]bool{"a": true}
	tr := evacuation.New()
	expect := func(want ...string) {
		t.Helper()
		changes := tr.Changes(func(id chestnutroad.DataCentreID) bool { return known[id] })
		got := make([]string, 0, len(changes))
		for _, change := range changes {
			got = append(got, fmt.Sprintf("%d %s %s %s %s", change.Kind, change.DataCentre, change.Position, change.Source, change.Lasted))
		}
		if !slices.Equal(got, want) {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	tr.Reset(time.Second, []evacuation.Record{record(at(0, 1), "a", true), record(at(0, 2), "x", true)}, at(0, 3), "store")
	expect("0 a 0/3 store 0s", "2 x 0/3 store 0s")
	expect()
	if got := tr.Reported(); got != 1 {
		t.Errorf("%d evacuations are reported", got)
	}
	known["x"] = true
	expect("0 x 0/3 store 0s")
	if err := tr.Merge(3*time.Second, list(at(0, 4), "a"), "host"); err != nil {
		t.Fatal(err)
	}
	expect("1 x 0/4 host 2s")
	tr.Apply(4*time.Second, []evacuation.Record{record(at(0, 4), "a", false)}, at(0, 5), "store")
	expect("1 a 0/4 store 3s")
}
