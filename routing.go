package chestnutroad

import (
	"net/netip"
	"time"
)

// RouteID names a routing rule of a configuration.
type RouteID string

// TeamKey is a secret by which a team authenticates.
type TeamKey string

// RoutingRule sends the requests of one host name and path prefix to services.
type RoutingRule struct {
	Name RouteID
	// HostName and Prefix select the requests; among the rules of a host name the longest matching prefix wins.
	HostName string
	Prefix   string
	// Repeat is RepeatAllowed for idempotent requests and for streams that may be resumed.
	Repeat    Repeat
	Streaming bool
	Resumable bool
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer earns its full worth; streams are measured to the first event.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between two events of a stream that is on time.
	EventGapTarget time.Duration
	// Rank orders requests; a lower number goes first.
	Rank        int
	Backends    []Backend
	MaxAttempts int
	// Anonymous rules need no team key.
	Anonymous bool
}

// Backend is one service of a rule with its share of the rule's requests.
type Backend struct {
	Service ServiceID
	Weight  float64
}

// ServiceSpec describes a service that rules lead to.
type ServiceSpec struct {
	Name ServiceID
	// MaxConnections is the number of connections that one target accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots      int
	KVCapacity Tokens
}

// TeamSpec is a team with the keys that identify it.
type TeamSpec struct {
	Name TeamID
	Keys []TeamKey
	// Rank overrides the rank of rules when HasRank is true.
	Rank    int
	HasRank bool
}

// CallerLimits bounds what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   Bytes
	BodyBytes     Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one accepted version of what operators want in force.
type Configuration struct {
	Version  Version
	Rules    []RoutingRule
	Services []ServiceSpec
	Teams    []TeamSpec
	Limits   CallerLimits
}

// TargetEntry is what a target has registered of itself.
type TargetEntry struct {
	ID         TargetID
	Service    ServiceID
	Address    netip.AddrPort
	DataCentre DataCentreID
	// Slots is the number of requests that the target runs at the same time.
	Slots   int
	Leaving bool
	// Incarnation tells apart the lives of a target that restarts under its id.
	Incarnation Incarnation
	// Sequence counts what this life of the target has written of itself; a later entry has a higher count.
	Sequence uint64
	// WarmUp is how much longer the target stays slow after its start.
	WarmUp time.Duration
	// Models are the names of the models that an engine has loaded; empty for plain services.
	Models []string
}

// SameIncarnation reports whether both entries describe the same life of one target at the same address.
func (te *TargetEntry) SameIncarnation(other *TargetEntry) bool {
	return te.ID == other.ID && te.Incarnation == other.Incarnation && te.Address == other.Address && te.Service == other.Service
}
