package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

const (
	// startsHorizon is the time for which starts are read at most: that of the longest streams.
	startsHorizon = 15 * time.Second
	// followInterval is the time between two reads of a relay while a service has several versions.
	followInterval = time.Second
	// askTimeout limits a call to the relay, so that there is time left to read the log.
	askTimeout = 200 * time.Millisecond
	// tryTimeout limits the time for which the writer of starts waits for the log.
	tryTimeout = 100 * time.Millisecond
)

// loadStarts waits until the starts of streams that were written before the call have been read.
func (sv *streamVersions) loadStarts(ctx context.Context) error {
	if sv.log == nil {
		return errNoLog
	}
	return sv.starts.await(ctx)
}

// readVersions returns the versions at which streams of the service may have begun before the call. The list of targets is read for that:
// a host reads of a target before it sends it a request, so that a version that is listed later is not that of such a stream.
func (sv *streamVersions) readVersions(ctx context.Context, service chestnutroad.ServiceID) ([]chestnutroad.SoftwareVersion, error) {
	if err := sv.list.await(ctx); err != nil {
		return nil, err
	}
	sv.observe()
	if err := sv.loadInherited(ctx); err != nil {
		return nil, err
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := sv.entry.elapsed()
	if sv.tracker.MayLack(now, service) {
		return nil, errRestored
	}
	return slices.Sorted(maps.Keys(sv.tracker.Recent(now, service))), nil
}

// readLog reads the records since the last read, or those of the last startsHorizon if there are more.
func (sv *streamVersions) readLog(ctx context.Context, progress func()) error {
	for first := true; ; first = false {
		batch, err := sv.log.Read(ctx, chestnutroad.StreamStarts, sv.next, 0)
		progress()
		if errors.Is(err, chestnutroad.ErrRecordsGone) && batch.Oldest != sv.next {
			sv.continueAt(batch.Oldest, batch.Era)
			continue
		}
		if err != nil {
			return err
		}
		if sv.entry.eras.observe(batch.Era) {
			return errors.Wrapf(errEarlierEra, "era %d", batch.Era)
		}
		if batch.Era != sv.logRead.Era {
			// The store has assigned offsets again that this host has read.
			sv.continueAt(0, batch.Era)
			continue
		}
		if skipTo := batch.Next - sv.maxRecords(); first && skipTo > sv.next+chestnutroad.Offset(len(batch.Records)) {
			sv.continueAt(skipTo, batch.Era)
			continue
		}
		sv.learn(batch.Records)
		sv.next += chestnutroad.Offset(len(batch.Records))
		if sv.next >= batch.Next || len(batch.Records) == 0 {
			return nil
		}
	}
}

// continueAt lets the log be read on at an offset that does not follow the last record.
func (sv *streamVersions) continueAt(offset chestnutroad.Offset, era chestnutroad.Era) {
	sv.next = offset
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.logRead = resumption.LogRange{Era: era, From: offset}
}

// followStarts keeps a relay's knowledge current while a service has several versions, so that it can answer the other hosts of its data
// centre: if all of them read the log, it would be sent once for each host.
func (sv *streamVersions) followStarts(ctx context.Context) {
	now := sv.entry.elapsed()
	if now-sv.followedAt < followInterval || !sv.entry.link.relaying() {
		return
	}
	if !sv.hasSeveral() {
		return
	}
	sv.followedAt = now
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if err := sv.loadStarts(ctx); err != nil {
		sv.entry.logger.Debug("starts of streams were not read", "Error", err)
	}
}

// load learns where a stream began, from the other hosts of the data centre that may hold it, from its relay if there is one, or else by
// reading the store. It returns the versions at which the stream may have begun if the store or the relay has told them.
func (sv *streamVersions) load(
	ctx context.Context, service chestnutroad.ServiceID, id resumption.StreamID,
) (versions []chestnutroad.SoftwareVersion, err error) {
	local, remote := sv.entry.link.holders()
	answers := make(chan *siblings.State, 1)
	found := sv.search(service, id,
		func() { sv.askHolders(ctx, service, id, slices.Concat(local, remote)) },
		func() { answers <- sv.askRelay(ctx, service, id) },
	)
	if found {
		return nil, nil
	}
	if answer := <-answers; answer != nil && answer.StartsRead && len(answer.Versions) > 0 {
		return answer.Versions, nil
	}
	return sv.readStore(ctx, service, id)
}

// readStore learns where a stream began from the log, and returns the versions at which it may have begun if the log doesn't have it. err is
// set if the log was not read.
func (sv *streamVersions) readStore(
	ctx context.Context, service chestnutroad.ServiceID, id resumption.StreamID,
) (versions []chestnutroad.SoftwareVersion, err error) {
	logRead, listRead := make(chan error, 1), make(chan []chestnutroad.SoftwareVersion, 1)
	found := sv.search(service, id,
		func() { logRead <- sv.loadStarts(ctx) },
		func() {
			listed, err := sv.readVersions(ctx, service)
			if err != nil {
				sv.entry.logger.Debug("versions in use were not read", "Service", service, "Error", err)
			}
			listRead <- listed
		},
	)
	if found {
		return nil, nil
	}
	if versions, err = <-listRead, <-logRead; err == nil && len(versions) > 1 {
		versions = sv.possibleVersions(ctx, service)
	}
	return versions, err
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

// askRelay asks the relay of the data centre where a stream began. It returns nil if there is no relay or it does not answer.
func (sv *streamVersions) askRelay(ctx context.Context, service chestnutroad.ServiceID, id resumption.StreamID) *siblings.State {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	call, found := sv.entry.link.newRelayCall()
	if !found {
		return nil
	}
	call.request.Service, call.request.Stream = service, id
	answer, err := siblings.Fetch(ctx, call.address, call.request)
	if err != nil {
		sv.entry.logger.Debug("the relay was not asked for the start of a stream", "Address", call.address, "Error", err)
		return nil
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
	return answer
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
	stored := make(chan error, 1)
	var versions []chestnutroad.SoftwareVersion
	found := sv.search(service, id,
		func() { sv.askHolders(ctx, service, id, remote) },
		func() {
			var err error
			versions, err = sv.readStore(ctx, service, id)
			stored <- err
		},
	)
	if found {
		answer.Start = sv.start(service, id)
		return
	}
	if err := <-stored; err == nil {
		answer.StartsRead, answer.StartMissed = true, sv.missedFor(id)
	}
	answer.Versions = versions
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

func (sv *streamVersions) learn(records []chestnutroad.Record) {
	now := sv.entry.elapsed()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, record := range records {
		starts, err := resumption.DecodeStarts(record.Data)
		if err != nil {
			sv.entry.logger.Warn("starts of streams can't be read", "Offset", record.Offset, "Error", err)
			sv.logRead.From = record.Offset + 1
			continue
		}
		for _, start := range starts {
			sv.tracker.Learn(now, start)
		}
	}
}
