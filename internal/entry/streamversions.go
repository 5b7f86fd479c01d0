package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

const (
	// lookupTimeout limits the time for which a resumed stream waits until its start is found. Callers wait for 2 s or longer.
	lookupTimeout = 1500 * time.Millisecond
	// rereadInterval is the pause before a resumed stream is looked up again, whose start may be written to the log meanwhile.
	rereadInterval = 150 * time.Millisecond
	// unknownStartRetryAfter is the Retry-After of a resumed stream whose start may be written to the log meanwhile.
	unknownStartRetryAfter = 300 * time.Millisecond
)

// streamVersions tracks at which software versions streams began, and writes and reads that in the store. The design is in
// docs/design/stream-versions.md.
type streamVersions struct {
	entry *Entry
	// log holds the starts of streams; it may be nil.
	log chestnutroad.Log

	mu      sync.Mutex
	tracker *resumption.Tracker
	// pending counts the streams that have waited for their start to be in the log. Those up to the number pendingLogged are there, for
	// those up to pendingFailed a write has failed. waiting is the number of streams that wait now; progress is closed after each write.
	pending, pendingLogged, pendingFailed uint64
	waiting                               int
	progress                              chan struct{}
	// logFailing is true after starts that streams wait for could not be written, until some were.
	logFailing bool
	// appendFailed is true if this host's latest append to the log failed.
	appendFailed atomic.Bool
	// wake ends the pause of the writer of starts.
	wake chan struct{}
	// handed are the starts that were handed to the relay at handedTo a moment ago, the oldest first. Only the writer uses them,
	// appendedAt, the time of this host's latest append, and probedAt, that of the latest try while logFailing.
	handed     []handedStarts
	handedTo   string
	appendedAt time.Duration
	probedAt   time.Duration
	// reportedTo is the relay to which starts were last reported; empty while this host relays. localStarts and remoteStarts are what a
	// relay has learned of streams in its own and in other data centres and has not passed on.
	reportedTo                chestnutroad.HostID
	localStarts, remoteStarts []resumption.Start

	// starts reads the log, list the changes of the list of targets, sets the versions in use.
	starts, list, sets sharedRead
	// logRead is the part of the log that this host has read.
	logRead resumption.LogRange
	// followedAt is when this host last read the log as a relay. Only run uses it.
	followedAt time.Duration
	// next is the offset from which the log is read on. Only the read that goes on uses it.
	next chestnutroad.Offset

	// versionsMu serialises reads at the start and updates of the versions in use. unsure is true if the store may hold others than this
	// host knows, since an update failed.
	versionsMu sync.Mutex
	unsure     atomic.Bool
	// retryAt is when a failed update is repeated. Only run uses it.
	retryAt time.Duration
}

func newStreamVersions(en *Entry) *streamVersions {
	sv := &streamVersions{entry: en, tracker: resumption.New(), progress: make(chan struct{}), wake: make(chan struct{}, 1)}
	if en != nil {
		sv.starts = sharedRead{elapsed: en.elapsed, read: sv.readLog}
		sv.list = sharedRead{elapsed: en.elapsed, read: en.readTargetChanges}
		sv.sets = sharedRead{elapsed: en.elapsed, read: sv.readVersionSets}
	}
	return sv
}

