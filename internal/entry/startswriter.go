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
	// promptInterval is the least time between two writes while streams wait for their starts to be in the log, relayPromptInterval that
	// between two appends of a relay.
	promptInterval      = 25 * time.Millisecond
	relayPromptInterval = 50 * time.Millisecond
	// hedgeDelay is the time after which a relay hands such starts to the relays of other data centres as well.
	hedgeDelay = 60 * time.Millisecond
	// probeInterval is the time between two tries to write to the log after that failed while streams waited.
	probeInterval = time.Second
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
		pause := promptInterval
		if sv.entry.link.relaying() {
			pause = relayPromptInterval
		}
		sleep(ctx, pause-(sv.entry.elapsed()-started))
	}
}

// newLogWait registers that a stream, whose start was queued last, waits until it is in the log, and returns its number; sv.mu must be held.
func (sv *streamVersions) newLogWait() (waiter uint64) {
	sv.pending++
	sv.waiting++
	select {
	case sv.wake <- struct{}{}:
	default:
	}
	return sv.pending
}

// awaitLogged waits until the exchange's start is in the log, but not longer than startLogTimeout, and reports whether it is.
func (sv *streamVersions) awaitLogged(ex *exchange, waiter uint64) (logged bool) {
	ctx, cancel := context.WithTimeout(ex.request.Context(), min(startLogTimeout, ex.remaining(sv.entry.now())/2))
	defer cancel()
	return sv.awaitWrite(ctx, waiter)
}

// awaitWrite waits until the start is in the log, until a write has failed, or until ctx ends, and reports whether it is in the log.
func (sv *streamVersions) awaitWrite(ctx context.Context, waiter uint64) (logged bool) {
	defer func() {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		sv.waiting--
	}()
	for {
		sv.mu.Lock()
		progress, failed := sv.progress, sv.pendingFailed >= waiter
		logged = sv.pendingLogged >= waiter
		sv.mu.Unlock()
		if logged || failed {
			return logged
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
	}
}

// recordWrite records whether the starts queued up to a number, for which streams wait, are in the log; sv.mu must be held.
func (sv *streamVersions) recordWrite(number uint64, logged bool) {
	if logged {
		sv.pendingLogged = number
	} else {
		sv.pendingFailed = number
	}
	sv.logFailing = !logged
	close(sv.progress)
	sv.progress = make(chan struct{})
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
	if sv.logFailing && now-sv.probedAt >= probeInterval {
		sv.probedAt, prompt = now, true
	}
	sv.mu.Unlock()
	if len(starts) == 0 && !prompt {
		return
	}
	data, err := resumption.EncodeStarts(starts)
	if err != nil {
		sv.entry.logger.Error("starts of streams can't be encoded", "Count", len(starts), "Error", err)
		return
	}
	if prompt {
		logged := hasRelay && sv.handAwaited(ctx, &call, data) || sv.logPromptly(ctx, starts, data)
		sv.mu.Lock()
		defer sv.mu.Unlock()
		sv.recordWrite(number, logged)
		if !logged {
			sv.tracker.ReturnUnwritten(starts)
		}
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

// logPromptly writes starts to the log for which streams wait, and reports whether they are there. A relay whose append takes long hands them
// to the relays of the other data centres as well, which may still reach the store.
func (sv *streamVersions) logPromptly(ctx context.Context, starts []resumption.Start, data []byte) (logged bool) {
	ctx, cancel := context.WithTimeout(ctx, logWait)
	defer cancel()
	_, remote := sv.entry.link.holders()
	results := make(chan bool, 1+len(remote))
	go func() { results <- sv.prepareLog(ctx, starts) && sv.append(ctx, data, len(starts)) }()
	delay := hedgeDelay
	if sv.appendFailed.Load() {
		delay = 0
	}
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	open, hedged := 1, !sv.entry.link.relaying()
	for open > 0 {
		select {
		case logged := <-results:
			if logged {
				return true
			}
			open--
		case <-hedge.C:
		}
		if !hedged {
			hedged = true
			for _, address := range remote {
				open++
				go func() {
					call := relayCall{request: sv.entry.link.newStateRequest(), address: address}
					call.request.Relayed = true
					results <- sv.handAwaited(ctx, &call, data)
				}()
			}
		}
	}
	return false
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

// handStarts hands starts to the relay and reports whether it has taken them.
func (sv *streamVersions) handStarts(ctx context.Context, call *relayCall, data []byte) (taken bool) {
	answer := sv.hand(ctx, call, data, askTimeout)
	return answer != nil && answer.StartsTaken
}

// handAwaited hands starts to a relay and reports whether it has written them to the log.
func (sv *streamVersions) handAwaited(ctx context.Context, call *relayCall, data []byte) (logged bool) {
	call.request.AwaitLog = true
	answer := sv.hand(ctx, call, data, askTimeout+logWait)
	return answer != nil && answer.StartsLogged
}

// hand hands starts to a relay. It returns nil if the relay doesn't answer.
func (sv *streamVersions) hand(ctx context.Context, call *relayCall, data []byte, timeout time.Duration) *siblings.State {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call.request.Starts = data
	answer, err := siblings.Fetch(ctx, call.address, call.request)
	if err != nil {
		sv.entry.logger.Debug("starts of streams were not handed to the relay", "Address", call.address, "Error", err)
		return nil
	}
	sv.learnVersions(answer)
	return answer
}

// takeHandedStarts takes the starts of streams at another host, which this host appends to the log if it is a relay.
func (sv *streamVersions) takeHandedStarts(ctx context.Context, request *siblings.StateRequest, answer *siblings.State) {
	if sv.log == nil || !sv.entry.link.relaying() {
		return
	}
	starts, err := resumption.DecodeStarts(request.Starts)
	if err != nil {
		sv.entry.logger.Warn("starts of streams of another host can't be read", "Error", err)
		return
	}
	defer sv.addVersions(answer)
	if request.Relayed {
		ctx, cancel := context.WithTimeout(ctx, logWait)
		defer cancel()
		answer.StartsLogged = sv.prepareLog(ctx, starts) && sv.append(ctx, request.Starts, len(starts))
		return
	}
	sv.mu.Lock()
	for _, start := range starts {
		sv.tracker.Take(sv.entry.elapsed(), start, request.AwaitLog)
	}
	answer.StartsTaken = true
	var waiter uint64
	if request.AwaitLog {
		waiter = sv.newLogWait()
	}
	sv.mu.Unlock()
	if request.AwaitLog {
		ctx, cancel := context.WithTimeout(ctx, logWait)
		defer cancel()
		answer.StartsLogged = sv.awaitWrite(ctx, waiter)
	}
}

// appendStarts appends starts to the log and reports whether that succeeded. A host that is no relay waits for its turn.
func (sv *streamVersions) appendStarts(ctx context.Context, data []byte, count int) (appended bool) {
	now := sv.entry.elapsed()
	if !sv.entry.link.relaying() && now-sv.appendedAt < sv.ownAppendInterval() {
		return false
	}
	sv.appendedAt = now
	return sv.append(ctx, data, count)
}

// append appends starts to the log and reports whether that succeeded.
func (sv *streamVersions) append(ctx context.Context, data []byte, count int) (appended bool) {
	if sv.log == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := sv.log.Append(ctx, chestnutroad.StreamStarts, data)
	sv.appendFailed.Store(err != nil)
	if err != nil {
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
