package freshness_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

const (
	step = 10 * time.Millisecond
	// messageDelay is the longest delay of a datagram, and lossShare the share that is lost.
	messageDelay = 20 * time.Millisecond
	lossShare    = 0.01
	// callTime is the longest time of a call to the store or to another host, readTimeout and fetchTimeout those after which a call
	// fails.
	callTime     = 60 * time.Millisecond
	readTimeout  = 700 * time.Millisecond
	fetchTimeout = 800 * time.Millisecond
	// configurationWait and targetsPause are those of an entry host, checkPause its pause between two checks.
	configurationWait = 750 * time.Millisecond
	targetsPause      = 700 * time.Millisecond
	checkPause        = 100 * time.Millisecond
	freshWindow       = 1700 * time.Millisecond
	failureWindow     = 2 * time.Second
)

// change is a record that the store holds from its time on. A read that waits meanwhile does not return a missed one.
type change struct {
	at     time.Duration
	missed bool
}

// site is a simulated installation. Each change is a version of the configuration and a record of the targets.
type site struct {
	rnd     *rand.Rand
	now     time.Duration
	hosts   []*host
	byID    map[string]*host
	list    []relay.Host
	changes []change
	queue   []delivery
	// agesStandStill makes hosts measure ages by a clock that stands still while they are suspended.
	agesStandStill bool
}

type delivery struct {
	at      time.Duration
	from    *host
	to      string
	message relay.Message
}

// reading is a host's reading of one stream.
type reading struct {
	// nextAt is when the next read or check begins by the host's monotonic clock. started is when the read that runs began, zero
	// when none runs; it ends at endsAt.
	nextAt, started, endsAt time.Duration
	// suspendedBefore is the host's suspendedFor when the read began.
	suspendedBefore time.Duration
	synced, lost    bool
	held, result    int
}

type host struct {
	relay.Host
	node     *relay.Node
	tracker  *freshness.Tracker
	streams  [2]reading
	nextTick time.Duration
	// lastRead is the end of the last read of the targets that succeeded.
	lastRead time.Duration
	// fetchFrom is the host that is asked for newer state until fetchEnds.
	fetchFrom              *host
	fetchEnds, fetchFailed time.Duration
	held                   [2]int
	// heldAt holds for each stream when the host learned of each change.
	heldAt [2]map[int]time.Duration

	dead, frozen, leaving, storeCut, peersCut bool
	// suspendedUntil is when a suspended host goes on, suspendedFor the time that it was suspended in all.
	suspendedUntil, suspendedFor time.Duration
	// troubledAt is when a fault last began or lasted.
	troubledAt time.Duration
	inbox      []relay.Message
}

var epoch = time.Unix(1_000_000, 0)

func newSite(seed uint64, dataCentres, hostCount int) *site {
	st := &site{rnd: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*host{}, now: time.Second}
	for index := range hostCount {
		id := fmt.Sprintf("h-%d", index)
		st.list = append(st.list, relay.Host{
			ID: chestnutroad.HostID(id), DataCentre: chestnutroad.DataCentreID(fmt.Sprintf("dc-%d", index%dataCentres)),
			Address: id, Processors: 1,
		})
	}
	for _, listed := range st.list {
		hs := &host{Host: listed, nextTick: st.now + time.Duration(st.rnd.Int64N(int64(relay.TickInterval)))}
		hs.heldAt = [2]map[int]time.Duration{{}, {}}
		hs.node, hs.tracker = relay.New(listed, epoch.Add(st.now)), freshness.New()
		hs.node.SetHosts(st.list)
		st.hosts, st.byID[listed.Address] = append(st.hosts, hs), hs
	}
	return st
}

func (st *site) delay(longest time.Duration) time.Duration {
	return time.Millisecond + time.Duration(st.rnd.Int64N(int64(longest)))
}

