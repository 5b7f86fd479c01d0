package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
	"github.com/chestnutroad/chestnutroad/internal/order"
	"github.com/chestnutroad/chestnutroad/internal/policy"
	"github.com/chestnutroad/chestnutroad/internal/pool"
	"github.com/chestnutroad/chestnutroad/internal/record"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

const (
	summaryInterval    = 250 * time.Millisecond
	hostListInterval   = time.Second
	hostListTimeout    = 3 * time.Second
	snapshotInterval   = 10 * time.Second
	stateFetchInterval = 2 * time.Second
)

// Host is one serve process.
type Host struct {
	settings    *settings.Host
	incarnation chestnutroad.Incarnation
	started     time.Time
	now         func() time.Time
	logger      *log.Logger
	recorder    *timeline.Recorder
	log         chestnutroad.Log
	hostList    chestnutroad.HostList

	peers         peers
	directory     atomic.Pointer[directory]
	targets       *targetList
	configuration *configuration
	orders        *orders
	ownership     *ownership
	entry         *entry
	deadHosts     deadHosts
	counters      counters
	metrics       *metrics.Set
	// draining is true from the start of a planned stop, refusing once new requests are refused too.
	draining atomic.Bool
	refusing atomic.Bool

	// ctx ends when the process may stop its controllers.
	ctx         context.Context
	cancel      context.CancelFunc
	controllers sync.WaitGroup
}

// Option changes a host's defaults.
type Option func(*Host)

// WithRecorder has decisions recorded as events.
func WithRecorder(recorder *timeline.Recorder) Option {
	return func(ho *Host) { ho.recorder = recorder }
}

// WithIncarnation sets the number that tells this life of the host from others; it must be higher than that of any
// earlier life (default: the start time in milliseconds).
func WithIncarnation(incarnation chestnutroad.Incarnation) Option {
	return func(ho *Host) { ho.incarnation = incarnation }
}

// New returns a host that is not started yet.
func New(
	set *settings.Host, source chestnutroad.Log, hostList chestnutroad.HostList, logger *log.Logger, opts ...Option,
) *Host {
	ho := &Host{
		settings: set,
		started:  time.Now(),
		now:      time.Now,
		logger:   logger,
		log:      source,
		hostList: hostList,
		targets:  newTargetList(),
	}
	ho.incarnation = member.IncarnationAt(ho.started)
	for _, opt := range opts {
		opt(ho)
	}
	ho.ctx, ho.cancel = context.WithCancel(context.Background())
	writer := record.Writer{Host: set.ID, Incarnation: ho.incarnation}
	ho.configuration = newConfiguration(set.Site, source, logger, ho.now, writer)
	ho.configuration.apply = ho.apply
	ho.orders = newOrders(source, ho.now, order.New(set.ID, ho.incarnation))
	ho.ownership = newOwnership(ho)
	ho.entry = newEntry(ho, ho.now)
	ho.metrics = ho.newMetrics()
	return ho
}

// UseSettings puts settings from files in force until a published configuration is read.
func (ho *Host) UseSettings(effective *settings.Effective) {
	ho.directory.Store(newDirectory(0, effective))
	ho.configuration.configure(effective.Fleet)
	ho.reconfigure(effective)
}

// apply puts an accepted version in force.
func (ho *Host) apply(version chestnutroad.Version, offset chestnutroad.Offset, effective *settings.Effective) {
	ho.directory.Store(newDirectory(version, effective))
	ho.reconfigure(effective)
	ho.peers.ObserveVersion(version, offset)
	ho.logger.Info("configuration in force", "Version", version)
	ho.record(timeline.Event{Type: timeline.ConfigAccepted, Version: version})
}

// reconfigure passes changed settings on to what runs already.
func (ho *Host) reconfigure(effective *settings.Effective) {
	ho.entry.configure(effective.Fleet)
	ho.orders.configure(effective.Fleet)
	for _, sh := range ho.ownership.ownedShards() {
		service, known := effective.Service(sh.id.Pool.Service)
		if !known {
			continue
		}
		sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action {
			return owner.Configure(now, policy.Options(effective, service)...)
		})
	}
}

// startControllers runs the controllers until halt.
func (ho *Host) startControllers() {
	ho.startController(ho.configuration.follow)
	ho.startController(ho.followOrders)
	ho.startController(ho.orders.tick)
	ho.startController(func(ctx context.Context) {
		ho.readHostList(ctx)
		every(ctx, hostListInterval, func() { ho.readHostList(ctx) })
	})
	ho.startController(func(ctx context.Context) {
		every(ctx, ownershipInterval, func() {
			ho.ownership.reconcile(ctx)
			ho.reportDeadHosts()
			ho.orders.setOwners(ho.orderOwnerCount())
		})
	})
	ho.startController(func(ctx context.Context) { every(ctx, summaryInterval, ho.sendSummaries) })
	ho.startController(func(ctx context.Context) { every(ctx, exceptionInterval, ho.sendExceptions) })
	ho.startController(func(ctx context.Context) { every(ctx, snapshotInterval, func() { ho.writeSnapshots(ctx) }) })
	ho.startController(func(ctx context.Context) { every(ctx, stateFetchInterval, func() { ho.fetchMissingState(ctx) }) })
}

func (ho *Host) startController(run func(ctx context.Context)) {
	ho.controllers.Go(func() { run(ho.ctx) })
}

// followOrders reads the order log while this host owns an order shard or is next in line for one.
func (ho *Host) followOrders(ctx context.Context) {
	for ctx.Err() == nil {
		di := ho.directory.Load()
		if di == nil || !ho.ownership.needsOrderLog(di, ho.peers.Hosts()) {
			pause(ctx, ownershipInterval)
			continue
		}
		ho.orders.pollLog(ctx)
	}
}

