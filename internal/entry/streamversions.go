package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

const (
	// startsInterval is the time between two appends of the starts of streams on small installations, and startsPerHost its minimum for
	// each host: a partition of the log takes an append in 2 ms.
	startsInterval = 250 * time.Millisecond
	startsPerHost  = 5 * time.Millisecond
	// startsTimeout limits an append, and versionsTimeout a call for the versions in use.
	startsTimeout   = time.Second
	versionsTimeout = time.Second
	// startsHorizon is the time for which starts are read at most: that of the longest streams.
	startsHorizon = 15 * time.Second
	// readStartsTimeout limits a read of the log, which may have several pages.
	readStartsTimeout = 3 * time.Second
	// lookupTimeout limits the time for which a resumed stream waits for reads of the store.
	lookupTimeout = 400 * time.Millisecond
	// tryTimeout limits the time for which a stream of a service with one version waits for the log.
	tryTimeout = 100 * time.Millisecond
	// versionsRetry is the pause after a failed write of the versions in use.
	versionsRetry = time.Second
	// unknownStartRetryAfter is the Retry-After of a resumed stream whose start may be written to the log meanwhile.
	unknownStartRetryAfter = 300 * time.Millisecond
)

// streamVersions tracks at which software versions streams began, and writes and reads that in the store. The design is in
// docs/design/stream-versions.md.
type streamVersions struct {
	entry *Entry
	log   chestnutroad.Log

	mu      sync.Mutex
	tracker *resumption.Tracker

	// readMu protects reading, the read of the log that goes on, if one does, and lastRead, when the last successful one began.
	readMu   sync.Mutex
	reading  *startsRead
	lastRead time.Duration
	// next is the offset from which the log is read on. Only the read that goes on uses it.
	next chestnutroad.Offset

	// versionsMu serialises reads of the versions in use.
	versionsMu sync.Mutex

	// written are the versions in use that the store holds as far as this host knows; nil until a relay has read them. era is the
	// count of eras at that time, retryAt when a failed write is repeated. Only run uses them.
	written map[string]bool
	eras    uint64
	retryAt time.Duration
}

func newStreamVersions(en *Entry) *streamVersions {
	return &streamVersions{entry: en, tracker: resumption.New()}
}

// run writes the starts of streams and, on a relay, the versions in use until ctx ends.
func (sv *streamVersions) run(ctx context.Context) {
	for sleep(ctx, sv.interval()) {
		sv.observe()
		sv.writeStarts(ctx)
		if sv.entry.link.relaying() && sv.entry.state.targetsLoaded.Load() && sv.entry.elapsed() >= sv.retryAt {
			if err := sv.updateVersions(ctx); err != nil && ctx.Err() == nil {
				sv.retryAt = sv.entry.elapsed() + versionsRetry
				sv.entry.logger.Warn("software versions in use were not written", "Error", err)
			}
		}
	}
}

// observe records the versions of all listed targets.
func (sv *streamVersions) observe() {
	sv.entry.state.mu.Lock()
	defer sv.entry.state.mu.Unlock()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := sv.entry.elapsed()
	sv.entry.state.pool.EachVersion(func(service chestnutroad.ServiceID, version chestnutroad.SoftwareVersion) {
		sv.tracker.Observe(now, service, version)
	})
}

// writeStarts appends the starts of streams of services with several versions that are not in the log yet.
func (sv *streamVersions) writeStarts(ctx context.Context) {
	sv.mu.Lock()
	starts := sv.tracker.TakeUnwritten(sv.entry.elapsed())
	sv.mu.Unlock()
	if len(starts) == 0 || sv.log == nil {
		return
	}
	data, err := resumption.EncodeStarts(starts)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, startsTimeout)
		defer cancel()
		_, err = sv.log.Append(ctx, chestnutroad.StreamStarts, data)
	}
	if err == nil {
		sv.entry.counters.countStarts(len(starts))
		return
	}
	sv.entry.logger.Warn("starts of streams were not written", "Count", len(starts), "Error", err)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.tracker.ReturnUnwritten(starts)
}

// versionKey is the key of a version in use in the store.
func versionKey(service chestnutroad.ServiceID, version chestnutroad.SoftwareVersion) string {
	return string(service) + "/" + string(version)
}

