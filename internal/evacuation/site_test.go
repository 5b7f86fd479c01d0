package evacuation_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/evacuation"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

const (
	step = 10 * time.Millisecond
	// messageDelay is the longest delay of a datagram, and lossShare the share that is lost.
	messageDelay = 20 * time.Millisecond
	lossShare    = 0.01
	// callTime is the longest time of a call to the store or another host, and callTimeout that after which a call fails.
	callTime    = 60 * time.Millisecond
	callTimeout = 700 * time.Millisecond
	// longPollWait and checkPause are those of an entry host, freshWindow is how long it announces a successful read.
	longPollWait = 750 * time.Millisecond
	checkPause   = 100 * time.Millisecond
	freshWindow  = 1700 * time.Millisecond
	// bound is the time within which all hosts in touch with the store must know of a record.
	bound = 2 * time.Second
	// zone is the data centre that is evacuated.
	zone = "dc-z"
)

// storedRecord is a record of the simulated store.
type storedRecord struct {
	evacuation.Record
	at time.Duration
}

// site is a simulated installation: a store and hosts that read it and exchange messages.
type site struct {
	rnd   *rand.Rand
	now   time.Duration
	hosts []*host
	byID  map[string]*host
	list  []relay.Host
	queue []delivery

	records []storedRecord
	era     chestnutroad.Era
	// compacted is the offset before which records were deleted.
	compacted chestnutroad.Offset
	storeDown bool
	// withoutLists disables the lists in messages.
	withoutLists bool
}

type delivery struct {
	at      time.Duration
	from    *host
	to      string
	message relay.Message
}

type host struct {
	relay.Host
	site        *site
	startedAt   time.Duration
	node        *relay.Node
	tracker     *freshness.Tracker
	evacuations *evacuation.Tracker
	ready       bool
	nextTick    time.Duration
	// next is the position of the next read if synced is true. A read runs since readStarted until readEnds; it waits for a
	// record until waitEnds.
	next                                      chestnutroad.Position
	synced, failing                           bool
	readStarted, readEnds, waitEnds, nextRead time.Duration
	lastRead                                  time.Duration
	dead, frozen, storeCut, peersCut          bool
	inbox                                     []relay.Message
	// earlier is true for a host of an earlier version, which ignores lists and sends none.
	earlier      bool
	wasEvacuated bool
	// changedAt is when the data centre was last evacuated or taken back at this host.
	changedAt time.Duration
}

var epoch = time.Unix(1_000_000, 0)

func newSite(seed uint64, hostCount int) *site {
	st := &site{rnd: rand.New(rand.NewPCG(seed, 2)), byID: map[string]*host{}, now: time.Second}
	for index := range hostCount {
		id := fmt.Sprintf("h-%d", index)
		st.list = append(st.list, relay.Host{
			ID: chestnutroad.HostID(id), DataCentre: chestnutroad.DataCentreID(fmt.Sprintf("dc-%d", index%3)), Address: id, Processors: 1,
		})
	}
	for _, listed := range st.list {
		st.start(listed)
	}
	return st
}

// start starts a host, or starts it anew.
func (st *site) start(listed relay.Host) *host {
	hs := &host{
		Host: listed, site: st, startedAt: st.now, nextTick: st.now + time.Duration(st.rnd.Int64N(int64(relay.TickInterval))),
		node: relay.New(listed, epoch.Add(st.now)), tracker: freshness.New(), evacuations: evacuation.New(),
	}
	hs.node.SetHosts(st.list)
	index := slices.IndexFunc(st.hosts, func(other *host) bool { return other.ID == listed.ID })
	if index < 0 {
		st.hosts = append(st.hosts, hs)
	} else {
		st.hosts[index] = hs
	}
	st.byID[listed.Address] = hs
	return hs
}

func (st *site) delay(longest time.Duration) time.Duration {
	return time.Millisecond + time.Duration(st.rnd.Int64N(int64(longest)))
}