// readHostList takes in the platform's list; the last one stays in use while the list can't be read.
func (ho *Host) readHostList(ctx context.Context) {
	inner, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	list, err := ho.hostList.Hosts(inner)
	if err != nil {
		ho.logger.Warn("the host list can't be read", "Error", err)
		return
	}
	ho.peers.SetHostList(list)
	ho.setTargets(list)
}

// setTargets updates the pools and the shards that this host owns.
func (ho *Host) setTargets(list []chestnutroad.ListedHost) {
	di := ho.directory.Load()
	if di == nil {
		return
	}
	targets := make([]listedTarget, 0, len(list))
	for _, listed := range list {
		service, known := di.effective.Service(listed.Service)
		if listed.Role != chestnutroad.RoleTarget || !known {
			continue
		}
		targets = append(targets, listedTarget{
			id: chestnutroad.TargetID(listed.Name),
			shard: chestnutroad.ShardID{
				Pool:       chestnutroad.PoolID{Site: ho.settings.Site, Service: listed.Service},
				DataCentre: listed.DataCentre,
			},
			kind:    chestnutroad.ServiceKind(service.Kind),
			address: listed.Address,
			leaving: listed.Leaving || ho.peers.MachineLeaving(listed.Name),
		})
	}
	ho.targets.set(targets)
	for _, sh := range ho.ownership.ownedShards() {
		sh.setTargets(ho.targets.inShard(sh.id))
	}
}

// sendSummaries tells the owners of a pool's shards of each other's load.
func (ho *Host) sendSummaries() {
	hosts := ho.peers.Hosts()
	for _, sh := range ho.ownership.ownedShards() {
		summary, due := sh.dueSummary()
		if !due {
			continue
		}
		for _, id := range ho.targets.shards() {
			if id.Pool != sh.id.Pool || id == sh.id {
				continue
			}
			ho.sendSummary(id, summary, hosts)
		}
	}
}

func (ho *Host) sendSummary(to chestnutroad.ShardID, summary pool.Summary, hosts []member.HostView) {
	if local := ho.ownership.localShard(to); local != nil {
		local.receiveSummary(summary)
		return
	}
	if owner, found := ho.ownership.ownerOf(to, hosts); found && owner.ID != ho.settings.ID {
		ho.peers.SendSummary(owner.ID, summary)
	}
}

// writeSnapshots appends due snapshots: the configuration's by the site's snapshot writer, the orders' by the owners of
// order shards, since only they follow the order log. Two writers do no harm.
func (ho *Host) writeSnapshots(ctx context.Context) {
	if ho.snapshotWriter(ho.peers.Hosts()) == ho.settings.ID {
		ho.configuration.snapshot(ctx)
	}
	if ho.ownedOrderShards() > 0 {
		ho.orders.snapshot(ctx)
	}
}

// orderOwnerCount returns the number of hosts that own a shard whose calls may run at most once.
func (ho *Host) orderOwnerCount() int {
	di := ho.directory.Load()
	if di == nil {
		return 0
	}
	hosts := ho.peers.Hosts()
	owners := map[chestnutroad.HostID]bool{}
	for _, id := range ho.targets.shards() {
		if owner, found := ho.ownership.ownerOf(id, hosts); found && di.hasOrders(id.Pool.Service) {
			owners[owner.ID] = true
		}
	}
	return len(owners)
}

// ownedOrderShards returns the number of shards that this host owns and whose calls may run at most once.
func (ho *Host) ownedOrderShards() int {
	di := ho.directory.Load()
	if di == nil {
		return 0
	}
	count := 0
	for _, sh := range ho.ownership.ownedShards() {
		if di.hasOrders(sh.id.Pool.Service) {
			count++
		}
	}
	return count
}

func (ho *Host) snapshotWriter(hosts []member.HostView) chestnutroad.HostID {
	ranked := ho.ownership.rank(chestnutroad.ShardID{Pool: chestnutroad.PoolID{Site: ho.settings.Site}}, hosts)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// fetchMissingState asks peers for state that the log can't give: a configuration that is newer than the own one while the
// log can't be read, and the orders when the log no longer reaches back far enough.
func (ho *Host) fetchMissingState(ctx context.Context) {
	highest, _ := ho.peers.Version()
	if available, _ := ho.configuration.logAvailable(); !available && highest > ho.configuration.version() {
		ho.fetchFromPeers(ctx, stateConfiguration, func(state []byte) bool {
			return ho.configuration.importState(state) == nil && ho.configuration.version() >= highest
		})
	}
	if ho.ownedOrderShards() > 0 && !ho.orders.ready() {
		ho.fetchFromPeers(ctx, stateOrders, func(state []byte) bool {
			return ho.orders.importState(state) == nil && ho.orders.ready()
		})
	}
}

// fetchFromPeers asks one host after the other until take has what it needs.
func (ho *Host) fetchFromPeers(ctx context.Context, kind stateKind, accept func(state []byte) bool) {
	for _, view := range ho.peers.Hosts() {
		if view.ID == ho.settings.ID || view.State == member.Dead {
			continue
		}
		inner, cancel := context.WithTimeout(ctx, stateTimeout)
		state, err := ho.peers.FetchState(inner, view, kind, chestnutroad.ShardID{})
		cancel()
		if err == nil && accept(state) {
			return
		}
	}
}

// record adds an event to the time line.
func (ho *Host) record(event timeline.Event) {
	if ho.recorder != nil {
		ho.recorder.Record(event)
	}
}