// run writes the starts of streams and, on a relay, the versions in use until ctx ends.
func (sv *streamVersions) run(ctx context.Context) {
	go sv.runWriter(ctx)
	for sleep(ctx, sv.interval()) {
		sv.observe()
		sv.maintainVersions(ctx)
		sv.followStarts(ctx)
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

// begin records that a stream began at a target. If its start has to be in the log before the caller gets the first event, it waits for
// that. With an error, the run must not reach the caller, and the exchange prefers a version without that condition.
func (sv *streamVersions) begin(ex *exchange, entry *chestnutroad.TargetEntry) error {
	sv.mu.Lock()
	now := sv.entry.elapsed()
	start := resumption.Start{Service: ex.service, Version: entry.SoftwareVersion, Stream: resumption.NewStreamID(ex.callMetadata.ID)}
	sv.tracker.Begin(now, start)
	if !ex.rule.Resumable || ex.acceptsUnlogged || !sv.tracker.NeedsLog(now, start.Service, start.Version) {
		sv.mu.Unlock()
		return nil
	}
	if sv.logFailing {
		sv.mu.Unlock()
		return sv.dropUnlogged(ex, &start)
	}
	waiter := sv.newLogWait()
	sv.mu.Unlock()
	logged := sv.awaitLogged(ex, waiter)
	sv.entry.counters.countLogWait(logged, sv.entry.elapsed()-now)
	if logged || ex.request.Context().Err() != nil {
		return nil
	}
	return sv.dropUnlogged(ex, &start)
}

// dropUnlogged returns an error if a stream, whose start could not be written to the log, can begin at another version.
func (sv *streamVersions) dropUnlogged(ex *exchange, start *resumption.Start) error {
	found := sv.preferUnlogged(ex, start.Version)
	sv.entry.logger.Warn("start of a stream was not written to the log in time", "Request", ex.callMetadata.ID, "Service", start.Service,
		"Version", start.Version, "OtherVersion", found)
	if !found {
		return nil
	}
	return errNotLogged
}

// preferUnlogged restricts the exchange to a version, other than the given one, whose streams need not be in the log, as long as a target of
// it can be chosen. It reports whether there is such a version.
func (sv *streamVersions) preferUnlogged(ex *exchange, other chestnutroad.SoftwareVersion) (found bool) {
	listed := sv.entry.state.listedVersions(ex.service)
	sv.mu.Lock()
	version, found := sv.tracker.UnloggedVersion(ex.service, other, listed)
	sv.mu.Unlock()
	if found {
		ex.setVersion(version)
		ex.prefersUnlogged = true
	}
	return found
}

// avoidLog lets a new stream prefer a version whose streams need not be in the log while that can't be written.
func (sv *streamVersions) avoidLog(ex *exchange) {
	if !ex.rule.Resumable || ex.callMetadata.LastEvent != "" {
		return
	}
	sv.mu.Lock()
	failing := sv.logFailing
	sv.mu.Unlock()
	if failing {
		sv.preferUnlogged(ex, "")
	}
}

// startLogTimeout limits the time for which the first event of a stream waits until the start is in the log.
const startLogTimeout = 500 * time.Millisecond

var (
	errNotLogged = errors.New("the start of the stream could not be written to the log")
	errNoLog     = errors.New("there is no log")
	errRestored  = errors.New("targets may be missing since the store came back from an older copy")
)

// errNotInLog means that the log was read and has no start of the stream.
var errNotInLog = errors.New("the log has no start of the stream")

// decide returns at which version the exchange's stream may be resumed. With an error the version is not known. A stream that began a moment
// ago may not be in the log yet, so that it is looked up until it would be.
func (sv *streamVersions) decide(ex *exchange) (resumption.Decision, error) {
	ctx, cancel := context.WithTimeout(ex.request.Context(), min(lookupTimeout, ex.remaining(sv.entry.now())/2))
	defer cancel()
	id := resumption.NewStreamID(ex.callMetadata.Resumes)
	for {
		decision, err := sv.lookUp(ctx, ex.service, id)
		if !errors.Is(err, errNotInLog) || sv.missedFor(id) >= sv.writeDelay() || !sleep(ctx, rereadInterval) {
			return decision, err
		}
	}
}

// lookUp is decide without a wait for appends; it asks other hosts and reads the store if the host doesn't know.
func (sv *streamVersions) lookUp(
	ctx context.Context, service chestnutroad.ServiceID, id resumption.StreamID,
) (resumption.Decision, error) {
	if decision := sv.decideNow(service, id, nil); decision.Basis == resumption.Known {
		return decision, nil
	}
	versions, err := sv.load(ctx, service, id)
	decision := sv.decideNow(service, id, versions)
	switch {
	case decision.Basis == resumption.Known || decision.Basis == resumption.OnlyVersion:
		return decision, nil
	case err != nil:
		return decision, err
	default:
		return decision, errNotInLog
	}
}

// decideNow returns the tracker's decision, with the versions at which the stream may have begun if they are known.
func (sv *streamVersions) decideNow(
	service chestnutroad.ServiceID, id resumption.StreamID, versions []chestnutroad.SoftwareVersion,
) resumption.Decision {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.tracker.Decide(sv.entry.elapsed(), service, id, versions)
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
	criteria.Pinned = false
	if version := ex.version.Load(); version != nil {
		criteria.Pinned, criteria.SoftwareVersion = true, *version
	}
}

// countResumption counts a resumed stream by how its version is known, or what was missing.
func (cn *counters) countResumption(service string, decision *resumption.Decision) {
	cn.set.GetOrCreateCounter(fmt.Sprintf("chestnutroad_stream_resumptions_total{service=%q,basis=%q}", service, decision.Basis)).Inc()
}
