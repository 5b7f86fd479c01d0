package entry

import (
	"context"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

const (
	// observeInterval is the time between two checks of the listed versions while each service has one.
	observeInterval = 250 * time.Millisecond
	// handInterval is the time after which a host of a small installation hands the starts of streams to its relay, and handPerHost its
	// minimum for each host: a call costs the two hosts 0.26 ms of processor time.
	handInterval = 150 * time.Millisecond
	handPerHost  = time.Millisecond
	// relayInterval is the time after which a relay appends the starts of its data centre.
	relayInterval = 100 * time.Millisecond
	// appendInterval is the time between two appends of a host without a relay on small installations, and appendPerHost its minimum for
	// each host: a partition of the log takes an append in 2 ms.
	appendInterval = 250 * time.Millisecond
	appendPerHost  = 5 * time.Millisecond
	// appendTimeout limits an append, and appendMargin is the time that one, or a call to the relay, takes on a busy host.
	appendTimeout = time.Second
	appendMargin  = 150 * time.Millisecond
	// handedMemory is how long a host keeps what it has handed to its relay, which may fail before it has appended that.
	handedMemory = 2 * time.Second
)

// handedStarts are starts of streams that the host has handed to its relay.
type handedStarts struct {
	at     time.Duration
	starts []resumption.Start
}

// interval returns the time until the next write of starts.
func (sv *streamVersions) interval() time.Duration {
	switch {
	case !sv.hasSeveral():
		return observeInterval
	case sv.entry.link.relaying():
		return relayInterval
	default:
		return sv.ownHandInterval()
	}
}

func (sv *streamVersions) hasSeveral() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.tracker.HasSeveral(sv.entry.elapsed())
}

// ownHandInterval returns the time after which this host hands the starts of streams to its relay.
func (sv *streamVersions) ownHandInterval() time.Duration {
	return max(handInterval, time.Duration(sv.entry.state.currentHostCount())*handPerHost)
}

// ownAppendInterval returns the time between two appends of a host without a relay.
func (sv *streamVersions) ownAppendInterval() time.Duration {
	return max(appendInterval, time.Duration(sv.entry.state.currentHostCount())*appendPerHost)
}

// writeDelay returns the time after which a stream that began at a host of this data centre is known to its relay, or is in the log while
// there is none.
func (sv *streamVersions) writeDelay() time.Duration {
	if _, found := sv.entry.link.newRelayCall(); found || sv.entry.link.relaying() {
		return sv.ownHandInterval() + appendMargin
	}
	return sv.ownAppendInterval() + appendMargin
}

// maxRecords returns the number of records that all hosts append in startsHorizon at most.
func (sv *streamVersions) maxRecords() chestnutroad.Offset {
	hosts := sv.entry.state.currentHostCount()
	return chestnutroad.Offset(hosts) * chestnutroad.Offset(startsHorizon/sv.ownAppendInterval())
}

// writeStarts hands the starts of streams of services with several versions to the relay, or appends them to the log on a relay and where
// none takes them.
func (sv *streamVersions) writeStarts(ctx context.Context) {
	now := sv.entry.elapsed()
	call, hasRelay := sv.entry.link.newRelayCall()
	sv.mu.Lock()
	sv.returnHanded(now, call.address)
	starts := sv.tracker.TakeUnwritten(now)
	sv.mu.Unlock()
	if len(starts) == 0 {
		return
	}
	data, err := resumption.EncodeStarts(starts)
	if err != nil {
		sv.entry.logger.Error("starts of streams can't be encoded", "Count", len(starts), "Error", err)
		return
	}
	if hasRelay && call.fresh && sv.handStarts(ctx, &call, data) {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		sv.handedTo, sv.handed = call.address, append(sv.handed, handedStarts{at: now, starts: starts})
		return
	}
	if !sv.appendStarts(ctx, data, len(starts)) {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		sv.tracker.ReturnUnwritten(starts)
	}
}

// returnHanded takes back what was handed to a relay that this host does not follow any more; sv.mu must be held.
func (sv *streamVersions) returnHanded(now time.Duration, relay string) {
	for len(sv.handed) > 0 && now-sv.handed[0].at > handedMemory {
		sv.handed = sv.handed[1:]
	}
	if relay == sv.handedTo {
		return
	}
	for _, handed := range sv.handed {
		sv.tracker.ReturnUnwritten(handed.starts)
	}
	sv.handedTo, sv.handed = relay, nil
}

// handStarts hands starts to the relay and reports whether it has taken them.
func (sv *streamVersions) handStarts(ctx context.Context, call *relayCall, data []byte) (taken bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	call.request.Starts = data
	answer, err := siblings.Fetch(ctx, call.address, call.request)
	if err != nil {
		sv.entry.logger.Debug("starts of streams were not handed to the relay", "Address", call.address, "Error", err)
		return false
	}
	return answer.StartsTaken
}

// takeHandedStarts takes the starts of streams at another host of the data centre, which this host appends to the log.
func (sv *streamVersions) takeHandedStarts(data []byte) (taken bool) {
	if sv.log == nil || !sv.entry.link.relaying() {
		return false
	}
	starts, err := resumption.DecodeStarts(data)
	if err != nil {
		sv.entry.logger.Warn("starts of streams of another host can't be read", "Error", err)
		return false
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, start := range starts {
		sv.tracker.Take(sv.entry.elapsed(), start)
	}
	return true
}

// appendStarts appends starts to the log and reports whether that succeeded. A host that is no relay waits for its turn.
func (sv *streamVersions) appendStarts(ctx context.Context, data []byte, count int) (appended bool) {
	now := sv.entry.elapsed()
	if sv.log == nil || !sv.entry.link.relaying() && now-sv.appendedAt < sv.ownAppendInterval() {
		return false
	}
	sv.appendedAt = now
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := sv.log.Append(ctx, chestnutroad.StreamStarts, data); err != nil {
		sv.entry.logger.Warn("starts of streams were not written", "Count", count, "Error", err)
		return false
	}
	sv.entry.counters.countStarts(count)
	return true
}

// countStarts counts starts of streams that were written to the log.
func (cn *counters) countStarts(count int) {
	cn.set.GetOrCreateCounter("chestnutroad_stream_starts_written_total").Add(count)
}
