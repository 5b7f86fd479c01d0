package replay

import (
	"container/heap"
	"time"
)

// queuedEvent is one thing that happens at a time after the start; order breaks ties, so that a run is repeatable.
type queuedEvent struct {
	at    time.Duration
	sequence uint64
	fn    func()
}

// eventHeap implements heap.Interface.
type eventHeap []queuedEvent

// Len returns the number of events.
func (eh eventHeap) Len() int { return len(eh) }

// Less puts the earlier event first.
func (eh eventHeap) Less(one, other int) bool {
	if eh[one].at != eh[other].at {
		return eh[one].at < eh[other].at
	}
	return eh[one].sequence < eh[other].sequence
}

// Swap exchanges two events.
func (eh eventHeap) Swap(one, other int) { eh[one], eh[other] = eh[other], eh[one] }

// Push adds an event.
func (eh *eventHeap) Push(ev any) { *eh = append(*eh, ev.(queuedEvent)) }

// Pop removes the last event.
func (eh *eventHeap) Pop() any {
	last := len(*eh) - 1
	ev := (*eh)[last]
	(*eh)[last] = queuedEvent{}
	*eh = (*eh)[:last]
	return ev
}

// eventQueue runs events in virtual time.
type eventQueue struct {
	events eventHeap
	now    time.Duration
	lastSequence  uint64
}

// at runs fn at the time, or now if that has passed.
func (eq *eventQueue) at(when time.Duration, fn func()) {
	eq.lastSequence++
	heap.Push(&eq.events, queuedEvent{at: max(when, eq.now), sequence: eq.lastSequence, fn: fn})
}

func (eq *eventQueue) after(wait time.Duration, fn func()) { eq.at(eq.now+wait, fn) }

// run runs all events up to the end; settled is called each time when no event is left at an instant.
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
