package chestnutroad

import "time"

// Priority orders requests; a lower number is served first.
type Priority int

// The priorities, highest first.
const (
	PriorityOrder Priority = iota
	PriorityLookup
	PriorityChat
	PriorityDraft
)

// PriorityCount is the number of priorities.
const PriorityCount = 4

var priorityNames = [PriorityCount]string{"Order", "Lookup", "Chat", "Draft"}

// String returns the name of the priority, as it is written in settings and logs.
func (pr Priority) String() string {
	if pr < 0 || int(pr) >= len(priorityNames) {
		return "Unknown"
	}
	return priorityNames[pr]
}

// ParsePriority returns the priority with the name.
func ParsePriority(name string) (Priority, bool) {
	for index, candidate := range priorityNames {
		if candidate == name {
			return Priority(index), true
		}
	}
	return 0, false
}

// Repeat tells whether a call may be sent to targets more than once.
type Repeat string

// The values of Repeat.
const (
	// RepeatAllowed marks idempotent calls.
	RepeatAllowed Repeat = "Allowed"
	// RepeatNever marks calls that must run at most once.
	RepeatNever Repeat = "Never"
	// RepeatTargetDeduplicates marks calls whose target recognises the idempotency key itself.
	RepeatTargetDeduplicates Repeat = "TargetDeduplicates"
)

// Request holds the metadata of a caller's request on which routing and admission depend; the body is passed separately.
type Request struct {
	ID       RequestID
	Team     TeamID
	Service  ServiceID
	Chat     ChatID
	Priority Priority
	Repeat   Repeat
	Key      IdempotencyKey
	// Prompt is the number of prompt tokens, cached or not.
	Prompt Tokens
	// MaxOutput is the maximum number of tokens that the request may generate.
	MaxOutput Tokens
	Arrived   time.Time
	Deadline  time.Time
}