func (st *site) end() chestnutroad.Position {
	return chestnutroad.Position{Era: st.era, Offset: chestnutroad.Offset(len(st.records))}
}

// write appends a record.
func (st *site) write(evacuated bool) {
	record := evacuation.Record{Position: st.end()}
	record.DataCentre, record.Evacuated = zone, evacuated
	st.records = append(st.records, storedRecord{record, st.now})
}

// restore restarts the store without the writes of the last span, in a new era.
func (st *site) restore(span time.Duration) {
	st.records = slices.DeleteFunc(st.records, func(record storedRecord) bool { return record.at > st.now-span })
	st.era++
	for index := range st.records {
		st.records[index].Position.Era = st.era
	}
}

// newest returns the newest record of each key that was not deleted.
func (st *site) newest() []evacuation.Record {
	if count := len(st.records); count > 0 && st.records[count-1].Evacuated {
		return []evacuation.Record{st.records[count-1].Record}
	}
	return nil
}

// run runs the site for the span; check, if not nil, is called after each step.
func (st *site) run(span time.Duration, check func()) {
	for end := st.now + span; st.now < end; st.now += step {
		pending := st.queue
		st.queue = nil
		for _, dl := range pending {
			st.deliver(&dl)
		}
		for _, hs := range st.hosts {
			if !hs.dead && !hs.frozen {
				hs.run()
			}
		}
		if check != nil {
			check()
		}
	}
}

func (st *site) deliver(dl *delivery) {
	to := st.byID[dl.to]
	switch {
	case dl.from.peersCut || to.peersCut || to.dead:
	case st.now < dl.at:
		st.queue = append(st.queue, *dl)
	default:
		to.inbox = append(to.inbox, dl.message)
	}
}

func (hs *host) run() {
	for _, message := range hs.inbox {
		hs.receive(&message)
	}
	hs.inbox = nil
	hs.read()
	hs.evacuations.Expire(hs.site.now)
	if hs.site.now >= hs.nextTick {
		hs.nextTick = hs.site.now + relay.TickInterval
		hs.tick()
	}
	if evacuated := hs.evacuated(); evacuated != hs.wasEvacuated {
		hs.wasEvacuated, hs.changedAt = evacuated, hs.site.now
	}
}

func (hs *host) evacuated() bool { return slices.Contains(hs.evacuations.Evacuated(), zone) }

func (hs *host) held() freshness.Held {
	held := freshness.Held{Version: 1}
	if list := hs.evacuations.List(); list != nil {
		held.Evacuations = list.Position
	}
	return held
}

func (hs *host) receive(message *relay.Message) {
	now := hs.site.now
	if !hs.node.Receive(epoch.Add(now), message) {
		return
	}
	seen := hs.evacuations.Seen()
	if hs.earlier {
		message.Evacuations = nil
	}
	if err := hs.evacuations.Merge(now, message.Evacuations, string(message.From)); err != nil {
		panic(err)
	}
	if message.Kind != relay.Beacon || !message.Fresh {
		return
	}
	announcement := freshness.Announcement{Held: freshness.Held{Version: message.Version}}
	if message.Evacuations != nil {
		announcement.Held.Evacuations = message.Evacuations.Position
	}
	if message.Evacuations != nil || !seen || hs.site.withoutLists {
		announcement.ReadAt[freshness.Configuration] = now - message.ConfigurationAge
	}
	announcement.ReadAt[freshness.Targets] = now - message.TargetsAge
	hs.tracker.Announce(announcement)
}

