package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/logging"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/targetconn"
)

// Decoder reads the records that operators and targets keep in the platform's store.
type Decoder interface {
	Configuration(data []byte) (*chestnutroad.Configuration, error)
	Target(id string, data []byte) (chestnutroad.TargetEntry, error)
	// ConfigurationKey is the key of the configuration in its stream.
	ConfigurationKey() string
}

// Entry is one entry host.
type Entry struct {
	settings *settings.Entry
	store    chestnutroad.KeyedStore
	wire     chestnutroad.Wire
	decoder  Decoder
	logger   *log.Logger
	// requests is the log of served requests, whose lines are dropped first.
	requests *log.Logger
	state    *state
	targets  *targetconn.Pool
	counters *counters
	callers  *callerConns
	buffered *buffered
	link     *link
	// lastRead and lastTrouble are when the last read of the targets succeeded and failed, by elapsed; zero for never.
	lastRead    atomic.Int64
	lastTrouble atomic.Int64
	// copiedAt is when the targets were last read from a store that had come back from an older copy.
	copiedAt atomic.Int64
	// eras are the eras of the store that the host has met.
	eras *eras
	// fetchTrouble is when the last call to another host for its state failed.
	fetchTrouble atomic.Int64
	now          func() time.Time
	// elapsed is the time since the start, which goes on evenly when the host's clock is set.
	elapsed  func() time.Duration
	stopping atomic.Bool
	// endsAt is when requests are cut off in a stop, by elapsed; zero until the host takes no more connections.
	endsAt atomic.Int64
	// grace is the time.Duration between the request to stop and the end of the process.
	grace atomic.Int64
	// drainTime is the time.Duration after which a target that left must get no requests.
	drainTime atomic.Int64
	handler   filter
}

// Option changes a default of an Entry.
type Option func(*Entry)

// WithRequestLog sets the log of served requests, whose lines are worth least when some must be dropped.
func WithRequestLog(logger *log.Logger) Option {
	return func(en *Entry) { en.requests = logging.For(logger, "entry") }
}

// WithDroppedLines sets the count of dropped log lines, for the metrics.
func WithDroppedLines(count func() uint64) Option {
	return func(en *Entry) { en.counters.droppedLines(count) }
}

// New returns an entry host.
func New(
	set *settings.Entry, store chestnutroad.KeyedStore, wire chestnutroad.Wire, decoder Decoder, logger *log.Logger,
	opts ...Option,
) *Entry {
	en := &Entry{
		settings: set,
		store:    store,
		wire:     wire,
		decoder:  decoder,
		logger:   logging.For(logger, "entry"),
		state:    newState(set),
		targets:  targetconn.NewPool(),
		counters: newCounters(),
		eras:     &eras{},
		callers:  newCallerConns(),
		buffered: &buffered{limit: int64(set.Memory) / bufferShare},
		now:      time.Now,
		elapsed:  sinceNow(),
	}
	en.requests = en.logger
	for _, opt := range opts {
		opt(en)
	}
	en.grace.Store(int64(set.Grace))
	en.drainTime.Store(int64(set.Drain))
	en.watchState()
	en.link = newLink(en)
	en.handler = en.chain()
	return en
}

// sinceNow returns a clock that counts from now; it is never zero afterwards.
func sinceNow() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}

// Apply puts changed settings in force: limits and budgets at once, while addresses stay until the next start.
func (en *Entry) Apply(set *settings.Entry) {
	en.grace.Store(int64(set.Grace))
	en.drainTime.Store(int64(set.Drain))
	en.state.mu.Lock()
	defer en.state.mu.Unlock()
	en.state.ratio, en.state.slack, en.state.window = set.RetryRatio, set.RetrySlack, set.RetryWindow
	for _, budget := range en.state.budgets {
		budget.Configure(set.RetryRatio, set.RetryWindow)
	}
	en.state.pool.Configure(poolOptions(set)...)
}

