package trace

import "github.com/chestnutroad/chestnutroad"

// EventType says what happens.
type EventType string

// The events.
const (
	EventRequest EventType = "Request"
	// TargetJoin adds the target in Target.
	TargetJoin EventType = "TargetJoin"
	// TargetLeave announces that the target leaves; it goes when its requests have ended.
	TargetLeave EventType = "TargetLeave"
	// TargetRestart stops the target for ForMs; it comes back with an empty cache and a higher incarnation.
	TargetRestart EventType = "TargetRestart"
	// TargetFlap makes the target unreachable for ForMs; it keeps its cache.
	TargetFlap EventType = "TargetFlap"
	// TargetFail stops the target for good without notice.
	TargetFail EventType = "TargetFail"
	// HostFail stops the host without notice.
	HostFail EventType = "HostFail"
	// HostJoin adds the host in Host.
	HostJoin EventType = "HostJoin"
	// HostReplace stops the host named Replaced as planned and adds the one in Host.
	HostReplace EventType = "HostReplace"
	// Partition cuts the data centre off from all others and from the platform until Heal.
	Partition EventType = "Partition"
	Heal      EventType = "Heal"
	LogDown   EventType = "LogDown"
	LogUp     EventType = "LogUp"
)

// Event is one line after the header.
type Event struct {
	AtMs       int64
	Type       EventType
	Request    *Request                  `json:",omitempty"`
	Target     *Target                   `json:",omitempty"`
	Host       *Host                     `json:",omitempty"`
	Replaced   chestnutroad.HostID       `json:",omitempty"`
	DataCentre chestnutroad.DataCentreID `json:",omitempty"`
	ForMs      int64                     `json:",omitempty"`
}

// Request is the arrival of one request at its entry host.
type Request struct {
	ID       chestnutroad.RequestID
	Team     chestnutroad.TeamID
	Service  chestnutroad.ServiceID
	Priority string
	Host     chestnutroad.HostID
	// Chat identifies a returning chat; zero marks a plain call.
	Chat chestnutroad.ChatID `json:",omitempty"`
	// Prompt is the number of prompt tokens and Output the number of tokens that the answer takes.
	Prompt chestnutroad.Tokens `json:",omitempty"`
	Output chestnutroad.Tokens `json:",omitempty"`
	// MaxOutput is the limit of the answer that the caller set; routers know only this.
	MaxOutput chestnutroad.Tokens `json:",omitempty"`
	// Key marks a call that must run at most once.
	Key chestnutroad.IdempotencyKey `json:",omitempty"`
	// ServiceMs is the time that a plain call takes at its target.
	ServiceMs int64 `json:",omitempty"`
}

// Trace is a header with its events in time order.
type Trace struct {
	Header Header
	Events []Event
}
