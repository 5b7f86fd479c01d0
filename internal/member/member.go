package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Member is one host's view of the membership. It is not safe for concurrent use.
type Member struct {
	settings settings
	self     Host
	leaving  bool

	// ids holds the other hosts in order, so that equal seeds give equal runs.
	ids      []chestnutroad.HostID
	hosts    map[chestnutroad.HostID]*hostEntry
	machines map[string]*machine
	epochs   map[chestnutroad.ShardID]*epochEntry
	version  chestnutroad.Version
	offset   chestnutroad.Offset

	digest   [bucketCount]uint32
	selfHash uint32
	versionHash  uint32
	outOfSync bool

	queue    []*queuedRecord
	sequence uint64
	probes   map[uint64]*probe
	relays   map[uint64]relay

	localOrder, remoteOrder []chestnutroad.HostID

	nextProbe, nextRejoin, nextUrgent, nextJoin, nextCleanup time.Time

	probeCount   int
	syncCursor   int
	unhealthy     []chestnutroad.HostID
	verifyTokens float64
	urgentTokens float64
	lastTick     time.Time
	hasList      bool
	generation   uint64
}

// New returns the member of a host that knows only itself and its seeds.
func New(self Host, opts ...Option) *Member {
	st := defaultSettings()
	for _, opt := range opts {
		opt(&st)
	}
	member := &Member{
		settings:     st,
		self:         self,
		hosts:        map[chestnutroad.HostID]*hostEntry{},
		machines:     map[string]*machine{},
		epochs:       map[chestnutroad.ShardID]*epochEntry{},
		probes:       map[uint64]*probe{},
		relays:       map[uint64]relay{},
		verifyTokens: verifyPerSecond,
		urgentTokens: urgentBurst,
	}
	member.updateSelfHash()
	for _, seed := range st.seeds {
		member.add(time.Time{}, Host{ID: seed.ID, DataCentre: seed.DataCentre, PeerAddress: seed.PeerAddress})
	}
	return member
}

// Self returns the member's own host with its current incarnation.
func (mb *Member) Self() Host { return mb.self }

// Generation grows whenever Hosts, the leaving machines, an epoch or the version changes.
func (mb *Member) Generation() uint64 { return mb.generation }

// Tick advances the member to now and returns what to send; it is due every TickInterval.
func (mb *Member) Tick(now time.Time, rnd *rand.Rand) []Send {
	mb.advanceTo(now)
	var sends []Send
	sends = mb.expireProbes(now, rnd, sends)
	sends = mb.checkSuspects(now, sends)
	sends = mb.startProbe(now, rnd, sends)
	sends = mb.startJoin(now, rnd, sends)
	sends = mb.startRejoin(now, rnd, sends)
	sends = mb.sendUrgent(now, rnd, sends)
	mb.removeExpired(now)
	return sends
}

// Leave marks the member's own host as leaving and returns what to send at once.
func (mb *Member) Leave(now time.Time) []Send {
	if mb.leaving {
		return nil
	}
	mb.leaving = true
	mb.raiseIncarnation(mb.self.Incarnation)
	return mb.sendUrgentTo(now, mb.successors(urgentFanOut), nil)
}

// Hosts returns all known hosts in order of their ids, the member's own included.
func (mb *Member) Hosts(_ time.Time) []HostView {
	views := make([]HostView, 0, len(mb.ids)+1)
	views = append(views, mb.view(mb.self, Alive, mb.leaving))
	for _, id := range mb.ids {
		en := mb.hosts[id]
		views = append(views, mb.view(en.Host, en.state, en.leaving))
	}
	slices.SortFunc(views, func(one, two HostView) int { return cmp.Compare(one.ID, two.ID) })
	return views
}

// Alive returns the hosts of the data centre that may own shards, in order of their ids.
func (mb *Member) Alive(dataCentre chestnutroad.DataCentreID) []chestnutroad.HostID {
	var alive []chestnutroad.HostID
	for _, view := range mb.Hosts(mb.lastTick) {
		if view.DataCentre == dataCentre && view.MayOwn() {
			alive = append(alive, view.ID)
		}
	}
	return alive
}

