package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// RestoreHold is how long an evacuation stays in force whose record is missing since the store was restored from an older
	// copy. The copy lacks the writes of the last seconds, which the operator writes again.
	RestoreHold = 2 * time.Second
	// maxDataCentres bounds the list that another host may send, and maxNameBytes each name in it: a key of the store has at most
	// 255 bytes, and the design size is 7 data centres.
	maxDataCentres = 64
	maxNameBytes   = 255
)

// ErrMalformed is returned for a list of another host that can't be valid.
var ErrMalformed = errors.New("malformed list of evacuated data centres")

// Record is an evacuation's record, or its deletion, with its position in the operators' stream.
type Record struct {
	chestnutroad.EvacuationRecord
	Position chestnutroad.Position
}

// evacuation is an evacuation in force.
type evacuation struct {
	since    time.Duration
	position chestnutroad.Position
	source   string
	// endsAt is when the evacuation ends unless its record is written again; zero while the record exists.
	endsAt time.Duration
	// reported is true once Changes returned the begin, warned once it returned that the data centre is unknown.
	reported, warned bool
}

// Tracker holds the evacuations that are in force at one host. Times are the elapsed time since the start of the host. It is not
// safe for concurrent use.
type Tracker struct {
	position    chestnutroad.Position
	evacuations map[chestnutroad.DataCentreID]*evacuation
	// seen is true once this host or one that it heard of has seen an evacuation.
	seen bool
	// ended are the ends that Changes has not returned yet.
	ended []Change
	// generation counts the begins and ends.
	generation uint64
}

// New returns the tracker of a host that knows of no evacuation.
func New() *Tracker { return &Tracker{evacuations: map[chestnutroad.DataCentreID]*evacuation{}} }

// Reset applies the newest records of all keys up to next, as read from the source.
func (tr *Tracker) Reset(now time.Duration, records []Record, next chestnutroad.Position, source string) {
	list := chestnutroad.EvacuationList{Position: next}
	for _, record := range records {
		if record.Evacuated {
			list.DataCentres = append(list.DataCentres, record.DataCentre)
		}
	}
	tr.seen = tr.seen || len(list.DataCentres) > 0
	tr.replace(now, &list, source)
}

// Apply applies all records of evacuations from an earlier position up to next, as read from the source.
func (tr *Tracker) Apply(now time.Duration, records []Record, next chestnutroad.Position, source string) {
	for _, record := range records {
		if tr.position.After(record.Position) {
			continue
		}
		if record.Evacuated {
			tr.seen = true
			tr.begin(now, record.DataCentre, record.Position, source)
		} else {
			tr.end(now, record.DataCentre, record.Position, source)
		}
	}
	if next.After(tr.position) {
		tr.position = next
	}
}

// Merge applies the list of another host if it is later than the one that this host has. The list is nil when the other host has
// seen no evacuation.
func (tr *Tracker) Merge(now time.Duration, list *chestnutroad.EvacuationList, source string) error {
	if list == nil {
		return nil
	}
	invalid := func(id chestnutroad.DataCentreID) bool { return id == "" || len(id) > maxNameBytes }
	if len(list.DataCentres)+len(list.Ending) > maxDataCentres ||
		slices.ContainsFunc(list.DataCentres, invalid) || slices.ContainsFunc(list.Ending, invalid) {
		return ErrMalformed
	}
	tr.seen = true
	tr.replace(now, list, source)
	return nil
}

// replace puts a list into force if it is later than the current one.
func (tr *Tracker) replace(now time.Duration, list *chestnutroad.EvacuationList, source string) {
	if !list.Position.After(tr.position) {
		return
	}
	first, laterEra := tr.position == chestnutroad.Position{}, list.Position.Era > tr.position.Era
	tr.position = list.Position
	for id, ev := range tr.evacuations {
		switch {
		case slices.Contains(list.DataCentres, id), ev.endsAt > 0:
		case laterEra:
			ev.endsAt = now + RestoreHold
		default:
			tr.end(now, id, list.Position, source)
		}
	}
	for _, id := range list.DataCentres {
		tr.begin(now, id, list.Position, source)
	}
	if !first && !laterEra {
		// Hosts that took over missing evacuations from each other at any time would keep them up for ever.
		return
	}
	for _, id := range list.Ending {
		if tr.evacuations[id] == nil {
			tr.begin(now, id, list.Position, source)
			tr.evacuations[id].endsAt = now + RestoreHold
		}
	}
}

func (tr *Tracker) begin(now time.Duration, id chestnutroad.DataCentreID, position chestnutroad.Position, source string) {
	if ev := tr.evacuations[id]; ev != nil {
		ev.endsAt = 0
		return
	}
	tr.evacuations[id] = &evacuation{since: now, position: position, source: source}
	tr.generation++
}

func (tr *Tracker) end(now time.Duration, id chestnutroad.DataCentreID, position chestnutroad.Position, source string) {
	ev := tr.evacuations[id]
	if ev == nil {
		return
	}
	delete(tr.evacuations, id)
	tr.generation++
	if ev.reported {
		tr.ended = append(tr.ended, Change{Kind: Ended, DataCentre: id, Position: position, Source: source, Lasted: now - ev.since})
	}
}

// Expire ends the evacuations whose record has been missing for RestoreHold since a restore of the store.
func (tr *Tracker) Expire(now time.Duration) {
	for id, ev := range tr.evacuations {
		if ev.endsAt > 0 && now >= ev.endsAt {
			tr.end(now, id, tr.position, "restore")
		}
	}
}

// Generation changes with each begin and end of an evacuation.
func (tr *Tracker) Generation() uint64 { return tr.generation }

// Evacuated returns the evacuated data centres, sorted.
func (tr *Tracker) Evacuated() []chestnutroad.DataCentreID {
	return slices.Sorted(maps.Keys(tr.evacuations))
}

// Seen reports whether this host or one that it heard of has seen an evacuation.
func (tr *Tracker) Seen() bool { return tr.seen }

// List returns the list for other hosts, or nil as long as no evacuation has been seen.
func (tr *Tracker) List() *chestnutroad.EvacuationList {
	if !tr.seen {
		return nil
	}
	list := &chestnutroad.EvacuationList{Position: tr.position}
	for _, id := range tr.Evacuated() {
		if tr.evacuations[id].endsAt > 0 {
			list.Ending = append(list.Ending, id)
		} else {
			list.DataCentres = append(list.DataCentres, id)
		}
	}
	return list
}
