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

// Host is one host of a site: it accepts callers' requests, owns shards and exchanges state with the site's other hosts.
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
	// draining is set when a planned stop begins; refusing is set balancerGrace later and refuses new requests.
	draining atomic.Bool
	refusing atomic.Bool

	// ctx is the context of the controllers and owned shards; it is cancelled after the listeners have stopped.
	ctx         context.Context
	cancel      context.CancelFunc
	controllers sync.WaitGroup
}

// Option changes a default of a Host.
type Option func(*Host)

// WithRecorder records the host's decisions as timeline events.
func WithRecorder(recorder *timeline.Recorder) Option {
	return func(ho *Host) { ho.recorder = recorder }
}

// WithIncarnation sets the number that identifies this run of the host. It must be higher than that of any earlier run
// (default: the start time in milliseconds).
func WithIncarnation(incarnation chestnutroad.Incarnation) Option {
	return func(ho *Host) { ho.incarnation = incarnation }
}

// New returns a host that Run starts.
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

// UseSettings applies settings from files. They stay in force until a published configuration is read.
func (ho *Host) UseSettings(effective *settings.Effective) {
	ho.directory.Store(newDirectory(0, effective))
	ho.configuration.configure(effective.Fleet)
	ho.reconfigure(effective)
}

// apply puts an accepted version of the configuration in force.
func (ho *Host) apply(version chestnutroad.Version, offset chestnutroad.Offset, effective *settings.Effective) {
	ho.directory.Store(newDirectory(version, effective))
	ho.reconfigure(effective)
	ho.peers.ObserveVersion(version, offset)
	ho.logger.Info("configuration in force", "Version", version)
	ho.record(timeline.Event{Type: timeline.ConfigAccepted, Version: version})
}

// reconfigure applies changed settings to the entry, the orders and the owned shards.
func (ho *Host) reconfigure(effective *settings.Effective) {
	ho.entry.configure(effective.Fleet)
	ho.orders.configure(effective.Fleet)
	for _, sh := range ho.ownership.ownedShards() {
		service, found := effective.Service(sh.id.Pool.Service)
		if !found {
			continue
		}
		sh.decide(func(now time.Time, owner *pool.Owner) []pool.Action {
			return owner.Configure(now, policy.Options(effective, service)...)
		})
	}
}

// startControllers starts the controllers, which run until ctx is cancelled.
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

// followOrders reads the order log while this host is the owner or the likely next owner of an order shard, one whose
// service has calls that may run at most once.
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

// readHostList updates membership and targets from the platform's host list. The last list stays in use while it can't
// be read.
func (ho *Host) readHostList(ctx context.Context) {
	inner, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	list, err := ho.hostList.Hosts(inner)
	if err != nil {
		ho.logger.Warn("failed to read the host list", "Error", err)
		return
	}
	ho.peers.SetHostList(list)
	ho.setTargets(list)
}

// setTargets updates the candidate targets of each pool and the targets of the owned shards.
func (ho *Host) setTargets(list []chestnutroad.ListedHost) {
	di := ho.directory.Load()
	if di == nil {
		return
	}
	targets := make([]listedTarget, 0, len(list))
	for _, listed := range list {
		service, found := di.effective.Service(listed.Service)
		if listed.Role != chestnutroad.RoleTarget || !found {
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

// sendSummaries sends the load of each owned shard, when it is due, to the owners of the pool's other shards.
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

// writeSnapshots appends the snapshots that are due. The site's snapshot writer appends the configuration's; owners of
// order shards append the orders', since only hosts that follow the order log can. Duplicate snapshots are harmless.
func (ho *Host) writeSnapshots(ctx context.Context) {
	if ho.snapshotWriter(ho.peers.Hosts()) == ho.settings.ID {
		ho.configuration.snapshot(ctx)
	}
	if ho.ownedOrderShards() > 0 {
		ho.orders.snapshot(ctx)
	}
}

// orderOwnerCount returns the number of hosts that own an order shard.
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

// ownedOrderShards returns the number of order shards that this host owns.
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

// snapshotWriter returns the host that appends the site's configuration snapshots: the first in rendezvous order for the
// site.
func (ho *Host) snapshotWriter(hosts []member.HostView) chestnutroad.HostID {
	ranked := ho.ownership.rank(chestnutroad.ShardID{Pool: chestnutroad.PoolID{Site: ho.settings.Site}}, hosts)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// fetchMissingState fetches state from peers that this host can't get from the log: a newer configuration while the log
// can't be read, and the orders when the log no longer reaches back far enough.
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

// fetchFromPeers asks the other hosts in turn, except dead ones, until accept returns true.
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

// record adds the event to the timeline, if there is one.
func (ho *Host) record(event timeline.Event) {
	if ho.recorder != nil {
		ho.recorder.Record(event)
	}
}