// readVersions returns the keys of the versions in use that the store holds.
func (sv *streamVersions) readVersions(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	batch, err := sv.entry.store.Newest(ctx, chestnutroad.KeyedVersions, chestnutroad.PageOptions{})
	if err != nil {
		return nil, err
	}
	keys := make([]string, 0, len(batch.Records))
	for _, record := range batch.Records {
		keys = append(keys, record.Key)
	}
	return keys, nil
}

// updateVersions writes versions that are new in a service, and deletes those that have not been listed for as long as streams last.
func (sv *streamVersions) updateVersions(ctx context.Context) error {
	if eras := sv.entry.eras.count(); sv.written == nil || sv.eras != eras {
		keys, err := sv.readVersions(ctx)
		if err != nil {
			return err
		}
		sv.inherit(keys)
		sv.written, sv.eras = map[string]bool{}, eras
		for _, key := range keys {
			sv.written[key] = true
		}
	}
	inUse := map[string]bool{}
	for _, service := range sv.entry.state.serviceIDs() {
		sv.mu.Lock()
		for version := range sv.tracker.Recent(sv.entry.elapsed(), service) {
			inUse[versionKey(service, version)] = true
		}
		sv.mu.Unlock()
	}
	for key := range inUse {
		if !sv.written[key] {
			if err := sv.put(ctx, key, []byte("InUse")); err != nil {
				return err
			}
			sv.written[key] = true
		}
	}
	for key := range sv.written {
		if !inUse[key] && sv.entry.elapsed() >= resumption.Lifetime {
			if err := sv.put(ctx, key, nil); err != nil {
				return err
			}
			delete(sv.written, key)
		}
	}
	return nil
}

func (sv *streamVersions) put(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	return sv.entry.store.Put(ctx, chestnutroad.KeyedVersions, key, value)
}

// inherit records the versions in use that the store held.
func (sv *streamVersions) inherit(keys []string) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, key := range keys {
		// A version may contain slashes, a service may not: the configuration names it.
		service, version, _ := strings.Cut(key, "/")
		sv.tracker.Inherit(chestnutroad.ServiceID(service), chestnutroad.SoftwareVersion(version))
	}
	sv.tracker.CompleteInherited()
}

// loadInherited reads the versions that were in use before this host started.
func (sv *streamVersions) loadInherited(ctx context.Context) error {
	sv.versionsMu.Lock()
	defer sv.versionsMu.Unlock()
	sv.mu.Lock()
	known := sv.tracker.InheritedKnown()
	sv.mu.Unlock()
	if known {
		return nil
	}
	keys, err := sv.readVersions(ctx)
	if err == nil {
		sv.inherit(keys)
	}
	return err
}

