package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/callerconn"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
	"github.com/chestnutroad/chestnutroad/internal/logging"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/targetconn"
)

// Decoder reads the records that operators and targets keep in the platform's store.
type Decoder interface {
	Configuration(data []byte) (*chestnutroad.Configuration, error)
	Target(id string, data []byte) (chestnutroad.TargetEntry, error)
	// Evacuation decodes a record of the operators' stream that evacuates a data centre; found is false for one of another kind.
	Evacuation(key string, value []byte) (record chestnutroad.EvacuationRecord, found bool, err error)
	// ConfigurationKey is the key of the configuration in its stream.
	ConfigurationKey() string
}

// Entry is an entry host: the server for callers' requests and the state by which they are routed.
type Entry struct {
	settings *settings.Entry
	store    chestnutroad.KeyedStore
	wire     chestnutroad.Wire
	decoder  Decoder
	logger   *log.Logger
	// requestLog logs served requests. A full log queue should drop these lines first.
	requestLog   *log.Logger
	state        *state
	targets      *targetconn.Pool
	counters     *counters
	callers      *callerconn.Pool
	open         *openRequests
	bufferBudget *bufferBudget
	evacuations  *evacuations
	link         *link
	// lastRead and lastReadFailure hold when a read of the targets last succeeded and last failed, as elapsed times; zero
	// means never.
	lastRead        atomic.Int64
	lastReadFailure atomic.Int64
	// storeRestoredAt holds the elapsed time at which the targets were last replaced after the store came back from an
	// older copy; zero means never.
	storeRestoredAt atomic.Int64
	// eras tracks the latest era of the store that an answer of the store or another host stated.
	eras *eraTracker
	// lastFetchFailure holds the elapsed time at which fetching newer state from another host last failed; zero means never.
	lastFetchFailure atomic.Int64
	now              func() time.Time
	// elapsed returns the time since the start. It does not jump when the host's clock is set, and counts the time in which the
	// host is suspended.
	elapsed  func() time.Duration
	stopping atomic.Bool
	// cutOff ends when a shutdown cuts off the open requests, by endSends.
	cutOff   context.Context
	endSends context.CancelFunc
	// cutOffAt holds the elapsed time at which a shutdown cuts off open requests; zero until the host accepts no more
	// connections.
	cutOffAt atomic.Int64
	// grace holds the time.Duration from the request to stop to the end of the process.
	grace atomic.Int64
	// targetUpdates serialises updates of the targets from the store and from other hosts: a record is compared with the one that is
	// held, and put into effect after that.
	targetUpdates sync.Mutex
	// drainTime holds the time.Duration after which a target that left must no longer get requests.
	drainTime atomic.Int64
	handler   filter

	streamVersions *streamVersions
}

// Option changes a default of an Entry.
type Option func(*Entry)

// WithRequestLog sets the logger of served requests. A full log queue should drop its lines first.
func WithRequestLog(logger *log.Logger) Option {
	return func(en *Entry) { en.requestLog = logging.For(logger, "entry") }
}

// WithDroppedLines sets the function that returns the number of dropped log lines for the metrics.
func WithDroppedLines(count func() uint64) Option {
	return func(en *Entry) { en.counters.registerDroppedLines(count) }
}

// WithLog sets the log in which hosts keep the software versions at which streams began.
func WithLog(log chestnutroad.Log) Option {
	return func(en *Entry) { en.streamVersions.log = log }
}

// New returns an entry host, which starts to serve when Run is called.
func New(
	set *settings.Entry, store chestnutroad.KeyedStore, wire chestnutroad.Wire, decoder Decoder, logger *log.Logger,
	opts ...Option,
) *Entry {
	en := &Entry{
		settings:     set,
		store:        store,
		wire:         wire,
		decoder:      decoder,
		logger:       logging.For(logger, "entry"),
		state:        newState(set),
		targets:      targetconn.NewPool(),
		counters:     newCounters(),
		eras:         &eraTracker{},
		callers:      callerconn.NewPool(),
		open:         newOpenRequests(),
		bufferBudget: &bufferBudget{limit: int64(set.Memory) / bufferMemoryDivisor},
		now:          time.Now,
		elapsed:      newElapsedClock(readBootClock),
	}
	en.cutOff, en.endSends = context.WithCancel(context.Background())
	en.requestLog = en.logger
	en.streamVersions = newStreamVersions(en)
	for _, opt := range opts {
		opt(en)
	}
	en.grace.Store(int64(set.Grace))
	en.drainTime.Store(int64(set.Drain))
	en.evacuations = newEvacuations(en)
	en.registerStateGauges()
	en.link = newLink(en)
	en.handler = en.chain()
	return en
}