// Host returns the host of the id.
func (mb *Member) Host(id chestnutroad.HostID) (HostView, bool) {
	if id == mb.self.ID {
		return mb.view(mb.self, Alive, mb.leaving), true
	}
	en, known := mb.hosts[id]
	if !known {
		return HostView{}, false
	}
	return mb.view(en.Host, en.state, en.leaving), true
}

func (mb *Member) view(hs Host, state State, leaving bool) HostView {
	view := HostView{Host: hs, State: state, Suspected: state == Suspect}
	if state != Dead && (leaving || mb.MachineLeaving(string(hs.ID))) {
		view.State = Leaving
	}
	return view
}

// advanceTo moves all deadlines by the time for which this member itself was paused: silence during its own pause is no
// evidence against others.
func (mb *Member) advanceTo(now time.Time) {
	gap := now.Sub(mb.lastTick)
	if mb.lastTick.IsZero() || !now.After(mb.lastTick) {
		gap = 0
	}
	mb.verifyTokens = min(verifyPerSecond, mb.verifyTokens+verifyPerSecond*gap.Seconds())
	mb.urgentTokens = min(urgentBurst, mb.urgentTokens+urgentPerSecond*gap.Seconds())
	if now.After(mb.lastTick) {
		mb.lastTick = now
	}
	if gap < pauseThreshold || !mb.settings.pauseGuard {
		return
	}
	for _, pr := range mb.probes {
		pr.deadline = pr.deadline.Add(gap)
	}
	for _, en := range mb.hosts {
		en.stateSince = en.stateSince.Add(gap)
		if en.state == Suspect {
			en.verifyAt = now
			en.verifyFailed = false
		}
	}
}

// add inserts a host that is taken as alive.
func (mb *Member) add(now time.Time, hs Host) *hostEntry {
	en := &hostEntry{Host: hs, stateSince: now}
	mb.hosts[hs.ID] = en
	index, _ := slices.BinarySearch(mb.ids, hs.ID)
	mb.ids = slices.Insert(mb.ids, index, hs.ID)
	mb.entryChanged(en)
	return en
}

func (mb *Member) remove(id chestnutroad.HostID) {
	en := mb.hosts[id]
	mb.digest[bucketOf(string(id))] ^= en.hash
	mb.setUnhealthy(en, false)
	delete(mb.hosts, id)
	index, _ := slices.BinarySearch(mb.ids, id)
	mb.ids = slices.Delete(mb.ids, index, index+1)
	mb.generation++
}

// entryChanged updates the digest after a change to the entry.
func (mb *Member) entryChanged(en *hostEntry) {
	fold := en.digestHash()
	mb.digest[bucketOf(string(en.ID))] ^= en.hash ^ fold
	en.hash = fold
	mb.generation++
	mb.setUnhealthy(en, en.state != Alive)
}

// setUnhealthy keeps the ids of the suspect and dead hosts in order, so that a Tick passes over no others.
func (mb *Member) setUnhealthy(en *hostEntry, troubled bool) {
	index, found := slices.BinarySearch(mb.unhealthy, en.ID)
	if troubled && !found {
		mb.unhealthy = slices.Insert(mb.unhealthy, index, en.ID)
	}
	if !troubled && found {
		mb.unhealthy = slices.Delete(mb.unhealthy, index, index+1)
	}
}

func (mb *Member) selfEntry() *hostEntry { return &hostEntry{Host: mb.self, leaving: mb.leaving} }

func (mb *Member) selfRecord() Record { return mb.selfEntry().record() }

// updateSelfHash updates the digest after a change to the member's own record.
func (mb *Member) updateSelfHash() {
	fold := mb.selfEntry().digestHash()
	mb.digest[bucketOf(string(mb.self.ID))] ^= mb.selfHash ^ fold
	mb.selfHash = fold
	mb.generation++
}

// raiseIncarnation makes the member's own newest state win over what others hold of it.
func (mb *Member) raiseIncarnation(above chestnutroad.Incarnation) {
	mb.self.Incarnation = max(mb.self.Incarnation, above) + 1
	mb.updateSelfHash()
	mb.enqueue(mb.selfRecord(), true)
}
