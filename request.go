package chestnutroad

import "time"

// Priority orders requests; a lower number goes first.
type Priority int

// The priorities, most urgent first.
const (
	PriorityOrder Priority = iota
	PriorityLookup
	PriorityChat
	PriorityDraft
)

// PriorityCount is the number of priorities.
const PriorityCount = 4

var priorityNames = [PriorityCount]string{"Order", "Lookup", "Chat", "Draft"}

// String returns the priority's name in settings and logs.
func (pr Priority) String() string {
	if pr < 0 || int(pr) >= len(priorityNames) {
		return "Unknown"
	}
	return priorityNames[pr]
}

// ParsePriority returns the priority of that name.
func ParsePriority(name string) (Priority, bool) {
	for index, known := range priorityNames {
		if known == name {
			return Priority(index), true
		}
	}
	return 0, false
}

// Repeat says whether a call may be sent to a target more than once.
type Repeat string

// The kinds of repetition that a service allows.
const (
	// RepeatAllowed marks idempotent calls.
	RepeatAllowed Repeat = "Allowed"
	// RepeatNever marks calls that must run at most once.
	RepeatNever Repeat = "Never"
	// RepeatTargetDeduplicates marks calls whose target recognises the idempotency key itself.
	RepeatTargetDeduplicates Repeat = "TargetDeduplicates"
)

// Request is what the decisions know of one caller's request; the body travels beside it.
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
	// MaxOutput is the most tokens that the request may generate.
	MaxOutput Tokens
	Arrived   time.Time
	Deadline  time.Time
}
