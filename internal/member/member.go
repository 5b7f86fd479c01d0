package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Member holds a host's view of the membership, its failure detector and its gossip queue. It is not safe for concurrent
// use.
type Member struct {
	settings settings
	self     Host
	leaving  bool

	// ids holds the sorted ids of the other hosts, so that equal random seeds give equal runs.
	ids      []chestnutroad.HostID
	hosts    map[chestnutroad.HostID]*hostEntry
	machines map[string]*machine
	epochs   map[chestnutroad.ShardID]*epochEntry
	version  chestnutroad.Version
	offset   chestnutroad.Offset

	digest [bucketCount]uint32
	// selfHash and versionHash are the hashes of the member's own record and of the version's that the digest contains.
	selfHash    uint32
	versionHash uint32
	// outOfSync is true if the records of a host that answered since the last join probe differ in many buckets.
	outOfSync bool

	queue    []*queuedRecord
	sequence uint64
	probes   map[uint64]*probe
	relays   map[uint64]relay

	// localOrder and remoteOrder hold the hosts left to probe in the current round, in the member's own data centre and in
	// the others.
	localOrder, remoteOrder []chestnutroad.HostID

	nextProbe, nextRejoin, nextUrgent, nextJoin, nextCleanup time.Time

	probeCount int
	// syncCursor is where the next message to repair buckets starts in the list of their records.
	syncCursor int
	// unhealthy holds the sorted ids of the suspect and dead hosts.
	unhealthy []chestnutroad.HostID
	// verifyTokens and urgentTokens limit the rates of verification probes and of urgent messages.
	verifyTokens float64
	urgentTokens float64
	// lastTick is the latest time that was passed to Tick or Receive.
	lastTick time.Time
	// hasList is true once the platform's host list has been applied.
	hasList    bool
	generation uint64
}

// New returns the Member of a host, with only the host itself and its seeds in its view.
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

// Generation returns a number that grows whenever Hosts, the leaving machines, an epoch or the version changes.
func (mb *Member) Generation() uint64 { return mb.generation }

// Tick runs the timers that are due at now and returns the messages to send. It has to be called every TickInterval.
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

// Leave marks the member's own host as leaving and returns urgent messages that announce it.
func (mb *Member) Leave(now time.Time) []Send {
	if mb.leaving {
		return nil
	}
	mb.leaving = true
	mb.raiseIncarnation(mb.self.Incarnation)
	return mb.sendUrgentTo(now, mb.successors(urgentFanOut), nil)
}

// Hosts returns all hosts in the view, the member's own included, in order of their ids. The time is ignored.
func (mb *Member) Hosts(_ time.Time) []HostView {
	views := make([]HostView, 0, len(mb.ids)+1)
	views = append(views, mb.view(mb.self, Alive, mb.leaving))
	for _, id := range mb.ids {
		en := mb.hosts[id]
		views = append(views, mb.view(en.Host, en.state, en.leaving))
	}
	slices.SortFunc(views, func(a, b HostView) int { return cmp.Compare(a.ID, b.ID) })
	return views
}

// EligibleOwners returns the sorted ids of the hosts of the data centre that may own shards, suspect ones included.
func (mb *Member) EligibleOwners(dataCentre chestnutroad.DataCentreID) []chestnutroad.HostID {
	var eligible []chestnutroad.HostID
	for _, view := range mb.Hosts(mb.lastTick) {
		if view.DataCentre == dataCentre && view.MayOwn() {
			eligible = append(eligible, view.ID)
		}
	}
	return eligible
}

// Host returns the host with the id, and whether it is in the view.
func (mb *Member) Host(id chestnutroad.HostID) (HostView, bool) {
	if id == mb.self.ID {
		return mb.view(mb.self, Alive, mb.leaving), true
	}
	en, found := mb.hosts[id]
	if !found {
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

// advanceTo refills the token buckets. If this member itself was paused for pauseThreshold or longer, it also moves the
// deadlines of probes and suspicions by the length of the pause and verifies suspect hosts again: answers that are missing
// because of its own pause are no evidence of a failure.
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

// add inserts a host with the state Alive.
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

// entryChanged updates the digest, the generation and the list of unhealthy hosts after a change to the entry.
func (mb *Member) entryChanged(en *hostEntry) {
	hash := en.digestHash()
	mb.digest[bucketOf(string(en.ID))] ^= en.hash ^ hash
	en.hash = hash
	mb.generation++
	mb.setUnhealthy(en, en.state != Alive)
}

// setUnhealthy adds the host to the unhealthy ones or removes it, so that Tick need not iterate over all hosts.
func (mb *Member) setUnhealthy(en *hostEntry, unhealthy bool) {
	index, found := slices.BinarySearch(mb.unhealthy, en.ID)
	if unhealthy && !found {
		mb.unhealthy = slices.Insert(mb.unhealthy, index, en.ID)
	}
	if !unhealthy && found {
		mb.unhealthy = slices.Delete(mb.unhealthy, index, index+1)
	}
}

func (mb *Member) selfEntry() *hostEntry { return &hostEntry{Host: mb.self, leaving: mb.leaving} }

func (mb *Member) selfRecord() Record { return mb.selfEntry().record() }

// updateSelfHash updates the digest and the generation after a change to the member's own record.
func (mb *Member) updateSelfHash() {
	hash := mb.selfEntry().digestHash()
	mb.digest[bucketOf(string(mb.self.ID))] ^= mb.selfHash ^ hash
	mb.selfHash = hash
	mb.generation++
}

// raiseIncarnation starts and gossips a new incarnation above the given and the current one, so that the member's own state
// wins over the records of other hosts.
func (mb *Member) raiseIncarnation(above chestnutroad.Incarnation) {
	mb.self.Incarnation = max(mb.self.Incarnation, above) + 1
	mb.updateSelfHash()
	mb.enqueue(mb.selfRecord(), true)
}
