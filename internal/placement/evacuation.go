package placement

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// SetEvacuated replaces the list of evacuated data centres, whose targets get no further requests.
//
// Prompt parts at targets of a data centre whose evacuation begins are forgotten, so that all hosts divide them among the remaining
// targets by their hash. When an evacuation ends, its targets count as just joined, so that parts that moved stay where they are while
// in use, and as cold.
func (pl *Pool) SetEvacuated(now time.Time, dataCentres []chestnutroad.DataCentreID) {
	for _, id := range pl.evacuated {
		if !slices.Contains(dataCentres, id) {
			pl.MarkCold(now, id)
		}
	}
	pl.evacuated = slices.Clone(dataCentres)
	for _, tg := range pl.targets {
		before := tg.evacuated
		pl.updateEvacuated(tg)
		if before && !tg.evacuated {
			pl.MarkJoined(now, tg.entry.ID)
		}
	}
	for part, rd := range pl.residences.parts {
		if tg := pl.targets[rd.target.id]; tg != nil && tg.evacuated {
			delete(pl.residences.parts, part)
		}
	}
}

// updateEvacuated sets whether the target's data centre is evacuated.
func (pl *Pool) updateEvacuated(tg *target) {
	tg.evacuated = slices.Contains(pl.evacuated, tg.entry.DataCentre)
}

// AllEvacuated reports whether the service has targets for the request in allowed regions, and all that don't leave are in evacuated
// data centres.
func (pl *Pool) AllEvacuated(req *Request) bool {
	evacuated := 0
	for _, tg := range pl.services[req.Service] {
		if tg.leaving() || !hasModel(&tg.entry, req.Model) || !pl.allowsRegion(req, tg) {
			continue
		}
		if !tg.evacuated {
			return false
		}
		evacuated++
	}
	return evacuated > 0
}

// OpenRequests returns the number of this host's requests that run at registered targets of a data centre.
func (pl *Pool) OpenRequests(dataCentre chestnutroad.DataCentreID) int {
	open := 0
	for _, tg := range pl.targets {
		if tg.entry.DataCentre == dataCentre {
			open += tg.ownCount
		}
	}
	return open
}

// HasTargetIn reports whether a target of the data centre is registered.
func (pl *Pool) HasTargetIn(dataCentre chestnutroad.DataCentreID) bool {
	for _, tg := range pl.targets {
		if tg.entry.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// OpenAtEvacuated returns the number of this host's requests that run at registered targets of evacuated data centres.
func (pl *Pool) OpenAtEvacuated() int {
	open := 0
	for _, tg := range pl.targets {
		if tg.evacuated {
			open += tg.ownCount
		}
	}
	return open
}
