package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

// link keeps the list of the other entry hosts and exchanges datagrams and state with them.
type link struct {
	entry  *Entry
	self   relay.Host
	seeds  []string
	socket *siblings.Socket
	// unknownHosts carries the address of a sender that is missing in the list of hosts.
	unknownHosts chan string
	// reregister carries the delay after which the host registers again.
	reregister chan time.Duration

	mu    sync.Mutex
	node  *relay.Node
	hosts []relay.Host
	// tracker tracks how old this host's copy of the store may be.
	tracker *freshness.Tracker
	// listLoaded is true once the list of hosts was read from the store.
	listLoaded bool
}

// fetchInterval is the minimum time between two state calls to hosts with newer state or to unlisted senders.
const fetchInterval = 100 * time.Millisecond

func newLink(en *Entry) *link {
	port := uint16(en.settings.PeerPort)
	address := netip.AddrPortFrom(en.settings.CallerAddress.Addr(), port).String()
	ln := &link{
		entry:        en,
		unknownHosts: make(chan string, 1),
		reregister:   make(chan time.Duration, 1),
		tracker:      freshness.New(),
		self: relay.Host{
			ID: en.settings.ID, DataCentre: en.settings.DataCentre, Address: address, Processors: en.settings.Processors,
		},
	}
	for _, seed := range en.settings.Seeds {
		if at := netip.AddrPortFrom(seed.Addr(), port).String(); at != address {
			ln.seeds = append(ln.seeds, at)
		}
	}
	ln.node = relay.New(ln.self, en.now())
	return ln
}

// run serves state calls of other hosts and exchanges datagrams with them until ctx ends.
func (ln *link) run(ctx context.Context) error {
	address, err := netip.ParseAddrPort(ln.self.Address)
	if err != nil {
		return errors.Wrap(err, "address for other hosts")
	}
	ln.socket, err = siblings.ListenDatagrams(address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = ln.socket.Close() })
	go ln.receive()
	go ln.register(ctx)
	go ln.reregisterLoop(ctx)
	go ln.fetchFromSeeds(ctx)
	go ln.fetchAtStart(ctx)
	go ln.fetchNewer(ctx)
	go ln.tick(ctx)
	return siblings.Serve(ctx, ln.self.Address, ln)
}

// receive handles datagrams of other hosts until the socket is closed.
func (ln *link) receive() {
	buffer := siblings.NewBuffer()
	for {
		message, from, err := ln.socket.Receive(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The socket also reports ICMP errors for earlier datagrams to stopped hosts; they don't affect other hosts.
			continue
		}
		ln.mu.Lock()
		listed := ln.node.Receive(ln.entry.now(), message)
		if listed && message.Kind == relay.Beacon {
			ln.announce(message)
		}
		relaying := ln.node.Relaying()
		others := ln.node.PeerView(ln.entry.now())
		rates, ratesKnown := ln.node.PeerRates(ln.entry.now())
		ln.mu.Unlock()
		if !listed {
			ln.fetchUnknown(from.String())
			continue
		}
		ln.entry.streamVersions.learnReported(message, relaying)
		ln.entry.evacuations.merge(message.Evacuations, string(message.From))
		ln.entry.state.applyResidences(ln.entry.now(), message.Residences)
		ln.entry.state.mergeEvidence(ln.entry.now(), message.Evidence)
		if message.Kind == relay.Beacon && others != nil {
			ln.entry.state.setRemoteView(ln.entry.now(), others)
			ln.entry.observeSides(ln.entry.now())
		}
		if message.Kind == relay.Beacon && ratesKnown {
			ln.entry.mergeRates(ln.entry.now(), rates)
		}
	}
}

// fetchUnknown queues a state call to a host that is missing in the list; the answer contains its entry. The call is dropped
// when one is queued already.
func (ln *link) fetchUnknown(address string) {
	select {
	case ln.unknownHosts <- address:
	default:
	}
}