// Apply puts the shutdown times, the retry budget and the placement options of changed settings into force. All others,
// such as addresses, take effect at the next start.
func (en *Entry) Apply(set *settings.Entry) {
	en.grace.Store(int64(set.Grace))
	en.drainTime.Store(int64(set.Drain))
	en.state.mu.Lock()
	defer en.state.mu.Unlock()
	en.state.retryRatio, en.state.retrySlack, en.state.retryWindow = set.RetryRatio, set.RetrySlack, set.RetryWindow
	for _, budget := range en.state.budgets {
		budget.Configure(set.RetryRatio, set.RetryWindow)
	}
	en.state.pool.Configure(poolOptions(set)...)
}

const (
	// maxHeaderBytes bounds the size of a request's headers, which may be endless.
	maxHeaderBytes = 64 << 10
	// sweepInterval is the pause between two sweeps of idle connections.
	sweepInterval = time.Second
	// idleMargin is how long an idle connection stays open beyond the configured limit: callers that have seen an earlier
	// configuration use its limit until the new one is in force.
	idleMargin = 10 * time.Second
)

// Run serves requests until ctx ends, then drains the host. It returns an error when a listener fails.
func (en *Entry) Run(ctx context.Context) error {
	listeners, err := en.listen(ctx)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	callers := en.callerServer()
	accepted, err := callerconn.NewListener(listeners[0], en.callers, en.logger)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	operators := &http.Server{Handler: en.operatorHandler(), ReadHeaderTimeout: callerconn.HeaderTimeout}
	failed := make(chan error, len(listeners))
	// accepting is closed when the caller server has registered its last connection.
	accepting := make(chan struct{})
	for _, listener := range listeners {
		server, listening := operators, net.Listener(callerconn.NewRetryListener(listener, en.logger))
		if listener == listeners[0] {
			server, listening = callers, accepted
		}
		go func() {
			err := server.Serve(listening)
			if server == callers {
				close(accepting)
			}
			failed <- err
		}()
	}
	go func() {
		if err := en.link.run(work); err != nil && work.Err() == nil {
			en.logger.Error("failed to serve other hosts", "Error", err)
		}
	}()
	go en.followStore(work)
	go en.streamVersions.run(work)
	go (&evidenceStore{entry: en}).run(work)
	go en.sweepIdle(work)
	en.logger.Info("started", "Callers", en.settings.CallerAddress, "Ready", en.settings.ReadyAddress)
	select {
	case <-ctx.Done():
	case err := <-failed:
		return errors.Wrap(err, "serve")
	}
	en.drain(accepted, accepting)
	_ = callers.Close()
	_ = operators.Close()
	en.logger.Info("stopped")
	return nil
}

