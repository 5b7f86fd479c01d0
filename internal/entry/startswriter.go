package entry

import (
	"context"
	"fmt"
	"slices"
	"strconv"
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
	// promptInterval is the least time between two writes while streams wait for their starts to be in the log.
	promptInterval = 25 * time.Millisecond
	// appendTime is the time in which a partition of the log takes an append.
	appendTime = 2 * time.Millisecond
	// appendInterval is the time between two appends of a host without a relay on small installations, and appendPerHost its minimum for
	// each host.
	appendInterval = 250 * time.Millisecond
	appendPerHost  = 5 * time.Millisecond
	// appendTimeout limits an append, and appendMargin is the time that one, or a call to the relay, takes on a busy host.
	appendTimeout = time.Second
	appendMargin  = 150 * time.Millisecond
	// logWait limits the time for which a relay answers only once starts are in the log.
	logWait = 300 * time.Millisecond
	// handedMemory is how long a host keeps what it has handed to its relay, which may fail before it has appended that.
	handedMemory = 2 * time.Second
)

// handedStarts are starts of streams that the host has handed to its relay.
type handedStarts struct {
	at     time.Duration
	starts []resumption.Start
}

// runWriter writes the starts of streams until ctx ends, at once if a stream waits for that.
func (sv *streamVersions) runWriter(ctx context.Context) {
	for ctx.Err() == nil {
		started := sv.entry.elapsed()
		timer := time.NewTimer(sv.interval())
		select {
		case <-timer.C:
		case <-sv.wake:
		case <-ctx.Done():
		}
		timer.Stop()
		sv.writeStarts(ctx)
		sleep(ctx, promptInterval-(sv.entry.elapsed()-started))
	}
}

// logWaiter is a stream that waits until its start is in the log.
type logWaiter struct{ number uint64 }

// newLogWait registers that a stream, whose start was queued last, waits until it is in the log; sv.mu must be held.
func (sv *streamVersions) newLogWait() logWaiter {
	sv.pending++
	sv.waiting++
	select {
	case sv.wake <- struct{}{}:
	default:
	}
	return logWaiter{number: sv.pending}
}