// tick sends the state of this host to other hosts every relay.TickInterval until ctx ends.
func (ln *link) tick(ctx context.Context) {
	wasRelaying := false
	for sleep(ctx, relay.TickInterval) {
		now := ln.entry.now()
		status := ln.entry.localStatus()
		status.Residences = ln.entry.state.pendingResidences(now)
		status.Evidence = ln.entry.state.pendingEvidence(now)
		status.Rates = ln.entry.state.pendingRates(now)
		ln.entry.streamVersions.addPendingStarts(&status)
		ln.entry.evacuations.refresh()
		status.Evacuations = ln.entry.evacuations.list()
		ln.entry.logSuspects(now)
		ln.entry.logCold(now)
		ln.mu.Lock()
		elapsed := ln.entry.elapsed()
		status.ConfigurationAge = ln.tracker.OwnAge(elapsed, freshness.Configuration)
		status.TargetsAge = ln.tracker.OwnAge(elapsed, freshness.Targets)
		sends := ln.node.Tick(now, &status)
		relaying := ln.node.Relaying()
		others := ln.node.PeerView(now)
		rates, ratesKnown := ln.node.PeerRates(now)
		followed, _, _ := ln.node.Relay(now)
		ln.mu.Unlock()
		ln.entry.streamVersions.completeReport(&status, len(sends) > 0, followed.ID)
		if relaying && others != nil {
			ln.entry.state.setRemoteView(now, others)
			ln.entry.observeSides(now)
		}
		if relaying && ratesKnown {
			ln.entry.mergeRates(now, rates)
		}
		if relaying != wasRelaying {
			ln.entry.logger.Info("relaying changed", "Relaying", relaying, "Version", status.Version, "Fresh", status.Fresh)
			wasRelaying = relaying
		}
		count, err := ln.socket.Send(sends)
		ln.entry.counters.controlBytes.Add(count)
		if err != nil {
			ln.entry.logger.Debug("failed to send datagrams to other hosts", "Error", err)
		}
	}
}

// relaying reports whether this host is the relay of its data centre.
func (ln *link) relaying() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.node.Relaying()
}

// unmatched returns the number of messages whose counts refer to a list of targets that this host does not have.
func (ln *link) unmatched() int {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.node.Unmatched()
}

// startReaders is the number of hosts of a data centre that read all targets from the store when they start.
const startReaders = 2

// isStartReader reports whether this host is one of the startReaders of its data centre; false until the list of hosts was
// read.
func (ln *link) isStartReader() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.listLoaded && ln.node.Rank() < startReaders
}