// run runs the site for the span.
func (st *site) run(span time.Duration) {
	for end := st.now + span; st.now < end; st.now += step {
		pending := st.queue
		st.queue = nil
		for _, dl := range pending {
			st.deliver(&dl)
		}
		for _, hs := range st.hosts {
			if hs.dead || hs.frozen || hs.storeCut || hs.peersCut || hs.leaving {
				hs.troubledAt = st.now
			}
			if st.now < hs.suspendedUntil {
				hs.troubledAt = st.now
				hs.suspendedFor += step
			}
			if hs.dead || hs.frozen || st.now < hs.suspendedUntil {
				continue
			}
			for _, message := range hs.inbox {
				st.receive(hs, &message)
			}
			hs.inbox = nil
			for stream := range hs.streams {
				st.read(hs, freshness.Stream(stream))
			}
			st.fetch(hs)
			if st.monotonic(hs) >= hs.nextTick {
				hs.nextTick = st.monotonic(hs) + relay.TickInterval
				st.tick(hs)
			}
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

func (hs *host) state() freshness.Held {
	return freshness.Held{
		Version:  chestnutroad.Version(hs.held[freshness.Configuration]),
		Position: chestnutroad.Position{Offset: chestnutroad.Offset(hs.held[freshness.Targets])},
	}
}

func (st *site) receive(hs *host, message *relay.Message) {
	if !hs.node.Receive(epoch.Add(st.monotonic(hs)), message) || message.Kind != relay.Beacon || !message.Fresh {
		return
	}
	announcement := freshness.Announcement{Held: freshness.Held{Version: message.Version, Position: message.Position}}
	announcement.ReadAt[freshness.Configuration] = st.elapsed(hs) - message.ConfigurationAge
	announcement.ReadAt[freshness.Targets] = st.elapsed(hs) - message.TargetsAge
	hs.tracker.Announce(announcement)
}

// elapsed returns the time on the clock by which a host measures ages, which counts the time in which the host is suspended.
func (st *site) elapsed(hs *host) time.Duration {
	if st.agesStandStill {
		return st.monotonic(hs)
	}
	return st.now
}

// monotonic returns the time on the clock of a host's pauses, timeouts and messages, which stands still while the host is suspended.
func (st *site) monotonic(hs *host) time.Duration { return st.now - hs.suspendedFor }

func (st *site) tick(hs *host) {
	held := hs.state()
	sends := hs.node.Tick(epoch.Add(st.monotonic(hs)), &relay.LocalState{
		Version: held.Version, Position: held.Position, Leaving: hs.leaving,
		Fresh:            hs.lastRead > 0 && st.elapsed(hs)-hs.lastRead < freshWindow,
		ConfigurationAge: hs.tracker.OwnAge(st.elapsed(hs), freshness.Configuration),
		TargetsAge:       hs.tracker.OwnAge(st.elapsed(hs), freshness.Targets),
		Own:              relay.View{List: relay.NewTargetList(nil)},
	})
	for _, send := range sends {
		if st.rnd.Float64() >= lossShare {
			st.queue = append(st.queue, delivery{st.now + st.delay(messageDelay), hs, send.Address, send.Message})
		}
	}
}

// stored returns the number of changes that a read sees that began and is answered at the times.
func (st *site) stored(started, at time.Duration) int {
	count := 0
	for index, ch := range st.changes {
		if ch.at <= at && (!ch.missed || ch.at <= started) {
			count = index + 1
		}
	}
	return count
}

// read goes on with a host's reading of a stream, as an entry host does.
func (st *site) read(hs *host, stream freshness.Stream) {
	rd := &hs.streams[stream]
	if rd.started > 0 {
		st.goOn(hs, stream)
		return
	}
	if st.monotonic(hs) < rd.nextAt {
		return
	}
	status := freshness.Status{
		Ready: hs.held[0] > 0 && hs.held[1] > 0, Relaying: hs.node.Relaying(),
		FetchFailed: hs.fetchFailed > 0 && st.elapsed(hs)-hs.fetchFailed < failureWindow,
	}
	if !status.Relaying {
		_, status.RelayFresh, status.RelayFound = hs.node.Relay(epoch.Add(st.monotonic(hs)))
	}
	if hs.tracker.Decide(st.elapsed(hs), stream, hs.state(), &status) == freshness.FollowsRelay {
		rd.synced = false
		rd.nextAt = st.monotonic(hs) + checkPause
		return
	}
	rd.suspendedBefore = hs.suspendedFor
	rd.started, rd.lost, rd.result = st.now, hs.storeCut, -1
	rd.endsAt = st.now + st.delay(callTime)
	if stream == freshness.Configuration && rd.synced {
		rd.endsAt += configurationWait
	}
}

// goOn ends a read once its answer has come or it has timed out.
func (st *site) goOn(hs *host, stream freshness.Stream) {
	rd := &hs.streams[stream]
	rd.lost = rd.lost || hs.storeCut
	if rd.synced && stream == freshness.Configuration && !rd.lost && rd.result < 0 && st.stored(rd.started, st.now) > rd.held {
		// The store answers as soon as it has a record.
		rd.result = st.stored(rd.started, st.now)
		rd.endsAt = min(rd.endsAt, st.now+st.delay(callTime))
	}
	if rd.lost {
		if st.now >= rd.endsAt+readTimeout+hs.suspendedFor-rd.suspendedBefore {
			rd.started, rd.nextAt = 0, st.monotonic(hs)+checkPause
		}
		return
	}
	if st.now < rd.endsAt {
		return
	}
	readAt, waited := rd.started, rd.synced && stream == freshness.Configuration
	if waited && rd.result < 0 {
		readAt = min(rd.started+configurationWait, st.now)
		rd.result = st.stored(rd.started, readAt)
	}
	if rd.result < 0 {
		rd.result = st.stored(rd.started, rd.started)
	}
	rd.held = rd.result
	st.learn(hs, int(stream), rd.result)
	if st.agesStandStill {
		readAt -= rd.suspendedBefore
	}
	hs.tracker.RecordRead(stream, readAt)
	if stream == freshness.Targets {
		hs.lastRead = st.elapsed(hs)
		rd.nextAt = st.monotonic(hs) + targetsPause - 2*(st.now-rd.started)
	}
	rd.started, rd.synced = 0, true
}

// learn records that a host holds the changes up to a number.
func (st *site) learn(hs *host, stream, number int) {
	for known := hs.held[stream] + 1; known <= number; known++ {
		hs.heldAt[stream][known] = st.now
	}
	hs.held[stream] = max(hs.held[stream], number)
}

// learnedAt returns when the host learned of the last change; a later time than now if it has not.
func (hs *host) learnedAt(st *site, stream int) time.Duration {
	if at, found := hs.heldAt[stream][len(st.changes)]; found {
		return at
	}
	return st.now + time.Hour
}

// fetch fetches newer state from other hosts.
func (st *site) fetch(hs *host) {
	if hs.fetchFrom == nil {
		if st.monotonic(hs) < hs.fetchEnds+checkPause {
			return
		}
		hs.fetchEnds = st.monotonic(hs)
		held := hs.state()
		newer := hs.node.NewerHosts(epoch.Add(st.monotonic(hs)), &relay.LocalState{Version: held.Version, Position: held.Position})
		if len(newer) == 0 {
			return
		}
		hs.fetchFrom, hs.fetchEnds = st.byID[newer[0].Address], st.monotonic(hs)+st.delay(callTime)
		return
	}
	from := hs.fetchFrom
	switch {
	case from.dead || from.frozen || st.now < from.suspendedUntil || from.peersCut || hs.peersCut:
		if st.monotonic(hs) >= hs.fetchEnds+fetchTimeout {
			hs.fetchFrom, hs.fetchEnds, hs.fetchFailed = nil, st.monotonic(hs), st.elapsed(hs)
		}
	case st.monotonic(hs) >= hs.fetchEnds:
		for stream := range hs.held {
			st.learn(hs, stream, from.held[stream])
		}
		hs.fetchFrom, hs.fetchEnds = nil, st.monotonic(hs)
	}
}
