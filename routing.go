package chestnutroad

import (
	"net/netip"
	"time"
)

// RouteID identifies a routing rule of a configuration.
type RouteID string

// TeamKey is a secret with which a team authenticates.
type TeamKey string

// RoutingRule routes the requests for a host name and path prefix to services.
type RoutingRule struct {
	Name RouteID
	// HostName and Prefix match requests; among the rules of a host name the one with the longest matching prefix is used.
	HostName string
	Prefix   string
	// Repeat is RepeatAllowed for idempotent requests and for streams that may be resumed.
	Repeat    Repeat
	Streaming bool
	Resumable bool
	// Timeout is the time limit of a request; the caller may state a shorter one.
	Timeout time.Duration
	// LatencyTarget is the latency goal of an answer; that of a stream is measured to its first event.
	LatencyTarget time.Duration
	// EventGapTarget is the goal for the time between two events of a stream.
	EventGapTarget time.Duration
	// Rank orders requests; a lower number is served first.
	Rank     int
	Backends []Backend
	// MaxAttempts is the maximum number of times that a request is sent to a target.
	MaxAttempts int
	// Anonymous is true when requests need no team key.
	Anonymous bool
	// AllowedRegions confines requests to targets in these regions; empty for no restriction.
	AllowedRegions []RegionID
}

// Backend is a service of a rule with its weight in the split of the rule's requests.
type Backend struct {
	Service ServiceID
	Weight  float64
}

// ServiceSpec describes a service to which rules route requests.
type ServiceSpec struct {
	Name ServiceID
	// MaxConnections is the number of connections that one target accepts from all clients together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineSpec
	// ColdTime is the time for which a target is cold after its start, and ColdRate the requests a second that it tolerates in this
	// time from all hosts together. With a rate of zero its targets are never cold.
	ColdTime time.Duration
	ColdRate RequestRate
}

// EngineSpec describes each model engine of a service.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs at the same time.
	Slots int
	// KVCapacity is the capacity of an engine's KV cache.
	KVCapacity Tokens
	// KVBytes is the size of the KV cache of one token; zero when it is not stated.
	KVBytes Bytes
	// LinkMbps is the rate in Mbit/s at which an engine sends its cache to others; zero when it is not stated.
	LinkMbps float64
	// Replicas is true when the configuration states that the engines are replicas, which can use each other's caches.
	Replicas bool
}

// TeamSpec describes a team and the keys with which it authenticates.
type TeamSpec struct {
	Name TeamID
	Keys []TeamKey
	// Rank overrides the rank of rules when HasRank is true.
	Rank    int
	HasRank bool
	// AllowedRegions confines the team's requests to targets in these regions; empty for no restriction.
	AllowedRegions []RegionID
}

// CallerLimits holds the size and time limits of callers' requests and connections.
type CallerLimits struct {
	HeaderBytes   Bytes
	BodyBytes     Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' configuration of a site.
type Configuration struct {
	Version  Version
	Rules    []RoutingRule
	Services []ServiceSpec
	Teams    []TeamSpec
	Limits   CallerLimits
	// Ignored lists the optional fields whose values can't be used; they count as missing.
	Ignored []string
}

// TargetEntry is the registration of a target, which the target writes itself.
type TargetEntry struct {
	ID         TargetID
	Service    ServiceID
	Address    netip.AddrPort
	DataCentre DataCentreID
	// Slots is the number of requests that the target runs at the same time.
	Slots   int
	Leaving bool
	// Incarnation distinguishes the starts of a target that restarts under the same id.
	Incarnation Incarnation
	// Sequence numbers the entries that this incarnation of the target has written; a later entry has a higher number.
	Sequence uint64
	// WarmUp is the time for which the target is still slow after its start.
	WarmUp time.Duration
	// InvalidWarmUp is true when the entry states a time that is negative or longer than an hour.
	InvalidWarmUp bool
	// SoftwareVersion is the version of the target's software; versions have no order.
	SoftwareVersion SoftwareVersion
	// Models lists the names of the models that an engine has loaded; it is empty for plain services.
	Models []string
}

// SameIncarnation reports whether both entries are of the same incarnation of one target, for the same service and address.
func (te *TargetEntry) SameIncarnation(other *TargetEntry) bool {
	return te.ID == other.ID && te.Incarnation == other.Incarnation && te.Address == other.Address && te.Service == other.Service
}
