package trace

import "github.com/chestnutroad/chestnutroad"

// Format is the value of Header.Format: the name and version of the trace format.
const Format = "chestnutroad-trace-1"

// Header is the first line of a trace: the site at the start and the delays of messages and reports within it.
type Header struct {
	Format string
	Site   chestnutroad.SiteID
	Seed   uint64
	// DurationMs is the length of the trace.
	DurationMs int64
	// OneWayLatencyMs is the one-way latency between two data centres.
	OneWayLatencyMs float64
	// ReportIntervalMs is the interval of engines' load reports, ReportLagMs their age on arrival.
	ReportIntervalMs int64
	ReportLagMs      int64
	// CacheEventLagMs is the age of engines' cache events on arrival, CacheEventLoss the fraction that is lost.
	CacheEventLagMs int64
	CacheEventLoss  float64
	// HostListLagMs is the age of the platform's host list.
	HostListLagMs int64
	// LogLatencyMs is the latency of an append to or a read from the platform's log.
	LogLatencyMs int64
	Hosts        []Host
	Targets      []Target
}

// Host is an entry host and its data centre.
type Host struct {
	ID         chestnutroad.HostID
	DataCentre chestnutroad.DataCentreID
}

// Target is an engine or an instance of a plain service.
type Target struct {
	ID         chestnutroad.TargetID
	Service    chestnutroad.ServiceID
	DataCentre chestnutroad.DataCentreID
	// CacheTokens is the size of an engine's prefix cache; zero means a plain service.
	CacheTokens chestnutroad.Tokens `json:",omitempty"`
}