func (hs *host) tick() {
	now := hs.site.now
	age := hs.tracker.OwnAge(now, freshness.Configuration)
	state := relay.LocalState{
		Fresh: hs.lastRead > 0 && now-hs.lastRead < freshWindow, ConfigurationAge: age, TargetsAge: age,
		Own: relay.View{List: relay.NewTargetList(nil)}, Evacuations: hs.evacuations.List(),
	}
	if hs.ready {
		state.Version = 1
	}
	if hs.site.withoutLists || hs.earlier {
		state.Evacuations = nil
	}
	for _, send := range hs.node.Tick(epoch.Add(now), &state) {
		if hs.site.rnd.Float64() >= lossShare {
			hs.site.queue = append(hs.site.queue, delivery{now + hs.site.delay(messageDelay), hs, send.Address, send.Message})
		}
	}
}

// read goes on with the reading of the operators' stream, as an entry host does.
func (hs *host) read() {
	st, now := hs.site, hs.site.now
	if hs.readStarted == 0 {
		if now < hs.nextRead {
			return
		}
		status := freshness.Status{Ready: hs.ready, Relaying: hs.node.Relaying()}
		if !status.Relaying {
			_, status.RelayFresh, status.RelayFound = hs.node.Relay(epoch.Add(now))
		}
		if hs.tracker.Decide(now, freshness.Configuration, hs.held(), &status) == freshness.FollowsRelay {
			hs.synced, hs.nextRead = false, now+checkPause
			return
		}
		hs.readStarted, hs.failing = now, false
		hs.readEnds = now + st.delay(callTime)
		hs.waitEnds = hs.readEnds
		if hs.synced {
			hs.waitEnds += longPollWait
		}
	}
	hs.failing = hs.failing || hs.storeCut || st.storeDown
	switch {
	case hs.failing:
		if now >= hs.waitEnds+callTimeout {
			hs.readStarted, hs.nextRead = 0, now+checkPause
			hs.fetch()
		}
	case now < hs.readEnds:
	case !hs.synced:
		hs.reset()
	case hs.next.Era != st.era || hs.next.Offset < st.compacted || hs.next.Offset > st.end().Offset:
		// The store answers that the records are gone, or in another era.
		hs.synced, hs.readStarted, hs.nextRead = false, 0, now+checkPause/2
	case st.end().After(hs.next) || now >= hs.waitEnds:
		hs.apply()
	}
}

// reset reads the newest records. A host that starts after a restore asks another host first, as confirmConfiguration does.
func (hs *host) reset() {
	if !hs.ready && hs.site.era > 0 {
		hs.fetch()
	}
	hs.evacuations.Reset(hs.site.now, hs.site.newest(), hs.site.end(), "store")
	hs.recordRead(hs.readStarted)
}

func (hs *host) apply() {
	later := hs.site.records[hs.next.Offset:]
	records := make([]evacuation.Record, 0, len(later))
	for _, record := range later {
		records = append(records, record.Record)
	}
	hs.evacuations.Apply(hs.site.now, records, hs.site.end(), "store")
	hs.recordRead(max(hs.readStarted, min(hs.site.now, hs.waitEnds)-callTime))
}

func (hs *host) recordRead(at time.Duration) {
	hs.next, hs.synced, hs.ready = hs.site.end(), true, true
	hs.tracker.RecordRead(freshness.Configuration, at)
	hs.lastRead, hs.readStarted, hs.nextRead = hs.site.now, 0, hs.site.now
}

// fetch takes the state of another host that is ready, unless this host has state already.
func (hs *host) fetch() {
	if hs.ready || hs.peersCut {
		return
	}
	for _, index := range hs.site.rnd.Perm(len(hs.site.hosts)) {
		other := hs.site.hosts[index]
		if other != hs && other.ready && !other.dead && !other.frozen && !other.peersCut {
			hs.ready = true
			if err := hs.evacuations.Merge(hs.site.now, other.evacuations.List(), string(other.ID)); err != nil {
				panic(err)
			}
			return
		}
	}
}

// relays returns the hosts that relay.
func (st *site) relays() []*host {
	return slices.DeleteFunc(slices.Clone(st.hosts), func(hs *host) bool { return !hs.node.Relaying() })
}

