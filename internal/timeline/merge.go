package timeline

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"

	"github.com/chestnutroad/chestnutroad"
)

// Merge puts the events of several files in one order: each host's events in their own order, each event after its cause
// where the cause is known, and otherwise by time.
//
// Stamps alone give that order where peers took in each other's stamps. The causes also hold where a stamp was lost or
// ignored, for example between clocks that differ by more than the limit of the clock.
func Merge(events []Event) ([]Event, []Notice) {
	mg := newMerger(events)
	notices := mg.gaps()
	merged := make([]Event, 0, len(events))
	for len(merged) < mg.total {
		if mg.ready.Len() == 0 {
			notices = append(notices, mg.breakCycle())
			continue
		}
		merged = append(merged, mg.pop())
	}
	return merged, notices
}

// stream is the events of one host that are not merged yet.
type stream struct {
	events []Event
}

func (sm *stream) head() Event { return sm.events[0] }

// streams is a heap of streams by the time of their first event.
type streams []*stream

func (ss streams) Len() int           { return len(ss) }
func (ss streams) Less(i, j int) bool { return before(ss[i].head(), ss[j].head()) }
func (ss streams) Swap(i, j int)      { ss[i], ss[j] = ss[j], ss[i] }
func (ss *streams) Push(item any)     { *ss = append(*ss, item.(*stream)) }

func (ss *streams) Pop() any {
	old := *ss
	last := old[len(old)-1]
	*ss = old[:len(old)-1]
	return last
}

func before(one, two Event) bool {
	return cmp.Or(one.Time.Compare(two.Time), cmp.Compare(one.Host, two.Host), compareSequence(one, two)) < 0
}

func compareSequence(one, two Event) int {
	return cmp.Or(cmp.Compare(one.Incarnation, two.Incarnation), cmp.Compare(one.Sequence, two.Sequence))
}

type merger struct {
	total int
	// known holds the events that are in any file, and whether they are merged yet.
	known map[Reference]bool
	ready streams
	// waiting holds streams whose first event has a known cause that is not merged yet.
	waiting map[Reference][]*stream
	hosts   []*stream
}

func newMerger(events []Event) *merger {
	mg := &merger{known: map[Reference]bool{}, waiting: map[Reference][]*stream{}}
	byHost := map[chestnutroad.HostID]*stream{}
	for _, event := range events {
		if _, twice := mg.known[event.Reference()]; twice {
			continue
		}
		mg.known[event.Reference()] = false
		mg.total++
		if byHost[event.Host] == nil {
			byHost[event.Host] = &stream{}
			mg.hosts = append(mg.hosts, byHost[event.Host])
		}
		byHost[event.Host].events = append(byHost[event.Host].events, event)
	}
	for _, sm := range mg.hosts {
		slices.SortFunc(sm.events, compareSequence)
		mg.add(sm)
	}
	return mg
}

// add files the stream as ready or as waiting for the cause of its first event.
func (mg *merger) add(sm *stream) {
	if len(sm.events) == 0 {
		return
	}
	cause := sm.head().Cause
	merged, known := mg.known[cause]
	if known && !merged && cause != sm.head().Reference() {
		mg.waiting[cause] = append(mg.waiting[cause], sm)
		return
	}
	heap.Push(&mg.ready, sm)
}

func (mg *merger) pop() Event {
	sm := heap.Pop(&mg.ready).(*stream)
	event := sm.head()
	sm.events = sm.events[1:]
	mg.known[event.Reference()] = true
	mg.add(sm)
	for _, freed := range mg.waiting[event.Reference()] {
		mg.add(freed)
	}
	delete(mg.waiting, event.Reference())
	return event
}

// breakCycle frees the earliest stream when all wait for each other, which only damaged files can cause.
func (mg *merger) breakCycle() Notice {
	var earliest *stream
	for _, group := range mg.waiting {
		for _, sm := range group {
			if earliest == nil || before(sm.head(), earliest.head()) {
				earliest = sm
			}
		}
	}
	event := earliest.head()
	mg.waiting[event.Cause] = slices.DeleteFunc(mg.waiting[event.Cause], func(sm *stream) bool { return sm == earliest })
	if len(mg.waiting[event.Cause]) == 0 {
		delete(mg.waiting, event.Cause)
	}
	heap.Push(&mg.ready, earliest)
	return Notice{File: string(event.Host), Message: fmt.Sprintf("event %s and its cause %s each come after the other",
		event.Reference(), event.Cause)}
}

// gaps reports events that the sequence numbers show to be missing.
func (mg *merger) gaps() []Notice {
	var notices []Notice
	for _, sm := range mg.hosts {
		missing := uint64(0)
		var last Event
		for _, event := range sm.events {
			if event.Incarnation != last.Incarnation {
				last.Sequence = 0
			}
			missing += event.Sequence - last.Sequence - 1
			last = event
		}
		if missing > 0 {
			notices = append(notices, Notice{File: string(last.Host), Message: fmt.Sprintf("events missing: %d", missing)})
		}
	}
	return notices
}