// awaitLogged waits until the start is in the log, or until ctx ends, and reports whether it is.
func (sv *streamVersions) awaitLogged(ctx context.Context, waiter logWaiter) (logged bool) {
	defer func() {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		sv.waiting--
	}()
	for {
		sv.mu.Lock()
		progress := sv.progress
		logged = sv.pendingLogged >= waiter.number
		sv.mu.Unlock()
		if logged {
			return true
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
	}
}

// recordLogged records that the starts queued up to a number are in the log; sv.mu must be held.
func (sv *streamVersions) recordLogged(number uint64) {
	if number > sv.pendingLogged {
		sv.pendingLogged = number
		close(sv.progress)
		sv.progress = make(chan struct{})
	}
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
	return min(chestnutroad.Offset(hosts)*chestnutroad.Offset(startsHorizon/promptInterval), chestnutroad.Offset(startsHorizon/appendTime))
}

// writeStarts hands the starts of streams of services with several versions to the relay, or appends them to the log on a relay and where
// none takes them.
func (sv *streamVersions) writeStarts(ctx context.Context) {
	now := sv.entry.elapsed()
	call, hasRelay := sv.entry.link.newRelayCall()
	sv.mu.Lock()
	sv.returnHanded(now, call.address)
	starts, number, prompt := sv.tracker.TakeUnwritten(now), sv.pending, sv.waiting > 0
	sv.mu.Unlock()
	if len(starts) == 0 {
		return
	}
	data, err := resumption.EncodeStarts(starts)
	if err != nil {
		sv.entry.logger.Error("starts of streams can't be encoded", "Count", len(starts), "Error", err)
		return
	}
	if hasRelay && call.fresh {
		taken, logged := sv.handStarts(ctx, &call, data, prompt)
		if taken && (logged || !prompt) {
			sv.mu.Lock()
			defer sv.mu.Unlock()
			if !logged {
				sv.handedTo, sv.handed = call.address, append(sv.handed, handedStarts{at: now, starts: starts})
				return
			}
			sv.recordLogged(number)
			return
		}
	}
	sv.appendTaken(ctx, starts, data, number, prompt)
}

// appendTaken appends starts that were taken from the tracker to the log, or returns them.
func (sv *streamVersions) appendTaken(ctx context.Context, starts []resumption.Start, data []byte, number uint64, prompt bool) {
	prepared := !prompt || sv.prepareLog(ctx, starts)
	appended := sv.appendStarts(ctx, data, len(starts), prompt)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	switch {
	case !appended || !prepared:
		sv.tracker.ReturnUnwritten(starts)
	case prompt:
		sv.recordLogged(number)
	}
}

// prepareLog ensures that the store states which versions of the starts are in the log, and from where on, and reports whether it does.
func (sv *streamVersions) prepareLog(ctx context.Context, starts []resumption.Start) bool {
	if sv.knowsVersions(starts) {
		return true
	}
	if err := sv.updateVersions(ctx); err != nil {
		sv.entry.logger.Warn("software versions in use were not updated for streams that wait", "Error", err)
		return false
	}
	return sv.knowsVersions(starts)
}

// knowsVersions reports whether the host knows the versions of all starts as in use.
func (sv *streamVersions) knowsVersions(starts []resumption.Start) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	_, sets, known := sv.tracker.Versions()
	return known && !slices.ContainsFunc(starts, func(start resumption.Start) bool {
		_, found := sets[start.Service].Versions[start.Version]
		return !found
	})
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

// handStarts hands starts to the relay and reports whether it has taken them and, if the streams wait for that, written them to the log.
func (sv *streamVersions) handStarts(ctx context.Context, call *relayCall, data []byte, prompt bool) (taken, logged bool) {
	timeout := askTimeout
	if prompt {
		timeout += logWait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call.request.Starts, call.request.AwaitLog = data, prompt
	answer, err := siblings.Fetch(ctx, call.address, call.request)
	if err != nil {
		sv.entry.logger.Debug("starts of streams were not handed to the relay", "Address", call.address, "Error", err)
		return false, false
	}
	sv.learnVersions(answer)
	return answer.StartsTaken, answer.StartsLogged
}

// takeHandedStarts takes the starts of streams at another host of the data centre, which this host appends to the log.
func (sv *streamVersions) takeHandedStarts(ctx context.Context, request *siblings.StateRequest, answer *siblings.State) {
	if sv.log == nil || !sv.entry.link.relaying() {
		return
	}
	starts, err := resumption.DecodeStarts(request.Starts)
	if err != nil {
		sv.entry.logger.Warn("starts of streams of another host can't be read", "Error", err)
		return
	}
	sv.mu.Lock()
	for _, start := range starts {
		sv.tracker.Take(sv.entry.elapsed(), start, request.AwaitLog)
	}
	answer.StartsTaken = true
	var waiter logWaiter
	if request.AwaitLog {
		waiter = sv.newLogWait()
	}
	sv.mu.Unlock()
	if request.AwaitLog {
		ctx, cancel := context.WithTimeout(ctx, logWait)
		defer cancel()
		answer.StartsLogged = sv.awaitLogged(ctx, waiter)
	}
	sv.addVersions(answer)
}

// appendStarts appends starts to the log and reports whether that succeeded. A host that is no relay waits for its turn unless streams wait.
func (sv *streamVersions) appendStarts(ctx context.Context, data []byte, count int, prompt bool) (appended bool) {
	now := sv.entry.elapsed()
	if sv.log == nil || !prompt && !sv.entry.link.relaying() && now-sv.appendedAt < sv.ownAppendInterval() {
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

// countLogWait counts a stream whose first event waited until its start was in the log, by whether it was, and observes the wait.
func (cn *counters) countLogWait(logged bool, wait time.Duration) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_stream_log_waits_total{logged=%q}", strconv.FormatBool(logged))).Inc()
	cn.set.GetOrCreateHistogram("chestnutroad_stream_log_wait_seconds").Update(wait.Seconds())
}

// countStarts counts starts of streams that were written to the log.
func (cn *counters) countStarts(count int) {
	cn.set.GetOrCreateCounter("chestnutroad_stream_starts_written_total").Add(count)
}