// lagging returns the hosts in touch with the store at which the data centre is not in the wanted state.
func (st *site) lagging(evacuated bool) []chestnutroad.HostID {
	var ids []chestnutroad.HostID
	for _, hs := range st.hosts {
		if !hs.dead && !hs.frozen && !hs.storeCut && !hs.earlier && hs.evacuated() != evacuated {
			ids = append(ids, hs.ID)
		}
	}
	return ids
}

// faults are the faults of relays, each of which begins shortly before or after a record is written.
var faults = []struct {
	name  string
	begin func(hs *host)
}{
	{"none", func(*host) {}},
	{"killed", func(hs *host) { hs.dead = true }},
	{"frozen", func(hs *host) { hs.frozen = true }},
	{"cut off from the store", func(hs *host) { hs.storeCut = true }},
	{"cut off from the hosts", func(hs *host) { hs.peersCut = true }},
	{"cut off from both", func(hs *host) { hs.storeCut, hs.peersCut = true, true }},
}

var hostCounts = []int{3, 12, 130}

// seedsFor returns the number of seeds to play with a number of hosts.
func seedsFor(hostCount int) uint64 { return uint64(max(2, 40/hostCount)) }

// playFault evacuates a data centre and takes it back while the relays have a fault, and returns the hosts that lag behind either
// record after the bound.
func playFault(seed uint64, hostCount int, begin func(hs *host), withoutLists bool) (lagging []chestnutroad.HostID) {
	st := newSite(seed, hostCount)
	st.withoutLists = withoutLists
	st.run(3*time.Second, nil)
	for _, evacuated := range []bool{true, false} {
		lead := time.Duration(st.rnd.Int64N(int64(600 * time.Millisecond)))
		for _, hs := range st.relays() {
			begin(hs)
		}
		if evacuated {
			st.run(lead, nil)
			st.write(true)
		} else {
			st.write(false)
			st.run(lead/10, nil)
		}
		st.run(bound, nil)
		lagging = append(lagging, st.lagging(evacuated)...)
	}
	return lagging
}

// TestRelaysFail guards against an evacuation that begins or ends late at a host in touch with the store, because the relay of its
// data centre fails at about that time.
func TestRelaysFail(t *testing.T) {
	t.Parallel()
	for _, hostCount := range hostCounts {
		for _, fault := range faults {
			t.Run(fmt.Sprintf("%d hosts, %s", hostCount, fault.name), func(t *testing.T) {
				t.Parallel()
				for seed := range seedsFor(hostCount) {
					if got := playFault(seed, hostCount, fault.begin, false); len(got) > 0 {
						t.Errorf("seed %d: hosts lag behind: %v", seed, got)
					}
				}
			})
		}
	}
}

// TestRelaysFailWithoutLists shows that TestRelaysFail fails when messages carry no lists, so that the simulation covers them.
func TestRelaysFailWithoutLists(t *testing.T) {
	t.Parallel()
	for _, hostCount := range hostCounts[1:] {
		if got := playFault(1, hostCount, func(*host) {}, true); len(got) == 0 {
			t.Errorf("%d hosts: no host lags behind", hostCount)
		}
	}
}

