package replay

import (
	"container/heap"
	"time"
)

// queuedEvent is a function to call at a time since the start. Events at the same time run in order of their sequence
// numbers, so that a replay is deterministic.
type queuedEvent struct {
	at       time.Duration
	sequence uint64
	fn       func()
}

// eventHeap implements heap.Interface.
type eventHeap []queuedEvent

// Len returns the number of events.
func (eh eventHeap) Len() int { return len(eh) }

// Less orders events by time, then by sequence number.
func (eh eventHeap) Less(i, j int) bool {
	if eh[i].at != eh[j].at {
		return eh[i].at < eh[j].at
	}
	return eh[i].sequence < eh[j].sequence
}

// Swap exchanges two events.
func (eh eventHeap) Swap(i, j int) { eh[i], eh[j] = eh[j], eh[i] }

// Push adds an event.
func (eh *eventHeap) Push(ev any) { *eh = append(*eh, ev.(queuedEvent)) }

// Pop removes the last element of the slice, where heap.Pop puts the earliest event.
func (eh *eventHeap) Pop() any {
	last := len(*eh) - 1
	ev := (*eh)[last]
	(*eh)[last] = queuedEvent{}
	*eh = (*eh)[:last]
	return ev
}

// eventQueue runs events in virtual time; now is the time since the start.
type eventQueue struct {
	events       eventHeap
	now          time.Duration
	lastSequence uint64
}

// at schedules fn for the given time, or for the current time if that has passed.
func (eq *eventQueue) at(when time.Duration, fn func()) {
	eq.lastSequence++
	heap.Push(&eq.events, queuedEvent{at: max(when, eq.now), sequence: eq.lastSequence, fn: fn})
}

func (eq *eventQueue) after(wait time.Duration, fn func()) { eq.at(eq.now+wait, fn) }

// run runs all events up to the end. It calls settled after the last event of each instant.
func (eq *eventQueue) run(end time.Duration, settled func()) {
	for len(eq.events) > 0 && eq.events[0].at <= end {
		ev := heap.Pop(&eq.events).(queuedEvent)
		if ev.at > eq.now {
			settled()
			eq.now = ev.at
		}
		ev.fn()
	}
	settled()
	eq.now = max(eq.now, end)
}
