package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

const (
	// startsHorizon is the time for which starts are read at most: that of the longest streams.
	startsHorizon = 15 * time.Second
	// readStartsTimeout limits a read of the log, which may have several pages.
	readStartsTimeout = 3 * time.Second
	// followInterval is the time between two reads of a relay while a service has several versions.
	followInterval = time.Second
	// askTimeout limits a call to the relay, so that there is time left to read the log.
	askTimeout = 200 * time.Millisecond
	// failureMemory is the time after a failed read in which requests are refused without another one.
	failureMemory = 300 * time.Millisecond
	// tryTimeout limits the time for which a stream of a service with one version, or the writer of starts, waits for the log.
	tryTimeout = 100 * time.Millisecond
)

// loadStarts waits until the starts of streams that were written before the call have been read, or until ctx ends. The read goes on
// after that, so that later requests don't begin it anew.
func (sv *streamVersions) loadStarts(ctx context.Context) error {
	if sv.log == nil {
		return errors.New("there is no log")
	}
	called := sv.entry.elapsed()
	for {
		reading, err := sv.joinRead(called)
		if reading == nil {
			return err
		}
		select {
		case <-reading.done:
			if reading.err != nil {
				return reading.err
			}
		case <-time.After(silenceTimeout):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// joinRead returns the read of the log that goes on, or begins one. It returns none if the last one began after the call, and an error if
// it failed a moment before or if the store has not answered for some time: requests should not all wait for the same failure.
func (sv *streamVersions) joinRead(called time.Duration) (*startsRead, error) {
	sv.readMu.Lock()
	defer sv.readMu.Unlock()
	now := sv.entry.elapsed()
	switch {
	case sv.lastRead > called:
		return nil, nil
	case sv.reading != nil && now-time.Duration(sv.reading.progressAt.Load()) >= silenceTimeout:
		return nil, errLogSilent
	case sv.reading == nil && sv.readError != nil && now-sv.readErrorAt < failureMemory:
		return nil, sv.readError
	case sv.reading == nil:
		sv.reading = &startsRead{done: make(chan struct{})}
		sv.reading.progressAt.Store(int64(now))
		go sv.readStarts(sv.reading)
	}
	return sv.reading, nil
}

var errLogSilent = errors.New("the store does not answer")

// startsRead is a read of the log; err is valid once done is closed. progressAt holds the elapsed time of the latest answer of the store.
type startsRead struct {
	done       chan struct{}
	err        error
	progressAt atomic.Int64
}

// readStarts reads the log to its end.
func (sv *streamVersions) readStarts(reading *startsRead) {
	ctx, cancel := context.WithTimeout(context.Background(), readStartsTimeout)
	defer cancel()
	started := sv.entry.elapsed()
	reading.err = sv.readLog(ctx, reading)
	sv.readMu.Lock()
	defer sv.readMu.Unlock()
	if reading.err == nil {
		sv.lastRead = started
	}
	sv.reading, sv.readError, sv.readErrorAt = nil, reading.err, sv.entry.elapsed()
	close(reading.done)
}

// readLog reads the records since the last read, or those of the last startsHorizon if there are more.
func (sv *streamVersions) readLog(ctx context.Context, reading *startsRead) error {
	for first := true; ; first = false {
		batch, err := sv.log.Read(ctx, chestnutroad.StreamStarts, sv.next, 0)
		reading.progressAt.Store(int64(sv.entry.elapsed()))
		if errors.Is(err, chestnutroad.ErrRecordsGone) && batch.Oldest != sv.next {
			sv.next = batch.Oldest
			continue
		}
		if err != nil {
			return err
		}
		if skipTo := batch.Next - sv.maxRecords(); first && skipTo > sv.next+chestnutroad.Offset(len(batch.Records)) {
			sv.next = skipTo
			continue
		}
		sv.learn(batch.Records)
		sv.next += chestnutroad.Offset(len(batch.Records))
		if sv.next >= batch.Next || len(batch.Records) == 0 {
			return nil
		}
	}
}

// followStarts keeps a relay's knowledge current while a service has several versions, so that it can answer the other hosts of its data
// centre: if all of them read the log, it would be sent once for each host.
func (sv *streamVersions) followStarts(ctx context.Context) {
	now := sv.entry.elapsed()
	if now-sv.followedAt < followInterval || !sv.entry.link.relaying() {
		return
	}
	sv.mu.Lock()
	several := sv.tracker.HasSeveral(now)
	sv.mu.Unlock()
	if several {
		sv.followedAt = now
		sv.tryRead(ctx, sv.loadStarts)
	}
}

// loadStart learns where a stream began, from the other hosts of the data centre that may hold it, from its relay if there is one, or else
// by reading the log.
func (sv *streamVersions) loadStart(ctx context.Context, service chestnutroad.ServiceID, id resumption.StreamID) error {
	local, remote := sv.entry.link.holders()
	var answered atomic.Bool
	found := sv.search(service, id,
		func() { sv.askHolders(ctx, service, id, slices.Concat(local, remote)) },
		func() { answered.Store(sv.askRelay(ctx, service, id)) },
	)
	if found || answered.Load() {
		return nil
	}
	return sv.loadStarts(ctx)
}

// search runs lookups at once, until one of them has learned where the stream began or all have ended. It reports whether one has.
func (sv *streamVersions) search(service chestnutroad.ServiceID, id resumption.StreamID, lookups ...func()) (found bool) {
	ended := make(chan struct{}, len(lookups))
	for _, lookUp := range lookups {
		go func() {
			lookUp()
			ended <- struct{}{}
		}()
	}
	for range lookups {
		<-ended
		if sv.start(service, id) != nil {
			return true
		}
	}
	return false
}

// askHolders asks other hosts whether they hold the start of a stream.
func (sv *streamVersions) askHolders(
	ctx context.Context, service chestnutroad.ServiceID, id resumption.StreamID, addresses []string,
) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := sv.entry.link.newStateRequest()
	request.Service, request.Stream, request.Held = service, id, true
	lookups := make([]func(), 0, len(addresses))
	for _, address := range addresses {
		lookups = append(lookups, func() {
			if answer, err := siblings.Fetch(ctx, address, request); err == nil && answer.Start != nil {
				sv.mu.Lock()
				defer sv.mu.Unlock()
				sv.tracker.Learn(sv.entry.elapsed(), *answer.Start)
			}
		})
	}
	sv.search(service, id, lookups...)
}

// askRelay asks the relay of the data centre where a stream began. It reports whether the relay knows, or has found that the log doesn't
// have the stream.
func (sv *streamVersions) askRelay(ctx context.Context, service chestnutroad.ServiceID, id resumption.StreamID) (answered bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	call, found := sv.entry.link.newRelayCall()
	if !found {
		return false
	}
	call.request.Service, call.request.Stream = service, id
	answer, err := siblings.Fetch(ctx, call.address, call.request)
	if err != nil {
		sv.entry.logger.Debug("the relay was not asked for the start of a stream", "Address", call.address, "Error", err)
		return false
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := sv.entry.elapsed()
	switch {
	case answer.Start != nil:
		sv.tracker.Learn(now, *answer.Start)
	case answer.StartsRead:
		sv.tracker.Miss(now, now-answer.StartMissed, id)
	}
	return answer.Start != nil || answer.StartsRead
}

// find answers another host that asks where a stream began. It reads the log and asks the relays of the other data centres if this host
// doesn't know.
func (sv *streamVersions) find(ctx context.Context, request *siblings.StateRequest, answer *siblings.State) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	service, id := request.Service, request.Stream
	if answer.Start = sv.start(service, id); answer.Start != nil || request.Held {
		return
	}
	_, remote := sv.entry.link.holders()
	var read atomic.Bool
	sv.search(service, id,
		func() { sv.askHolders(ctx, service, id, remote) },
		func() { read.Store(sv.loadStarts(ctx) == nil) },
	)
	if answer.Start = sv.start(service, id); answer.Start == nil && read.Load() {
		answer.StartsRead, answer.StartMissed = true, sv.missedFor(id)
	}
}

// start returns where a stream of the service began; nil if the host doesn't know.
func (sv *streamVersions) start(service chestnutroad.ServiceID, id resumption.StreamID) *resumption.Start {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if known, found := sv.tracker.Start(service, id); found {
		return &known
	}
	return nil
}

// missedFor records that the log has no start of the stream and returns for how long it has been missed.
func (sv *streamVersions) missedFor(id resumption.StreamID) time.Duration {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := sv.entry.elapsed()
	return now - sv.tracker.Miss(now, now, id)
}

// tryLoadStart is loadStart for a service with one version, whose streams need not wait long for a store that doesn't answer.
func (sv *streamVersions) tryLoadStart(ctx context.Context, service chestnutroad.ServiceID, id resumption.StreamID) {
	sv.tryRead(ctx, func(ctx context.Context) error { return sv.loadStart(ctx, service, id) })
}

func (sv *streamVersions) tryRead(ctx context.Context, read func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if err := read(ctx); err != nil {
		sv.entry.logger.Debug("starts of streams were not read", "Error", err)
	}
}

func (sv *streamVersions) learn(records []chestnutroad.Record) {
	now := sv.entry.elapsed()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, record := range records {
		starts, err := resumption.DecodeStarts(record.Data)
		if err != nil {
			sv.entry.logger.Warn("starts of streams can't be read", "Offset", record.Offset, "Error", err)
			continue
		}
		for _, start := range starts {
			sv.tracker.Learn(now, start)
		}
	}
}
