package evacuation

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Kind is the kind of a Change.
type Kind int

// The kinds of changes.
const (
	// Begun is the begin of an evacuation.
	Begun Kind = iota
	// Ended is the end of an evacuation whose begin was returned before.
	Ended
	// Unknown is the begin of an evacuation of a data centre that this host doesn't know. Begun follows once it does.
	Unknown
)

// Change is a change of the evacuations at this host, for its log.
type Change struct {
	Kind       Kind
	DataCentre chestnutroad.DataCentreID
	// Position is that of the list or the record that caused the change, and Source where this host got it.
	Position chestnutroad.Position
	Source   string
	// Lasted is how long an evacuation that ended was in force at this host.
	Lasted time.Duration
}

// Changes returns the changes that were not returned before, ends first; known reports whether a data centre is known.
func (tr *Tracker) Changes(known func(chestnutroad.DataCentreID) bool) []Change {
	changes := tr.ended
	tr.ended = nil
	for _, id := range tr.Evacuated() {
		ev := tr.evacuations[id]
		change := Change{Kind: Begun, DataCentre: id, Position: ev.position, Source: ev.source}
		switch {
		case ev.reported:
			continue
		case known(id):
			ev.reported = true
		case ev.warned:
			continue
		default:
			change.Kind, ev.warned = Unknown, true
		}
		changes = append(changes, change)
	}
	return changes
}

// Reported returns the number of evacuations whose begin Changes has returned.
func (tr *Tracker) Reported() int {
	count := 0
	for _, ev := range tr.evacuations {
		if ev.reported {
			count++
		}
	}
	return count
}
