package trace

import "github.com/chestnutroad/chestnutroad"

// Format names the format and its version in the header line.
const Format = "chestnutroad-trace-1"

// Header is the first line of a trace: the site at the start and the delays of what it reports.
type Header struct {
	Format string
	Site   chestnutroad.SiteID
	Seed   uint64
	// DurationMs is the time that the events cover.
	DurationMs int64
	// OneWayLatencyMs is the time of a message between two data centres.
	OneWayLatencyMs float64
	// ReportIntervalMs and ReportLagMs are the interval and the age on arrival of engines' load reports.
	ReportIntervalMs int64
	ReportLagMs      int64
	// CacheEventLagMs is the age on arrival of engines' cache events, CacheEventLoss the fraction that never arrives.
	CacheEventLagMs int64
	CacheEventLoss  float64
	// HostListLagMs is the age of the platform's host list.
	HostListLagMs int64
	// LogLatencyMs is the time of an append to or a read from the platform's log.
	LogLatencyMs int64
	Hosts        []Host
	Targets      []Target
}

// Host is an entry host.
type Host struct {
	ID         chestnutroad.HostID
	DataCentre chestnutroad.DataCentreID
}

// Target is an engine or an instance of a plain service.
type Target struct {
	ID         chestnutroad.TargetID
	Service    chestnutroad.ServiceID
	DataCentre chestnutroad.DataCentreID
	// CacheTokens is the size of an engine's prefix cache; zero marks a plain service.
	CacheTokens chestnutroad.Tokens `json:",omitempty"`
}