func (en *Entry) listen(ctx context.Context) ([]net.Listener, error) {
	addresses := []netip.AddrPort{en.settings.CallerAddress, en.settings.ReadyAddress}
	if en.settings.MetricsPort > 0 {
		addresses = append(addresses, netip.AddrPortFrom(en.settings.CallerAddress.Addr(), uint16(en.settings.MetricsPort)))
	}
	var config net.ListenConfig
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := config.Listen(ctx, "tcp", address.String())
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

const (
	// balancerDelay is how long the balancer may still send new connections to a host that is not ready: it checks once a
	// second and acts on the second failed check.
	balancerDelay = 2500 * time.Millisecond
	// acceptShare is the part of a short grace period in which new connections are accepted at most.
	acceptShare = 0.5
	// stopReserve is the part of the grace period that is left for the end of the process when the sends to targets are cut off.
	stopReserve = 700 * time.Millisecond
	// cutOffWriteTime is the part of stopReserve in which answers that are complete, and failures of requests that were cut off,
	// are written to their callers.
	cutOffWriteTime = 300 * time.Millisecond
)

// drain shuts the host down gracefully: it first reports that it is not ready, then accepts no more connections, closes
// idle ones and waits for open requests. The sends of those that remain stopReserve before the end of the grace period are cut
// off; their callers get a failure, or the end of the connection if a part of the answer was sent.
func (en *Entry) drain(listener *callerconn.Listener, accepting <-chan struct{}) {
	started, initial := en.now(), time.Duration(en.grace.Load())
	// Changed settings may shorten the grace period of a drain, but not lengthen it: the platform may go by the former one.
	graceUntil := func(share float64, reserve time.Duration) time.Time {
		grace := min(initial, time.Duration(en.grace.Load()))
		return started.Add(time.Duration(share*float64(grace)) - reserve)
	}
	en.stopping.Store(true)
	en.logger.Info("draining", "Open", en.open.count())
	for now := en.now(); now.Before(started.Add(balancerDelay)) && now.Before(graceUntil(acceptShare, 0)); now = en.now() {
		time.Sleep(callerconn.DrainInterval)
	}
	listener.CloseWhenEmpty(callerconn.AcceptTimeout)
	cutOff := func() time.Time {
		end := graceUntil(1, stopReserve)
		en.cutOffAt.Store(int64(en.elapsed() + end.Sub(en.now())))
		return end
	}
	cutOff()
	// A connection that was accepted just before the close is tracked only once the server has registered it.
	<-accepting
	if en.awaitCallers(cutOff) {
		return
	}
	en.logCutOff()
	en.endSends()
	en.awaitCallers(func() time.Time { return cutOff().Add(cutOffWriteTime) })
}

// awaitCallers closes connections as they become idle, and reports whether none is left before the end, which may change.
func (en *Entry) awaitCallers(end func() time.Time) bool {
	for en.now().Before(end()) {
		if en.callers.CloseIdle(en.now(), callerconn.DrainIdleTimeout) == 0 {
			return true
		}
		time.Sleep(callerconn.DrainInterval)
	}
	return false
}

// sweepIdle closes idle connections to targets and from callers until ctx ends.
func (en *Entry) sweepIdle(ctx context.Context) {
	for sleep(ctx, sweepInterval) {
		en.targets.Sweep()
		if tb := en.state.table.Load(); tb != nil {
			if limit := tb.Limits().IdleTimeout; limit > 0 {
				en.callers.CloseIdle(en.now(), limit+idleMargin)
			}
		}
	}
}

func (en *Entry) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+en.wire.ReadyPath(), func(writer http.ResponseWriter, _ *http.Request) {
		if en.stopping.Load() || !en.state.ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(writer http.ResponseWriter, _ *http.Request) {
		en.counters.set.WritePrometheus(writer)
	})
	return mux
}

// followStore reads the configuration and the targets from the store until ctx ends.
func (en *Entry) followStore(ctx context.Context) {
	configuration := &follower{
		store: en.store, stream: chestnutroad.KeyedConfiguration, longPollWait: longPollWait, logger: en.logger, eras: en.eras,
		elapsed: en.elapsed, loaded: en.state.configurationLoaded,
		reset: func(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
			en.confirmConfiguration(ctx, next.Era)
			en.evacuations.reset(records, next)
			en.applyConfiguration(records, "store")
		},
		apply: func(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
			en.evacuations.apply(records, next)
			en.applyConfiguration(records, "store")
		},
		onRead: func(bool) {},
	}
	start := &startRead{entry: en}
	targets := &follower{
		store: en.store, stream: chestnutroad.KeyedTargets, pollInterval: targetPollInterval, logger: en.logger, eras: en.eras,
		elapsed: en.elapsed, beforeRead: start.begin, beforeNextPage: start.awaitPeerRecords, apply: en.applyTargets,
		reset: func(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
			en.resetTargets(records, next, "store")
		},
		onRead: en.recordStoreRead,
	}
	for _, fl := range []*follower{configuration, targets} {
		stream := streams[fl.stream]
		fl.shouldRead = func() (freshness.Reason, time.Duration) { return en.whyRead(stream) }
		fl.recordRead = func(at time.Duration) { en.link.recordRead(stream, at) }
		fl.reasonChanged = func(before, reason freshness.Reason) { en.logReason(stream, before, reason) }
	}
	en.awaitCopy(ctx)
	go configuration.run(ctx)
	targets.run(ctx)
}

// applyConfiguration activates the configuration in the records if its version is higher than the active one's. The source is
// logged.
func (en *Entry) applyConfiguration(records []chestnutroad.KeyedRecord, source string) {
	for _, record := range records {
		if record.Key != en.decoder.ConfigurationKey() || len(record.Value) == 0 {
			continue
		}
		cf, err := en.decoder.Configuration(record.Value)
		if err != nil {
			en.logger.Error("configuration can't be read", "Position", record.Position, "Source", source, "Error", err)
			continue
		}
		if en.state.activateIfNewer(cf, record.Value) {
			en.logger.Info("configuration in force", "Version", cf.Version, "Source", source,
				"Rules", len(cf.Rules), "Teams", len(cf.Teams))
			en.recordIgnored(cf)
		}
	}
}