// loadStarts waits until the starts of streams that were written before the call have been read, or until ctx ends. The read goes on
// after that, so that later requests don't begin it anew.
func (sv *streamVersions) loadStarts(ctx context.Context) error {
	if sv.log == nil {
		return errors.New("there is no log")
	}
	called := sv.entry.elapsed()
	for {
		sv.readMu.Lock()
		if sv.lastRead > called {
			sv.readMu.Unlock()
			return nil
		}
		if sv.reading == nil {
			sv.reading = &startsRead{done: make(chan struct{})}
			go sv.readStarts(sv.reading)
		}
		reading := sv.reading
		sv.readMu.Unlock()
		select {
		case <-reading.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if reading.err != nil {
			return reading.err
		}
	}
}

// startsRead is a read of the log; err is valid once done is closed.
type startsRead struct {
	done chan struct{}
	err  error
}

// readStarts reads the log to its end.
func (sv *streamVersions) readStarts(reading *startsRead) {
	ctx, cancel := context.WithTimeout(context.Background(), readStartsTimeout)
	defer cancel()
	started := sv.entry.elapsed()
	reading.err = sv.readLog(ctx)
	sv.readMu.Lock()
	defer sv.readMu.Unlock()
	if reading.err == nil {
		sv.lastRead = started
	}
	sv.reading = nil
	close(reading.done)
}

// readLog reads the records since the last read, or those of the last startsHorizon if there are more.
func (sv *streamVersions) readLog(ctx context.Context) error {
	for first := true; ; first = false {
		batch, err := sv.log.Read(ctx, chestnutroad.StreamStarts, sv.next, 0)
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

// maxRecords returns the number of records that all hosts append in startsHorizon at most.
func (sv *streamVersions) maxRecords() chestnutroad.Offset {
	hosts := sv.entry.state.currentHostCount()
	return chestnutroad.Offset(hosts) * chestnutroad.Offset(startsHorizon/sv.interval())
}

// interval returns the time between two appends of this host.
func (sv *streamVersions) interval() time.Duration {
	return max(startsInterval, time.Duration(sv.entry.state.currentHostCount())*startsPerHost)
}

// tryLoadStarts is loadStarts for a service with one version, whose streams need not wait long for a store that doesn't answer.
func (sv *streamVersions) tryLoadStarts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if err := sv.loadStarts(ctx); err != nil {
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

// begin records that a stream began at a target.
func (sv *streamVersions) begin(ex *exchange, entry *chestnutroad.TargetEntry) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.tracker.Begin(sv.entry.elapsed(), resumption.Start{
		Service: ex.service, Version: entry.SoftwareVersion, Stream: resumption.NewStreamID(ex.callMetadata.ID),
	})
}

// decide returns at which version the exchange's stream may be resumed; it reads the store if the host doesn't know. With an error the
// version is not known.
func (sv *streamVersions) decide(ex *exchange) (resumption.Decision, error) {
	ctx, cancel := context.WithTimeout(ex.request.Context(), lookupTimeout)
	defer cancel()
	sv.observe()
	id := resumption.NewStreamID(ex.callMetadata.Resumes)
	loadedStarts := false
	for {
		listAge := sv.entry.copyAge(freshness.Targets)
		sv.mu.Lock()
		decision := sv.tracker.Decide(sv.entry.elapsed(), ex.service, id, listAge)
		sv.mu.Unlock()
		var err error
		switch {
		case decision.Basis == resumption.NeedsVersions:
			err = sv.loadInherited(ctx)
		case decision.Basis == resumption.NeedsStarts && !loadedStarts:
			loadedStarts = true
			err = sv.loadStarts(ctx)
		case decision.Basis == resumption.NeedsStarts:
			err = errors.New("the log has no start of the stream")
		case decision.Basis == resumption.OnlyVersion && !loadedStarts:
			// The list of targets may lack a version that appeared a moment ago. Without the log, the list is relied on.
			loadedStarts = true
			sv.tryLoadStarts(ctx)
		default:
			return decision, nil
		}
		if err != nil {
			return decision, err
		}
	}
}

// pinVersion restricts a resumed stream to targets of the software version at which it began. If that is not known the request is
// refused: a text that is joined from two versions looks complete to the caller.
func (en *Entry) pinVersion(next filter) filter {
	return func(ex *exchange) error {
		if !ex.rule.Streaming || ex.callMetadata.LastEvent == "" {
			return next(ex)
		}
		decision, err := en.streamVersions.decide(ex)
		ex.resumption = decision
		en.counters.countResumption(string(ex.service), &decision)
		if err != nil {
			en.logger.Info("stream can't be resumed, its software version is not known", "Request", ex.callMetadata.ID,
				"Resumes", ex.callMetadata.Resumes, "Service", ex.service, "Missing", decision.Basis, "Error", err)
			return chestnutroad.Refuse(chestnutroad.NoTarget, "the software version at which the stream began is not known").
				WithRetryAfter(unknownStartRetryAfter)
		}
		ex.setVersion(decision.Version)
		return next(ex)
	}
}

// setVersion restricts the exchange to targets of a software version.
func (ex *exchange) setVersion(version chestnutroad.SoftwareVersion) { ex.version.Store(&version) }

// pin restricts the criteria to the software version at which the exchange's stream began, if it has begun.
func (ex *exchange) pin(criteria *placement.Request) {
	if version := ex.version.Load(); version != nil {
		criteria.Pinned, criteria.SoftwareVersion = true, *version
	}
}

// countResumption counts a resumed stream by how its version is known, or what was missing.
func (cn *counters) countResumption(service string, decision *resumption.Decision) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_stream_resumptions_total{service=%q,basis=%q}", service, decision.Basis)).Inc()
}

// countStarts counts starts of streams that were written to the log.
func (cn *counters) countStarts(count int) {
	cn.set.GetOrCreateCounter("chestnutroad_stream_starts_written_total").Add(count)
}
