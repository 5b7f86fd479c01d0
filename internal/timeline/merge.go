package timeline

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"

	"github.com/chestnutroad/chestnutroad"
)

// Merge merges the events of several files: each host's events by sequence number, each event after its cause if the files
// contain the cause, and otherwise by time. Duplicates are dropped, and gaps and cyclic causes are returned as notices.
//
// Ordering by stamp is enough where peers observed each other's stamps. Causes also keep the order where a stamp was lost or
// ignored, for example between clocks that differ by more than the clock's limit.
func Merge(events []Event) ([]Event, []Notice) {
	mg := newMerger(events)
	notices := mg.missingEvents()
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

// stream holds the events of one host that are not merged yet, in order.
type stream struct {
	events []Event
}

func (sm *stream) head() Event { return sm.events[0] }

// streams is a min-heap of streams, ordered by their first events.
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

// before orders events by time; host, incarnation and sequence break ties, so that the order of the files has no influence.
func before(a, b Event) bool {
	return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host), compareSequence(a, b)) < 0
}

// compareSequence orders the events of one host.
func compareSequence(a, b Event) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence))
}

// merger is a topological sort over the hosts' streams. Only the first event of a stream can be merged next.
type merger struct {
	// total is the number of distinct events.
	total int
	// merged has an entry for each event of the files, true once the event is merged.
	merged map[Reference]bool
	// ready holds the streams whose first event can be merged.
	ready streams
	// waiting holds the streams whose first event has a cause that is not merged yet, by that cause.
	waiting map[Reference][]*stream
	hosts   []*stream
}

func newMerger(events []Event) *merger {
	mg := &merger{merged: map[Reference]bool{}, waiting: map[Reference][]*stream{}}
	byHost := map[chestnutroad.HostID]*stream{}
	for _, event := range events {
		if _, duplicate := mg.merged[event.Reference()]; duplicate {
			continue
		}
		mg.merged[event.Reference()] = false
		mg.total++
		if byHost[event.Host] == nil {
			byHost[event.Host] = &stream{}
			mg.hosts = append(mg.hosts, byHost[event.Host])
		}
		byHost[event.Host].events = append(byHost[event.Host].events, event)
	}
	for _, sm := range mg.hosts {
		slices.SortFunc(sm.events, compareSequence)
		mg.enqueue(sm)
	}
	return mg
}

// enqueue adds a non-empty stream to ready, or to waiting if the cause of its first event is yet to be merged.
func (mg *merger) enqueue(sm *stream) {
	if len(sm.events) == 0 {
		return
	}
	cause := sm.head().Cause
	merged, found := mg.merged[cause]
	if found && !merged && cause != sm.head().Reference() {
		mg.waiting[cause] = append(mg.waiting[cause], sm)
		return
	}
	heap.Push(&mg.ready, sm)
}

// pop merges the next event and enqueues its stream and the streams that waited for the event.
func (mg *merger) pop() Event {
	sm := heap.Pop(&mg.ready).(*stream)
	event := sm.head()
	sm.events = sm.events[1:]
	mg.merged[event.Reference()] = true
	mg.enqueue(sm)
	for _, unblocked := range mg.waiting[event.Reference()] {
		mg.enqueue(unblocked)
	}
	delete(mg.waiting, event.Reference())
	return event
}

// breakCycle makes the earliest waiting stream ready although its cause is not merged. It is called when all remaining streams
// wait for each other, which happens only with damaged files.
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
	return Notice{File: string(event.Host), Message: fmt.Sprintf("cyclic causes: event %s is placed before its cause %s",
		event.Reference(), event.Cause)}
}

// missingEvents returns a notice for each host whose sequence numbers have gaps.
func (mg *merger) missingEvents() []Notice {
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
