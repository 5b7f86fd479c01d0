package trace

import "github.com/chestnutroad/chestnutroad"

// EventType is the kind of an event.
type EventType string

// Event types, written to traces under these names.
const (
	// EventRequest is the arrival of the request in Request.
	EventRequest EventType = "Request"
	// TargetJoin adds the target in Target.
	TargetJoin EventType = "TargetJoin"
	// TargetLeave makes the target drain: it leaves when its requests have ended.
	TargetLeave EventType = "TargetLeave"
	// TargetRestart stops the target for ForMs. It returns with an empty cache and a higher incarnation.
	TargetRestart EventType = "TargetRestart"
	// TargetFlap makes the target unreachable for ForMs. Its cache is kept.
	TargetFlap EventType = "TargetFlap"
	// TargetFail stops the target permanently and without notice.
	TargetFail EventType = "TargetFail"
	// HostFail stops the host without notice.
	HostFail EventType = "HostFail"
	// HostJoin adds the host in Host.
	HostJoin EventType = "HostJoin"
	// HostReplace stops the host in Replaced as planned and adds the one in Host.
	HostReplace EventType = "HostReplace"
	// Partition cuts the data centre off from all others and from the platform until Heal.
	Partition EventType = "Partition"
	// Heal ends the partition of the data centre.
	Heal EventType = "Heal"
	// LogDown makes the platform's log unavailable until LogUp.
	LogDown EventType = "LogDown"
	// LogUp makes the platform's log available again.
	LogUp EventType = "LogUp"
)

// Event is one line of a trace after the header.
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

// Request describes a request that arrives at its entry host.
type Request struct {
	ID       chestnutroad.RequestID
	Team     chestnutroad.TeamID
	Service  chestnutroad.ServiceID
	Priority string
	Host     chestnutroad.HostID
	// Chat identifies the chat that the request is a turn of; zero means a plain call.
	Chat chestnutroad.ChatID `json:",omitempty"`
	// Prompt is the number of prompt tokens, Output the number of tokens of the answer.
	Prompt chestnutroad.Tokens `json:",omitempty"`
	Output chestnutroad.Tokens `json:",omitempty"`
	// MaxOutput is the limit that the caller set for Output; routers know only this limit.
	MaxOutput chestnutroad.Tokens `json:",omitempty"`
	// Key is the idempotency key of a call that must run at most once.
	Key chestnutroad.IdempotencyKey `json:",omitempty"`
	// ServiceMs is the service time of a plain call at its target.
	ServiceMs int64 `json:",omitempty"`
}

// Trace is a header with its events in time order.
type Trace struct {
	Header Header
	Events []Event
}