// resetTargets replaces the targets with the newest record of each one up to next. A target without a record is gone, unless
// the store came back from an older copy, in which targets that joined since are missing until they register again.
func (en *Entry) resetTargets(records []chestnutroad.KeyedRecord, next chestnutroad.Position, source string) {
	en.targetUpdates.Lock()
	defer en.targetUpdates.Unlock()
	en.replaceTargets(records, next, source)
}

// replaceTargets is resetTargets; en.targetUpdates must be held.
func (en *Entry) replaceTargets(records []chestnutroad.KeyedRecord, next chestnutroad.Position, source string) {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		listed[record.Key] = true
	}
	var missing []chestnutroad.KeyedRecord
	en.state.mu.Lock()
	held := en.state.records.next
	for _, key := range en.state.records.keys() {
		if !listed[key] {
			missing = append(missing, chestnutroad.KeyedRecord{Key: key, Position: next})
		}
	}
	en.state.mu.Unlock()
	fromCopy := en.state.targetsLoaded.Load() && next.Era > held.Era
	if fromCopy {
		en.storeRestoredAt.Store(int64(en.elapsed()))
		en.link.scheduleReregistration()
	}
	outdatedCount := en.updateTargets(slices.Concat(records, missing), next, en.state.replaceRecords)
	if fromCopy {
		en.logger.Warn("the store came back from an older copy", "Held", held, "Position", next, "Source", source,
			"Targets", len(records), "Missing", len(missing), "Outdated", outdatedCount, "Version", en.localStatus().Version)
	}
	if !en.state.targetsLoaded.Swap(true) {
		en.logger.Info("targets listed", "Count", len(records), "Position", next, "Source", source)
	}
}

// applyTargets applies the changes of targets up to next.
func (en *Entry) applyTargets(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	en.targetUpdates.Lock()
	defer en.targetUpdates.Unlock()
	en.updateTargets(records, next, en.state.applyRecords)
}

// updateTargets puts records of targets into effect and then saves them for other hosts. It returns the number of outdated
// records, which an older copy of the store brought back. en.targetUpdates must be held.
func (en *Entry) updateTargets(
	records []chestnutroad.KeyedRecord, next chestnutroad.Position,
	save func([]chestnutroad.KeyedRecord, chestnutroad.Position),
) (outdatedCount int) {
	en.state.mu.Lock()
	current := en.state.records.filterStale(records)
	en.state.mu.Unlock()
	retained := make([]chestnutroad.KeyedRecord, 0, len(current))
	for _, record := range current {
		verdict := en.applyTarget(&record)
		if verdict != notOutdated {
			outdatedCount++
		}
		if verdict != outdatedRemoved {
			retained = append(retained, record)
		}
	}
	save(retained, next)
	return outdatedCount
}

// unusableEntry is passed on to other hosts in place of an entry that can't be used and may be long. It can't be used either,
// so that all hosts hold the same list.
var unusableEntry = []byte("-")

// applyTarget puts a record into effect unless it is older than what the host has seen of its target, and reports whether
// it is. An entry that can't be used is replaced by unusableEntry in the record.
func (en *Entry) applyTarget(record *chestnutroad.KeyedRecord) outdated {
	id := chestnutroad.TargetID(record.Key)
	if len(record.Value) == 0 {
		en.handleRemoval(id)
		return notOutdated
	}
	entry, err := en.decoder.Target(record.Key, record.Value)
	if err != nil {
		// An entry is read again whenever the host reads the whole list, and may be rewritten often.
		if en.state.markUnusable(id) {
			en.logger.Warn("target entry can't be used", "Target", id, "Position", record.Position, "Error", quotable(err))
		}
		en.removeTarget(id, "unreadable")
		record.Value = unusableEntry
		return notOutdated
	}
	verdict, previous, existed := en.state.setTarget(en.now(), &entry, record.Position.Era)
	if verdict != notOutdated {
		en.logger.Info("target entry is outdated", "Target", id, "Position", record.Position,
			"Leaving", verdict == outdatedLeaving, "Gone", verdict == outdatedRemoved)
		return verdict
	}
	if entry.InvalidWarmUp {
		en.countInvalidCold(&entry)
	}
	if !existed || !previous.SameIncarnation(&entry) || previous.Leaving != entry.Leaving {
		en.logger.Info("target changed", "Target", id, "Service", entry.Service, "Address", entry.Address,
			"Leaving", entry.Leaving, "Started", entry.Incarnation, "Position", record.Position)
	}
	return notOutdated
}