const (
	// headerTimeout and maxHeaderBytes protect the host from slow or endless headers.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// sweepInterval is the pause between two looks at idle connections.
	sweepInterval = time.Second
	// idleMargin is the time beyond the limit for which an idle connection stays open: callers that have seen an
	// earlier configuration go by its limit until the new one is in force.
	idleMargin = 10 * time.Second
)

// Run serves until ctx ends, then drains.
func (en *Entry) Run(ctx context.Context) error {
	listeners, err := en.listen(ctx)
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	callers := en.callerServer()
	operators := &http.Server{Handler: en.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, len(listeners))
	// accepting is closed when the server has taken its last connection into account.
	accepting := make(chan struct{})
	for _, listener := range listeners {
		server := operators
		if listener == listeners[0] {
			server = callers
		}
		go func() {
			err := server.Serve(listener)
			if server == callers {
				close(accepting)
			}
			failed <- err
		}()
	}
	go func() {
		if err := en.link.run(work); err != nil && work.Err() == nil {
			en.logger.Error("other hosts can't be served", "Error", err)
		}
	}()
	go en.follow(work)
	go en.sweep(work)
	en.logger.Info("started", "Callers", en.settings.CallerAddress, "Ready", en.settings.ReadyAddress)
	select {
	case <-ctx.Done():
	case err := <-failed:
		return errors.Wrap(err, "serve")
	}
	en.drain(listeners[0], accepting)
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
	// unreadyTime is how long the balancer takes to send no new connections to a host that is not ready: it asks once a
	// second and believes the second miss.
	unreadyTime = 2500 * time.Millisecond
	// stopReserve is the part of the grace that is left for the end of the process.
	stopReserve = 700 * time.Millisecond
	// drainIdle is how long a connection may be idle in the drain: callers that send one request after the other keep
	// theirs until the answer with Connection: close.
	drainIdle = 300 * time.Millisecond
	// drainInterval is the pause between two looks at the connections in the drain.
	drainInterval = 50 * time.Millisecond
)

// drain stops the host without cutting a request off: it says first that it is not ready, then takes no more
// connections, closes idle ones and waits for the requests that run.
func (en *Entry) drain(listener net.Listener, accepting <-chan struct{}) {
	started, grace := en.now(), time.Duration(en.grace.Load())
	en.stopping.Store(true)
	en.logger.Info("draining", "Open", en.counters.open.Load())
	time.Sleep(min(unreadyTime, grace/2))
	_ = listener.Close()
	en.endsAt.Store(int64(en.elapsed() + started.Add(grace-stopReserve).Sub(en.now())))
	// A connection that was accepted just before the close is not among the open ones until the server has seen it.
	<-accepting
	for en.now().Before(started.Add(grace - stopReserve)) {
		if en.callers.closeIdle(en.now(), drainIdle) == 0 {
			return
		}
		time.Sleep(drainInterval)
	}
	en.logger.Warn("requests are cut off at the end of the grace", "Open", en.counters.open.Load())
}