// State returns what the requesting host lacks: a newer configuration, records of targets and the list of hosts.
func (ln *link) State(ctx context.Context, request *siblings.StateRequest) *siblings.State {
	if request.AwaitConfiguration {
		ln.entry.state.awaitConfiguration(ctx)
	}
	// The ages are determined before the state, which may change meanwhile: an age must not be that of a later read than the state.
	configurationAge, targetsAge := ln.entry.statedAge(freshness.Configuration), ln.entry.statedAge(freshness.Targets)
	answer := ln.entry.state.deltaFor(request)
	answer.ConfigurationAge, answer.TargetsAge = configurationAge, targetsAge
	answer.Evacuations = ln.entry.evacuations.list()
	if request.Stream != 0 {
		ln.entry.streamVersions.find(ctx, request, answer)
	}
	if len(request.Starts) > 0 {
		ln.entry.streamVersions.takeHandedStarts(ctx, request, answer)
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if request.HostList != ln.hostListHash() {
		answer.Hosts = append(slices.Clone(ln.hosts), ln.self)
	}
	return answer
}

const (
	// seedDelay is how long the store may take at the start before the seeds are called; a configuration of 1,850 rules
	// takes 0.4 s on a link of 10 Mbit/s.
	seedDelay = time.Second
	// seedInterval is the pause between two rounds of calls to the seeds, which may be down or starting too.
	seedInterval = time.Second
)

// fetchFromSeeds fetches the state of the seeds until the host is ready. It starts once a read of the store failed or
// seedDelay has passed.
func (ln *link) fetchFromSeeds(ctx context.Context) {
	for sleep(ctx, readCheckInterval) && !ln.entry.state.ready() {
		if !ln.storeFailsAtStart() {
			continue
		}
		for _, seed := range ln.seeds {
			go func() { _ = ln.fetchFrom(ctx, seed) }()
		}
		sleep(ctx, seedInterval)
	}
}

// storeFailsAtStart reports whether a read of the store has failed, or this host could have read it by now.
func (ln *link) storeFailsAtStart() bool {
	return ln.entry.lastReadFailure.Load() != 0 || ln.entry.elapsed() >= seedDelay
}

// fetchNewer fetches the state of hosts that announce a newer one, and of hosts that are missing in the list.
func (ln *link) fetchNewer(ctx context.Context) {
	for sleep(ctx, fetchInterval) {
		select {
		case address := <-ln.unknownHosts:
			_ = ln.fetch(ctx, address, &fetchOptions{maxAge: true})
			continue
		default:
		}
		status := ln.entry.localStatus()
		ln.mu.Lock()
		newer := ln.node.NewerHosts(ln.entry.now(), &status)
		ln.mu.Unlock()
		if len(newer) > 0 && !ln.fetch(ctx, ln.pickNearby(newer).Address, &fetchOptions{maxAge: true}) {
			ln.entry.lastFetchFailure.Store(int64(ln.entry.elapsed()))
		}
	}
}

// pickNearby returns a random host of the own data centre, or of all hosts when none is there. The choice is random since a
// single host that all starting hosts call would need seconds to send all targets to each.
func (ln *link) pickNearby(hosts []relay.Host) relay.Host {
	near := slices.DeleteFunc(slices.Clone(hosts), func(hs relay.Host) bool { return hs.DataCentre != ln.self.DataCentre })
	if len(near) == 0 {
		near = hosts
	}
	return near[rand.IntN(len(near))]
}

// fetchFrom fetches and merges what this host lacks from the host at the address, and reports whether it answered.
func (ln *link) fetchFrom(ctx context.Context, address string) bool {
	return ln.fetch(ctx, address, &fetchOptions{})
}

// fetchOptions change what a state call fetches.
type fetchOptions struct {
	// await allows the called host to delay its answer until it has a configuration.
	await bool
	// maxAge leaves out state that is too old, while this host is not ready and may still read the store.
	maxAge bool
}

// fetch is fetchFrom with options.
func (ln *link) fetch(ctx context.Context, address string, options *fetchOptions) bool {
	status := ln.entry.localStatus()
	started := ln.entry.elapsed()
	ln.mu.Lock()
	request := &siblings.StateRequest{Version: status.Version, Position: status.Position, HostList: ln.hostListHash()}
	request.AwaitConfiguration = options.await
	ln.mu.Unlock()
	answer, err := siblings.Fetch(ctx, address, request)
	if err != nil {
		ln.entry.logger.Warn("state of another host was not fetched", "Address", address, "Error", err)
		return false
	}
	ln.addHosts(answer.Hosts)
	if options.maxAge && isTooOld(answer) && !ln.entry.state.ready() && !ln.storeFailsAtStart() {
		ln.entry.logger.Info("outdated state of another host was not used", "Address", address,
			"ConfigurationAge", answer.ConfigurationAge, "TargetsAge", answer.TargetsAge)
		return true
	}
	ln.recordFetched(answer, started)
	ln.entry.mergeState(answer, address)
	return true
}

// hostListHash returns a hash of the list of hosts, including this one; ln.mu must be held.
func (ln *link) hostListHash() uint64 {
	hosts := append(slices.Clone(ln.hosts), ln.self)
	slices.SortFunc(hosts, func(a, b relay.Host) int { return cmp.Compare(a.ID, b.ID) })
	var text strings.Builder
	for _, hs := range hosts {
		fmt.Fprintln(&text, hs.ID, hs.DataCentre, hs.Address, hs.Processors)
	}
	return chestnutroad.HashID(text.String())
}

// addHosts adds or updates hosts in the list. Hosts are never removed, since a dead one only costs an occasional datagram.
func (ln *link) addHosts(hosts []relay.Host) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	byID := make(map[chestnutroad.HostID]relay.Host, len(hosts)+len(ln.hosts))
	for _, hs := range append(slices.Clone(ln.hosts), hosts...) {
		if hs.ID != ln.self.ID && hs.ID != "" {
			byID[hs.ID] = hs
		}
	}
	ln.hosts = make([]relay.Host, 0, len(byID))
	for _, hs := range byID {
		ln.hosts = append(ln.hosts, hs)
	}
	slices.SortFunc(ln.hosts, func(a, b relay.Host) int { return cmp.Compare(a.ID, b.ID) })
	ln.node.SetHosts(ln.hosts)
	ln.entry.state.setHostCount(len(ln.hosts) + 1)
	ln.entry.state.setCentreHostCount(1 + countIn(ln.hosts, ln.self.DataCentre))
}

