package entry

import (
	"fmt"
	"slices"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

const (
	// maxReportedStarts bounds the starts of streams of each kind in a datagram, which has to fit in 8 KB with its other contents.
	maxReportedStarts = 192
	// maxQueuedStarts bounds the starts that wait to be passed on by a relay.
	maxQueuedStarts = 10_000
)

// addPendingStarts adds to the status the starts of streams that other hosts are to know: those of this host, and those that it has learned
// as a relay.
func (sv *streamVersions) addPendingStarts(status *relay.LocalState) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	own := sv.tracker.TakeUnreported(maxReportedStarts)
	status.Starts = slices.Concat(own, takeStarts(&sv.localStarts, maxReportedStarts-len(own)))
	status.RemoteStarts = takeStarts(&sv.remoteStarts, maxReportedStarts)
}

// takeStarts removes up to most starts from the front of the queue and returns them.
func takeStarts(queue *[]resumption.Start, most int) []resumption.Start {
	taken := (*queue)[:min(most, len(*queue))]
	*queue = (*queue)[len(taken):]
	return taken
}

// completeReport keeps the starts in the status if there was nobody to send them to. When this host follows another relay than before, it
// reports all of its streams again: the former relay may have failed with the latest ones, and the new one may know none.
func (sv *streamVersions) completeReport(status *relay.LocalState, sent bool, followed chestnutroad.HostID) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	switch {
	case !sent:
		sv.tracker.ReturnUnreported(status.Starts)
	case followed != sv.reportedTo:
		sv.reportedTo = followed
		sv.tracker.ReportAgain(sv.entry.elapsed())
	}
}

// learnReported records where streams began according to another host's message. A relay passes on what it did not know.
func (sv *streamVersions) learnReported(message *relay.Message, relaying bool) {
	if len(message.Starts) == 0 {
		return
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := sv.entry.elapsed()
	var learned []resumption.Start
	for _, start := range message.Starts {
		if sv.tracker.Learn(now, start) {
			learned = append(learned, start)
		}
	}
	sv.entry.counters.countLearnedStarts(message.Kind, len(learned))
	switch {
	case relaying && message.Kind == relay.Report:
		sv.localStarts = queueStarts(sv.localStarts, learned)
	case relaying && message.Kind == relay.Exchange:
		sv.remoteStarts = queueStarts(sv.remoteStarts, learned)
	}
}

// queueStarts appends starts to the queue, of which the oldest ones are dropped when it is full.
func queueStarts(queue, starts []resumption.Start) []resumption.Start {
	queue = append(queue, starts...)
	return queue[max(0, len(queue)-maxQueuedStarts):]
}

// countLearnedStarts counts starts of streams that this host learned from messages of a kind.
func (cn *counters) countLearnedStarts(kind relay.Kind, count int) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_stream_starts_learned_total{message=%q}", kind)).Add(count)
}