func (en *Entry) sweep(ctx context.Context) {
	for sleep(ctx, sweepInterval) {
		en.targets.Sweep()
		if tb := en.state.table.Load(); tb != nil {
			if limit := tb.Limits().IdleTimeout; limit > 0 {
				en.callers.closeIdle(en.now(), limit+idleMargin)
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

func (en *Entry) follow(ctx context.Context) {
	configuration := &follower{
		store: en.store, stream: chestnutroad.KeyedConfiguration, wait: readWait, logger: en.logger, eras: en.eras,
		needed: en.readsStore,
		reset: func(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
			en.confirm(ctx, next.Era)
			en.applyConfiguration(records, "store")
		},
		apply: func(records []chestnutroad.KeyedRecord, _ chestnutroad.Position) {
			en.applyConfiguration(records, "store")
		},
		reached: func(bool) {},
	}
	targets := &follower{
		store: en.store, stream: chestnutroad.KeyedTargets, interval: targetInterval, logger: en.logger, eras: en.eras,
		needed: en.readsStore, goOn: en.readOn(), apply: en.applyTargets,
		reset: func(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
			en.resetTargets(records, next, "store")
		},
		reached: en.noteRead,
	}
	go configuration.run(ctx)
	targets.run(ctx)
}

// fetchMemory is how long a host reads the store itself after another one did not tell it what it holds: time for one read
// of a configuration of 1,850 rules, and one that is repeated.
const fetchMemory = 2 * time.Second

// readsStore reports whether this host has to read the store itself, and how long it should pause after a failed read.
func (en *Entry) readsStore() (needed bool, pause time.Duration) {
	if en.settings.Without.Off(mechanism.Relay) {
		return true, longestPause
	}
	fresh, found := en.link.following()
	if !en.state.ready() {
		return true, longestPause
	}
	if found && !fresh {
		// The relay can't reach the store either: most likely the store is down for all, and each call is priced.
		return true, outagePause
	}
	// A relay that does not answer in time may have a small link, and this host a change that it has to know.
	return !fresh || en.within(&en.fetchTrouble, fetchMemory), longestPause
}

// firstPatience is how long a host waits once, after the first page of the targets, for another host to hand over all.
const firstPatience = 2 * time.Second

// readOn decides between two pages of the targets whether this host reads on. Only the first hosts of a data centre do at
// once, and the others get the targets packed from hosts that hold them: at 300 hosts and 3,000 targets the store would hand
// out 0.5 GB whenever all hosts start, which takes it 6 s.
func (en *Entry) readOn() func(ctx context.Context) error {
	waited := false
	return func(ctx context.Context) error {
		if waited {
			return nil
		}
		waited = true
		for end := en.elapsed() + firstPatience; en.elapsed() < end && !en.link.amongFirst(); {
			if !sleep(ctx, neededInterval) {
				return ctx.Err()
			}
			if en.state.listed.Load() {
				return errHeldElsewhere
			}
		}
		return nil
	}
}

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
		if en.state.offer(cf, record.Value) {
			en.logger.Info("configuration in force", "Version", cf.Version, "Source", source,
				"Rules", len(cf.Rules), "Teams", len(cf.Teams))
		}
	}
}

// resetTargets takes in the newest record of each target up to next; a target without one is gone, unless the store came
// back from an older copy, in which targets that joined since are missing until they register again.
func (en *Entry) resetTargets(records []chestnutroad.KeyedRecord, next chestnutroad.Position, source string) {
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
	fromCopy := en.state.listed.Load() && next.Era > held.Era
	if fromCopy {
		en.copiedAt.Store(int64(en.elapsed()))
		en.link.registerAgain()
	}
	outdatedCount := en.takeTargets(slices.Concat(records, missing), next, en.state.replaceRecords)
	if fromCopy {
		en.logger.Warn("the store came back from an older copy", "Held", held, "Position", next, "Source", source,
			"Targets", len(records), "Missing", len(missing), "Outdated", outdatedCount, "Version", en.held().Version)
	}
	if !en.state.listed.Swap(true) {
		en.logger.Info("targets listed", "Count", len(records), "Position", next, "Source", source)
	}
}

// applyTargets takes in the changes of targets up to next.
func (en *Entry) applyTargets(records []chestnutroad.KeyedRecord, next chestnutroad.Position) {
	en.takeTargets(records, next, en.state.applyRecords)
}

// takeTargets has records of targets take effect, and then keeps them for other hosts. It returns the number of records that
// only an older copy of the store brought back.
func (en *Entry) takeTargets(
	records []chestnutroad.KeyedRecord, next chestnutroad.Position,
	keep func([]chestnutroad.KeyedRecord, chestnutroad.Position),
) (outdatedCount int) {
	en.state.mu.Lock()
	current := en.state.records.current(records)
	en.state.mu.Unlock()
	kept := make([]chestnutroad.KeyedRecord, 0, len(current))
	for _, record := range current {
		said := en.applyTarget(&record)
		if said != notOutdated {
			outdatedCount++
		}
		if said != outdatedGone {
			kept = append(kept, record)
		}
	}
	keep(kept, next)
	return outdatedCount
}

// applyTarget has a record take effect unless it is older than what the host has seen.
func (en *Entry) applyTarget(record *chestnutroad.KeyedRecord) outdated {
	id := chestnutroad.TargetID(record.Key)
	if len(record.Value) == 0 {
		en.removeLater(id)
		return notOutdated
	}
	entry, err := en.decoder.Target(record.Key, record.Value)
	if err != nil {
		en.logger.Warn("target entry can't be used", "Target", id, "Position", record.Position, "Error", err)
		en.removeTarget(id, "unreadable")
		return notOutdated
	}
	said, before, known := en.state.setTarget(en.now(), &entry, record.Position.Era)
	if said != notOutdated {
		en.logger.Info("target entry is older than what was seen", "Target", id, "Position", record.Position,
			"Leaving", said == outdatedLeaving, "Gone", said == outdatedGone)
		return said
	}
	if !known || !before.SameLife(&entry) || before.Leaving != entry.Leaving {
		en.logger.Info("target changed", "Target", id, "Service", entry.Service, "Address", entry.Address,
			"Leaving", entry.Leaving, "Started", entry.Started, "Position", record.Position)
	}
	return notOutdated
}

const (
	// troubleMemory is the time after a failed read of the store in which a removal may have been made by the outage; the
	// first reads after it show those.
	troubleMemory = time.Second
	// copyMemory is the time after the store came back from an older copy in which a target that is missing may have joined
	// since that copy.
	copyMemory = 500 * time.Millisecond
	// returnTime is how long targets take to register again after the store has returned.
	returnTime = 2200 * time.Millisecond
	// drainMargin keeps the end of the wait before the time at which a target that left must get no requests.
	drainMargin = 300 * time.Millisecond
)

// removeLater removes a target whose entry is gone. Entries also lapse while the store is away, and those of targets that
// live are back within about 2 s; a target is used until then, so that an outage does not empty the pools.
func (en *Entry) removeLater(id chestnutroad.TargetID) {
	en.state.mu.Lock()
	entry, known := en.state.pool.Entry(id)
	en.state.mu.Unlock()
	copied := en.within(&en.copiedAt, copyMemory)
	if !known || entry.Leaving || !copied && !en.within(&en.lastTrouble, troubleMemory) {
		en.removeTarget(id, "removed")
		return
	}
	wait := min(returnTime, time.Duration(en.drainTime.Load())-drainMargin)
	en.logger.Info("target may come back", "Target", id, "Wait", wait)
	time.AfterFunc(wait, func() {
		en.state.mu.Lock()
		back := en.state.records.has(string(id))
		en.state.mu.Unlock()
		if !back {
			en.removeTarget(id, "did not come back")
			if copied {
				en.state.forgetLife(id)
			}
		}
	})
}

// noteRead notes a read of the targets that has just reached the store or failed.
func (en *Entry) noteRead(ok bool) {
	if ok {
		en.lastRead.Store(int64(en.elapsed()))
		return
	}
	en.lastTrouble.Store(int64(en.elapsed()))
}

// within reports whether a moment is less than the span ago.
func (en *Entry) within(moment *atomic.Int64, span time.Duration) bool {
	at := time.Duration(moment.Load())
	return at > 0 && en.elapsed()-at < span
}

func (en *Entry) removeTarget(id chestnutroad.TargetID, reason string) {
	en.state.mu.Lock()
	before, known := en.state.pool.Entry(id)
	en.state.pool.Remove(id)
	en.state.lives.end(en.now(), id)
	en.state.mu.Unlock()
	if known {
		en.targets.CloseIdle(before.Address)
		en.logger.Info("target gone", "Target", id, "Address", before.Address, "Reason", reason)
	}
}