const (
	// registerPause lets hosts that start at the same time register before the list is read again.
	registerPause = 700 * time.Millisecond
	// registerTimeout limits each call to the store during registration.
	registerTimeout = 2 * time.Second
	// registerRetry is the pause after a failed write of the host's entry.
	registerRetry = time.Second
)

// register reads the list of hosts, writes the entry of this host if it is missing or differs, and reads the list once more.
func (ln *link) register(ctx context.Context) {
	if !ln.readHosts(ctx) {
		for sleep(ctx, 0) && !ln.putSelf(ctx) {
			if !sleep(ctx, registerRetry) {
				return
			}
		}
	}
	if sleep(ctx, registerPause) {
		ln.readHosts(ctx)
	}
}

// putSelf writes the entry of this host to the store's list of hosts and reports whether that succeeded.
func (ln *link) putSelf(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	value, err := json.Marshal(ln.self)
	if err == nil {
		err = ln.entry.store.Put(ctx, chestnutroad.KeyedHosts, string(ln.self.ID), value)
	}
	if err != nil {
		ln.entry.logger.Warn("failed to register the host", "Error", err)
	}
	return err == nil
}

// readHosts adds the hosts in the store's list and reports whether the list contains the current entry of this host.
func (ln *link) readHosts(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	batch, err := ln.entry.store.Newest(ctx, chestnutroad.KeyedHosts, chestnutroad.PageOptions{})
	if err != nil {
		ln.entry.logger.Warn("failed to read the host list", "Error", err)
		return false
	}
	var hosts []relay.Host
	listed := false
	for _, record := range batch.Records {
		var hs relay.Host
		if err := json.Unmarshal(record.Value, &hs); err != nil {
			ln.entry.logger.Warn("host list entry can't be decoded", "Key", record.Key, "Error", err)
			continue
		}
		hosts = append(hosts, hs)
		listed = listed || hs == ln.self
	}
	ln.addHosts(hosts)
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.listLoaded = true
	return listed
}

// localStatus returns the status that this host announces to other hosts.
func (en *Entry) localStatus() relay.LocalState {
	status := en.state.localStatus(en.now())
	status.Fresh = en.isRecent(&en.lastRead, freshWindow)
	status.Leaving = en.stopping.Load()
	return status
}

// freshWindow is how long after a successful read of the targets the host announces that it reads the store.
const freshWindow = targetPollInterval + readMargin + 300*time.Millisecond

// mergeState applies the targets and the configuration from another host's answer. The targets come first, since the configuration
// ends a read of the store: a host that is not ready then would begin it anew.
func (en *Entry) mergeState(answer *siblings.State, from string) {
	en.evacuations.merge(answer.Evacuations, from)
	en.mergeTargets(answer, from)
	if len(answer.Configuration) == 0 {
		return
	}
	text, err := siblings.Decompress(answer.Configuration)
	if err != nil {
		en.logger.Error("configuration can't be decompressed", "Source", "host "+from, "Error", err)
	}
	en.applyConfiguration([]chestnutroad.KeyedRecord{{Key: en.decoder.ConfigurationKey(), Value: text}}, "host "+from)
}

// mergeTargets applies the targets from another host's answer. Those of an earlier era than the latest one are ignored.
func (en *Entry) mergeTargets(answer *siblings.State, from string) {
	en.targetUpdates.Lock()
	defer en.targetUpdates.Unlock()
	switch {
	case !answer.Position.After(en.state.localStatus(en.now()).Position):
	case en.eras.observe(answer.Position.Era):
		en.logger.Warn("ignored targets of an earlier store era from another host", "Address", from,
			"Position", answer.Position)
	case len(answer.AllTargets) > 0:
		records, err := siblings.DecompressRecords(answer.AllTargets)
		if err != nil {
			en.logger.Error("targets can't be decompressed", "Source", "host "+from, "Error", err)
			return
		}
		en.replaceTargets(records, answer.Position, "host "+from)
	default:
		en.updateTargets(answer.Targets, answer.Position, en.state.applyRecords)
	}
}