// maxQuotedError is the number of bytes of an error that the log quotes; errors may quote an entry of any length.
const maxQuotedError = 200

// quotable returns the start of the error's text.
func quotable(err error) string {
	text := err.Error()
	return text[:min(len(text), maxQuotedError)]
}

const (
	// readFailureWindow is the time after a failed read of the store in which a removal may be a result of the outage; the
	// first reads after the outage show such removals.
	readFailureWindow = time.Second
	// storeRestoreWindow is the time after the store came back from an older copy in which a missing target may have joined
	// since that copy was made.
	storeRestoreWindow = 500 * time.Millisecond
	// reregistrationTime is how long targets take to register again after the store is back.
	reregistrationTime = 2200 * time.Millisecond
	// drainMargin is how long before the end of drainTime a delayed removal takes effect at the latest.
	drainMargin = 300 * time.Millisecond
)

// handleRemoval removes a target whose entry is gone, at once or, if its entry may have expired in an outage of the store or may be
// missing in an older copy, with a delay.
func (en *Entry) handleRemoval(id chestnutroad.TargetID) {
	en.state.mu.Lock()
	entry, exists := en.state.pool.Entry(id)
	delete(en.state.unusable, id)
	en.state.mu.Unlock()
	restored := en.isRecent(&en.storeRestoredAt, storeRestoreWindow)
	wait := en.reregistrationWait(restored)
	if !exists || entry.Leaving || wait <= 0 {
		en.counters.countRemoval(false)
		en.removeTarget(id, "removed")
		return
	}
	en.counters.countRemoval(true)
	en.logger.Info("target may come back", "Target", id, "Wait", wait.Round(time.Millisecond),
		"Age", en.copyAge(freshness.Targets).Round(time.Millisecond),
		"ReadFailed", (en.elapsed() - time.Duration(en.lastReadFailure.Load())).Round(time.Millisecond), "Restored", restored)
	time.AfterFunc(wait, func() {
		en.state.mu.Lock()
		registered := en.state.records.has(string(id))
		en.state.mu.Unlock()
		if !registered {
			en.removeTarget(id, "did not come back")
			if restored {
				en.state.forgetIncarnation(id)
			}
		}
	})
}

// reregistrationWait returns for how long a target whose entry is gone stays in use. Entries also expire in an outage of the store, and
// live targets register again within about 2 s after it; a target stays in use until then, so that an outage does not empty
// the pools. The time counts from the end of the outage: counted from when a host learns of a removal, requests reached targets that had
// left during that time for over 2 s.
func (en *Entry) reregistrationWait(restored bool) time.Duration {
	wait := min(reregistrationTime, time.Duration(en.drainTime.Load())-drainMargin)
	if restored {
		return wait
	}
	if !en.isRecent(&en.lastReadFailure, readFailureWindow) {
		return 0
	}
	end, found := en.link.outageEnd()
	if !found {
		return 0
	}
	return end + wait - en.elapsed()
}

// recordStoreRead records the time of a read of the targets that succeeded, or that failed.
func (en *Entry) recordStoreRead(ok bool) {
	if ok {
		en.lastRead.Store(int64(en.elapsed()))
		return
	}
	en.lastReadFailure.Store(int64(en.elapsed()))
}

// isRecent reports whether the moment, an elapsed time, was less than the span ago. A moment of zero means never.
func (en *Entry) isRecent(moment *atomic.Int64, span time.Duration) bool {
	at := time.Duration(moment.Load())
	return at > 0 && en.elapsed()-at < span
}

func (en *Entry) removeTarget(id chestnutroad.TargetID, reason string) {
	en.state.mu.Lock()
	entry, exists := en.state.pool.Entry(id)
	en.state.pool.Remove(id)
	en.state.incarnations.markRemoved(en.now(), id)
	en.state.mu.Unlock()
	if exists {
		en.targets.CloseIdle(entry.Address)
		en.logger.Info("target gone", "Target", id, "Address", entry.Address, "Reason", reason)
	}
}
