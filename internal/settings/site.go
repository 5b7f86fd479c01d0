package settings

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Site holds the settings of a site.
type Site struct {
	ID          chestnutroad.SiteID
	DataCentres []chestnutroad.DataCentreID
	// OneWayLatency is the one-way latency between two data centres.
	OneWayLatency time.Duration
	// ClientLatency is the one-way latency between a caller and the site.
	ClientLatency time.Duration
	// ExpectedHosts is the number of entry hosts that the site should have; zero means unknown.
	ExpectedHosts int
}

// HasDataCentre reports whether the data centre belongs to the site.
func (st Site) HasDataCentre(id chestnutroad.DataCentreID) bool {
	for _, centre := range st.DataCentres {
		if centre == id {
			return true
		}
	}
	return false
}

func readSite(rd *reader) Site {
	st := Site{
		ID:            chestnutroad.SiteID(rd.id("Sites")),
		DataCentres:   readDataCentres(rd),
		OneWayLatency: rd.duration("OneWayLatency", time.Millisecond, 0, time.Second),
		ClientLatency: rd.duration("ClientLatency", 3*time.Millisecond, 0, 10*time.Second),
		ExpectedHosts: int(rd.count("ExpectedHosts", 0, 0, 10_000)),
	}
	rd.reportUnknownKeys()
	return st
}

func readDataCentres(rd *reader) []chestnutroad.DataCentreID {
	texts := rd.texts("DataCentres", checkID)
	ids := make([]chestnutroad.DataCentreID, 0, len(texts))
	for _, text := range texts {
		ids = append(ids, chestnutroad.DataCentreID(text))
	}
	rd.requireItems("DataCentres", len(ids))
	return ids
}

// requireItems reports a list that is missing or empty.
func (rd *reader) requireItems(key string, count int) {
	en := rd.tb.entries[key]
	if en == nil {
		rd.reportMissing(key)
		return
	}
	if items, isList := en.value.([]any); isList && len(items) == 0 && count == 0 {
		rd.errorf(key, en, "must list at least one item")
	}
}