// TestStoreFails guards against an evacuation that is given up, at any host at any time, because the store is down, deletes records,
// or comes back from an older copy without the record.
func TestStoreFails(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		fail func(st *site, check func())
	}{
		{"down", func(st *site, check func()) {
			st.storeDown = true
			st.run(4*time.Second, check)
			st.storeDown = false
		}},
		{"history lost", func(st *site, _ func()) { st.compacted = st.end().Offset }},
		{"restored with the record", func(st *site, check func()) {
			st.storeDown = true
			st.run(time.Second, check)
			st.storeDown = false
			st.restore(0)
		}},
		{"restored without the record", func(st *site, check func()) {
			st.storeDown = true
			st.run(time.Second, check)
			st.storeDown = false
			st.restore(time.Hour)
			st.run(300*time.Millisecond, check)
			st.start(st.hosts[st.rnd.IntN(len(st.hosts))].Host)
			st.run(time.Duration(st.rnd.Int64N(int64(time.Second))), check)
			st.write(true)
		}},
	}
	for _, hostCount := range hostCounts {
		for _, tc := range cases {
			t.Run(fmt.Sprintf("%d hosts, %s", hostCount, tc.name), func(t *testing.T) {
				t.Parallel()
				for seed := range seedsFor(hostCount) {
					st := newSite(seed, hostCount)
					st.run(2*time.Second, nil)
					st.write(true)
					st.run(bound, nil)
					check := func() {
						for _, hs := range st.hosts {
							if hs.ready && !hs.evacuated() {
								t.Fatalf("seed %d: %s gives the evacuation up at %s", seed, hs.ID, st.now)
							}
						}
					}
					check()
					restarted := st.rnd.IntN(hostCount)
					st.run(100*time.Millisecond, check)
					tc.fail(st, check)
					st.start(st.hosts[restarted].Host)
					st.run(4*time.Second, check)
					st.write(false)
					st.run(bound, nil)
					if got := st.lagging(false); len(got) > 0 {
						t.Errorf("seed %d: the end is not known at %v", seed, got)
					}
				}
			})
		}
	}
}

// TestStartsDuringOutage guards against a host that starts while the store is down and does not take over the evacuations.
func TestStartsDuringOutage(t *testing.T) {
	t.Parallel()
	for _, hostCount := range hostCounts {
		st := newSite(7, hostCount)
		st.run(2*time.Second, nil)
		st.write(true)
		st.run(bound, nil)
		st.storeDown = true
		restarted := st.start(st.hosts[0].Host)
		st.run(bound, func() {
			if restarted.ready && !restarted.evacuated() {
				t.Fatalf("%d hosts: the host is ready without the evacuation", hostCount)
			}
		})
		if !restarted.ready {
			t.Errorf("%d hosts: the host is not ready", hostCount)
		}
	}
}

// TestMissingRecordEnds guards against an evacuation that stays in force for ever after a restore without its record, because hosts take it
// over from each other, for example from one that has just started.
func TestMissingRecordEnds(t *testing.T) {
	t.Parallel()
	for _, hostCount := range hostCounts {
		st := newSite(9, hostCount)
		st.run(2*time.Second, nil)
		st.write(true)
		st.run(bound, nil)
		st.restore(time.Hour)
		for round := range 10 {
			if round == 2 {
				st.start(st.hosts[0].Host)
			}
			// Other records move the position of the lists.
			st.records = append(st.records, storedRecord{evacuation.Record{Position: st.end()}, st.now})
			st.records[len(st.records)-1].DataCentre = "other"
			st.run(600*time.Millisecond, nil)
		}
		if got := st.lagging(false); len(got) > 0 {
			t.Errorf("%d hosts: still evacuated at %v", hostCount, got)
		}
	}
}

// TestEarlierRelay guards against a host that keeps an evacuation after its end, since it relies on the reads of a relay of an earlier
// version, which tells it nothing of evacuations.
func TestEarlierRelay(t *testing.T) {
	t.Parallel()
	for _, hostCount := range hostCounts[1:] {
		st := newSite(3, hostCount)
		st.run(2*time.Second, nil)
		st.write(true)
		st.run(bound, nil)
		for _, hs := range st.relays() {
			st.start(hs.Host).earlier = true
		}
		st.run(3*time.Second, nil)
		if !slices.ContainsFunc(st.relays(), func(hs *host) bool { return hs.earlier }) {
			t.Fatalf("%d hosts: no host of the earlier version relays", hostCount)
		}
		st.write(false)
		st.run(bound, nil)
		if got := st.lagging(false); len(got) > 0 {
			t.Errorf("%d hosts: still evacuated at %v", hostCount, got)
		}
	}
}
