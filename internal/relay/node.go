package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

// Host is a host as the store's list of hosts describes it.
type Host struct {
	ID         chestnutroad.HostID
	DataCentre chestnutroad.DataCentreID
	Address    string
	// Processors is the CPU capacity in cores; hosts with more of it come first in the order of relays.
	Processors float64
}

// Kind is the purpose of a message.
type Kind string

// The kinds of messages.
const (
	// Report carries a host's own counts to its relay.
	Report Kind = "Report"
	// Beacon carries a relay's versions and the total counts of all data centres to the hosts of its data centre.
	Beacon Kind = "Beacon"
	// Exchange carries the total counts of one data centre to the relays of the others.
	Exchange Kind = "Exchange"
)

// Message is a datagram between hosts.
type Message struct {
	Kind       Kind
	From       chestnutroad.HostID
	DataCentre chestnutroad.DataCentreID
	// Version and Position are the sender's configuration and the end of the records of the targets that it has read.
	Version  chestnutroad.Version
	Position chestnutroad.Position
	// Fresh is true while the sender's own reads of the store succeed.
	Fresh bool
	// ConfigurationAge and TargetsAge state in a beacon how long ago the sender's own last reads of the store were. Package siblings
	// encodes them in a binary form instead.
	ConfigurationAge time.Duration `json:"-"`
	TargetsAge       time.Duration `json:"-"`
	// Leaving is true once the sender was asked to stop.
	Leaving bool `json:",omitempty"`
	// List is the digest of the list that gives the order of Counts and Notices.
	List uint64 `json:",omitempty"`
	// Counts are the requests at each target, each capped at MaxCount.
	Counts []byte
	// Notices are the announcements of the targets; nil when there are none.
	Notices []Notice `json:",omitempty"`
	// Residences are targets where prompt parts are in use; package siblings encodes them in a binary form instead.
	Residences []chestnutroad.Residence `json:"-"`
	// Evidence is what hosts have observed of prompt parts that may crash targets; package siblings encodes it in a binary form
	// instead.
	Evidence []chestnutroad.CrashEvidence `json:"-"`
	// Evacuations is the list of evacuated data centres; nil as long as the sender has seen no evacuation. Package siblings encodes it
	// in a binary form instead.
	Evacuations *chestnutroad.EvacuationList `json:"-"`
	// Rates are the requests sent to targets that limit them: the host's own in a report, the sums of the data centre in an
	// exchange, and of all hosts in a beacon. Package siblings encodes them in a binary form instead.
	Rates []chestnutroad.TargetRate `json:"-"`
	// Starts are the streams that began a moment ago: at the sender in a report, in the data centre in an exchange, and at all hosts in a
	// beacon to a deputy. Package siblings encodes them in a binary form instead.
	Starts []resumption.Start `json:"-"`
}

// Send is a message with the address that it goes to.
type Send struct {
	Address string
	Message Message
}

// LocalState is the state of the node's own host at a tick.
type LocalState struct {
	Version  chestnutroad.Version
	Position chestnutroad.Position
	// Fresh is true while the host's own reads of the store succeed.
	Fresh bool
	// ConfigurationAge and TargetsAge are the ages of the host's own last reads of the store.
	ConfigurationAge, TargetsAge time.Duration
	// Leaving is true once the host was asked to stop.
	Leaving bool
	// Own holds the host's own requests at each target and the notices that the targets sent to this host.
	Own View
	// Residences are sent to other hosts once, with the messages of this tick.
	Residences []chestnutroad.Residence
	// Evacuations is the list of evacuated data centres; nil as long as the host has seen no evacuation.
	Evacuations *chestnutroad.EvacuationList
	// Evidence about prompt parts is sent to other hosts with the messages of this tick.
	Evidence []chestnutroad.CrashEvidence
	// Rates are the host's own requests for targets that limit them.
	Rates []chestnutroad.TargetRate
	// Starts are the streams that other hosts are to know: those that began at this host, and on a relay in its data centre. RemoteStarts
	// are those of other data centres, on a relay.
	Starts, RemoteStarts []resumption.Start
}

const (
	// TickInterval is the time between two ticks. Counts are one and a half intervals old on average when a host of another
	// data centre gets them, and old counts send requests to targets that are already above the load bound: 4 % of all
	// requests with an interval of 400 ms, less than 3 % with one of 250 ms.
	TickInterval = 150 * time.Millisecond
	// beaconTimeout is the time without a beacon after which a host no longer counts as a relay. It is longer than several
	// ticks, so that a few beacons in a row may be lost.
	beaconTimeout = 800 * time.Millisecond
	// takeoverDelay is added to beaconTimeout once per rank, so that hosts don't take over at the same moment.
	takeoverDelay = 250 * time.Millisecond
	// messageTTL is how long the contents of a message are used.
	messageTTL = time.Second
	// MaxCount is the highest count of requests that fits in the byte of a target; higher counts are capped.
	MaxCount = 255
)

type peer struct {
	Host
	lastMessage Message
	receivedAt  time.Time
	beaconAt    time.Time
	// view is the peer's last view in the order of a recent list of this host; nil after a beacon.
	view   *View
	viewAt time.Time
	// rates are the peer's rates, or those of its data centre.
	rates rateTable
}

// Node decides for one host whether it relays and which messages it sends. It is not safe for concurrent use.
type Node struct {
	self      Host
	startedAt time.Time
	peers     map[chestnutroad.HostID]*peer
	// localHosts are the hosts of the own data centre, this host included, in the order in which they become relay.
	localHosts []Host
	// lists are the recent lists of targets of this host.
	lists listHistory
	// reported is this host's own view at the last tick in which it sent messages; it is subtracted from total.
	reported *View
	// total is the latest sum of the views of all hosts.
	total   *View
	totalAt time.Time
	// unmatched counts the messages whose list is not among the recent lists of this host.
	unmatched int
	relaying  bool
	// localResidences and remoteResidences arrived since the last tick from the own and from other data centres. A relay
	// forwards them at the next tick.
	localResidences  []chestnutroad.Residence
	remoteResidences []chestnutroad.Residence
	// localEvidence and remoteEvidence are the same for the evidence about prompt parts.
	localEvidence  evidenceQueue
	remoteEvidence evidenceQueue
	// rotation is the start index among the hosts of a data centre whose relay is not known.
	rotation int
	// ownRates are the rates that this host told last, totalRates the sums of all hosts. ratesTurn counts the ticks.
	ownRates, totalRates rateTable
	ratesTurn            int
}

// New returns the node of a host that starts now.
func New(self Host, now time.Time) *Node {
	nd := &Node{
		self: self, startedAt: now, peers: map[chestnutroad.HostID]*peer{}, ownRates: rateTable{}, totalRates: rateTable{},
	}
	nd.SetHosts(nil)
	return nd
}

// SetHosts replaces the list of hosts and keeps the state of those that stay listed.
func (nd *Node) SetHosts(hosts []Host) {
	listed := map[chestnutroad.HostID]bool{nd.self.ID: true}
	localHosts := []Host{nd.self}
	for _, hs := range hosts {
		if listed[hs.ID] {
			continue
		}
		listed[hs.ID] = true
		if existing := nd.peers[hs.ID]; existing != nil {
			existing.Host = hs
		} else {
			nd.peers[hs.ID] = &peer{Host: hs, rates: rateTable{}}
		}
		if hs.DataCentre == nd.self.DataCentre {
			localHosts = append(localHosts, hs)
		}
	}
	for id := range nd.peers {
		if !listed[id] {
			delete(nd.peers, id)
		}
	}
	slices.SortFunc(localHosts, func(a, b Host) int {
		return cmp.Or(
			cmp.Compare(b.Processors, a.Processors),
			cmp.Compare(chestnutroad.HashID(string(a.ID)), chestnutroad.HashID(string(b.ID))),
		)
	})
	nd.localHosts = localHosts
}

// HostCount returns the number of hosts, this one included.
func (nd *Node) HostCount() int { return len(nd.peers) + 1 }

// Rank returns the index of this host in the order in which the hosts of its data centre become relay.
func (nd *Node) Rank() int {
	return slices.IndexFunc(nd.localHosts, func(hs Host) bool { return hs.ID == nd.self.ID })
}

// First returns up to count hosts that come first in the order in which the hosts of the data centre become relay.
func (nd *Node) First(count int) []Host {
	return slices.Clone(nd.localHosts[:min(count, len(nd.localHosts))])
}

// Relaying reports whether this host acts as relay.
func (nd *Node) Relaying() bool { return nd.relaying }

// Relay returns the other host of the data centre that this host follows and whether it reads the store. Without a relay,
// or with one that can't read the store, the host has to read the store itself.
func (nd *Node) Relay(now time.Time) (relay Host, fresh, found bool) {
	for _, hs := range nd.localHosts {
		pr := nd.peers[hs.ID]
		if pr == nil || !pr.beaconing(now) {
			continue
		}
		if pr.lastMessage.Fresh {
			return hs, true, true
		}
		if !found {
			relay, found = hs, true
		}
	}
	return relay, false, found
}

// beaconing reports whether the peer acts as relay.
func (pr *peer) beaconing(now time.Time) bool {
	return !pr.beaconAt.IsZero() && now.Sub(pr.beaconAt) < beaconTimeout && !pr.lastMessage.Leaving && pr.lastMessage.Kind == Beacon
}

// NewerHosts returns the hosts that have a newer configuration or later records of the targets than this host, those of the
// own data centre first.
func (nd *Node) NewerHosts(now time.Time, state *LocalState) []Host {
	var hosts []Host
	for _, pr := range nd.peers {
		if now.Sub(pr.receivedAt) < messageTTL &&
			(pr.lastMessage.Version > state.Version || pr.lastMessage.Position.After(state.Position)) {
			hosts = append(hosts, pr.Host)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(
			cmp.Compare(nd.distance(&a), nd.distance(&b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return hosts
}

// distance returns 0 for a host of the own data centre and 1 for any other.
func (nd *Node) distance(hs *Host) int {
	if hs.DataCentre == nd.self.DataCentre {
		return 0
	}
	return 1
}

// Receive processes a message of another host. It returns false and ignores the message when the sender is not in the list.
func (nd *Node) Receive(now time.Time, message *Message) bool {
	pr := nd.peers[message.From]
	if pr == nil {
		return false
	}
	if pr.lastMessage.Kind != message.Kind {
		// The rates of an exchange are the sums of a data centre, those of a report a host's own.
		clear(pr.rates)
	}
	pr.lastMessage = *message
	pr.receivedAt = now
	view := nd.viewOf(message)
	if message.Kind != Beacon {
		pr.rates.update(now, message.Rates)
	}
	switch {
	case message.Kind == Beacon:
		// The counts of a beacon are the sums of all hosts rather than the sender's own.
		pr.view = nil
	case view != nil:
		pr.view, pr.viewAt = view, now
	}
	switch message.Kind {
	case Report:
		nd.localResidences = mergeResidences(nd.localResidences, message.Residences)
		nd.localEvidence.add(now, message.Evidence)
		return true
	case Exchange:
		nd.remoteResidences = mergeResidences(nd.remoteResidences, message.Residences)
		nd.remoteEvidence.add(now, message.Evidence)
		return true
	case Beacon:
	}
	pr.beaconAt = now
	if relay, _, found := nd.Relay(now); found && relay.ID == message.From {
		nd.totalRates.update(now, message.Rates)
		if view != nil {
			nd.total, nd.totalAt = view, now
		}
	}
	return true
}

// viewOf returns the view in a message, or nil when its list is not among the recent lists of this host. In that case the
// sender's last view stays in use until it expires: dropping it at once would take all requests of a data centre that has
// read another record out of the sums.
func (nd *Node) viewOf(message *Message) *View {
	list := nd.lists.find(message.List)
	if list == nil {
		nd.unmatched++
		return nil
	}
	return &View{List: list, Counts: message.Counts, Notices: message.Notices}
}

// Unmatched returns the number of messages received with a list that was not among the recent lists of this host.
func (nd *Node) Unmatched() int { return nd.unmatched }

// Tick decides whether this host relays and returns the messages to send; the caller calls it every TickInterval.
func (nd *Node) Tick(now time.Time, state *LocalState) []Send {
	nd.lists.add(state.Own.List)
	nd.ratesTurn++
	nd.ownRates.update(now, state.Rates)
	nd.relaying = nd.shouldRelay(now, state)
	if !nd.relaying {
		nd.localResidences, nd.remoteResidences = nil, nil
		nd.localEvidence, nd.remoteEvidence = nil, nil
		return nd.report(now, state)
	}
	return nd.relay(now, state)
}

// shouldRelay reports whether this host is to relay because no better host of the data centre does. A host that can read the
// store takes precedence over one that can't; otherwise the rank decides.
func (nd *Node) shouldRelay(now time.Time, state *LocalState) bool {
	if state.Leaving {
		return false
	}
	rank := nd.Rank()
	relay, fresh, found := nd.Relay(now)
	if found && fresh != state.Fresh {
		return state.Fresh
	}
	if found && slices.IndexFunc(nd.localHosts, func(hs Host) bool { return hs.ID == relay.ID }) < rank {
		return false
	}
	return rank == 0 || nd.relaying || now.Sub(nd.lastBeacon()) >= beaconTimeout+time.Duration(rank)*takeoverDelay
}

// lastBeacon returns the time of the last beacon of another host of the data centre, or the node's start when none arrived.
func (nd *Node) lastBeacon() time.Time {
	last := nd.startedAt
	for _, hs := range nd.localHosts {
		if pr := nd.peers[hs.ID]; pr != nil && pr.beaconAt.After(last) {
			last = pr.beaconAt
		}
	}
	return last
}

func (nd *Node) message(kind Kind, state *LocalState, view *View) Message {
	return Message{
		Kind: kind, From: nd.self.ID, DataCentre: nd.self.DataCentre,
		Version: state.Version, Position: state.Position, Fresh: state.Fresh, Leaving: state.Leaving,
		List: view.List.Digest, Counts: view.Counts, Notices: view.Notices, Evacuations: state.Evacuations,
	}
}

// maxResidences bounds the residences that a relay forwards in one message; those left out are announced again later.
const maxResidences = 128

// mergeResidences appends the residences in from that are not in to yet, up to maxResidences: several hosts may announce the
// same part.
func mergeResidences(to, from []chestnutroad.Residence) []chestnutroad.Residence {
	for _, rd := range from {
		if len(to) < maxResidences && !slices.Contains(to, rd) {
			to = append(to, rd)
		}
	}
	return to
}

// report returns the report to the relay, or nothing when there is no relay.
func (nd *Node) report(now time.Time, state *LocalState) []Send {
	relay, _, found := nd.Relay(now)
	if !found {
		return nil
	}
	nd.reported = &state.Own
	report := nd.message(Report, state, &state.Own)
	report.Residences = state.Residences
	report.Evidence = state.Evidence
	report.Rates = rotation(state.Rates, maxRates, nd.ratesTurn)
	report.Starts = state.Starts
	return []Send{{Address: relay.Address, Message: report}}
}

// relay sums the views and returns the beacons for the own data centre and the exchanges for the others.
func (nd *Node) relay(now time.Time, state *LocalState) []Send {
	nd.reported = &state.Own
	dataCentreTotal, total := state.Own.clone(), state.Own.clone()
	dataCentreRates, totalRates := rateTable{}, rateTable{}
	dataCentreRates.add(now, nd.ownRates)
	for _, pr := range nd.peers {
		if pr.DataCentre == nd.self.DataCentre && pr.lastMessage.Kind == Report {
			dataCentreRates.add(now, pr.rates)
		}
		if pr.DataCentre != nd.self.DataCentre && pr.lastMessage.Kind == Exchange {
			totalRates.add(now, pr.rates)
		}
		if pr.view == nil || now.Sub(pr.viewAt) >= messageTTL {
			continue
		}
		if pr.DataCentre == nd.self.DataCentre && pr.lastMessage.Kind == Report {
			dataCentreTotal.add(pr.view)
			total.add(pr.view)
		}
		if pr.DataCentre != nd.self.DataCentre && pr.lastMessage.Kind == Exchange {
			total.add(pr.view)
		}
	}
	nd.total, nd.totalAt = total, now
	totalRates.add(now, dataCentreRates)
	nd.totalRates = totalRates
	nd.rotation += remoteCandidates
	sends := make([]Send, 0, len(nd.peers))
	local := mergeResidences(nd.localResidences, state.Residences)
	remote := nd.remoteResidences
	nd.localResidences, nd.remoteResidences = nil, nil
	nd.localEvidence.add(now, state.Evidence)
	beacon, exchange := nd.message(Beacon, state, total), nd.message(Exchange, state, dataCentreTotal)
	beacon.ConfigurationAge, beacon.TargetsAge = state.ConfigurationAge, state.TargetsAge
	beacon.Residences, exchange.Residences = mergeResidences(slices.Clone(local), remote), local
	exchange.Evidence = nd.localEvidence.items(now)
	beacon.Evidence = append(nd.remoteEvidence.items(now), exchange.Evidence...)
	nd.localEvidence, nd.remoteEvidence = nil, nil
	exchange.Rates = rotation(dataCentreRates.without(now, nil), maxRates, nd.ratesTurn)
	beacon.Rates = rotation(totalRates.without(now, nil), maxBeaconRates, nd.ratesTurn)
	deputies := nd.deputies(now)
	if len(deputies) > 0 {
		copied := beacon
		copied.Starts = slices.Concat(state.Starts, state.RemoteStarts)
		for _, hs := range deputies {
			sends = append(sends, Send{Address: hs.Address, Message: copied})
		}
	}
	for _, hs := range nd.localHosts {
		if hs.ID != nd.self.ID && !slices.Contains(deputies, hs) {
			sends = append(sends, Send{Address: hs.Address, Message: beacon})
		}
	}
	exchange.Starts = state.Starts
	for _, hs := range nd.remoteRelays(now) {
		sends = append(sends, Send{Address: hs.Address, Message: exchange})
	}
	return sends
}

// deputyCount is the number of deputies of a relay.
const deputyCount = 2

// deputies returns the hosts that come first in the order of relays, besides this relay, among those that report to it. They hold copies
// of what the relay knows of streams, so that it is not lost with the relay.
func (nd *Node) deputies(now time.Time) []Host {
	var hosts []Host
	for _, hs := range nd.localHosts {
		pr := nd.peers[hs.ID]
		if pr == nil || now.Sub(pr.receivedAt) >= messageTTL || pr.lastMessage.Leaving {
			continue
		}
		if hosts = append(hosts, hs); len(hosts) == deputyCount {
			break
		}
	}
	return hosts
}

// LocalHolders returns the other hosts of the data centre that may hold copies of what its relay knows of streams: those that come first
// in the order of relays.
func (nd *Node) LocalHolders() []Host {
	hosts := make([]Host, 0, deputyCount+1)
	for _, hs := range nd.localHosts {
		if hs.ID != nd.self.ID && len(hosts) <= deputyCount {
			hosts = append(hosts, hs)
		}
	}
	return hosts
}

// RemoteRelays returns the relays of the other data centres if this host relays.
func (nd *Node) RemoteRelays(now time.Time) []Host {
	if !nd.relaying {
		return nil
	}
	return nd.remoteRelays(now)
}

// remoteCandidates is the number of hosts of another data centre that get an exchange while its relay is not known.
const remoteCandidates = 2

// remoteRelays returns the relays of the other data centres; for a data centre without a known relay it returns candidates.
func (nd *Node) remoteRelays(now time.Time) []Host {
	groups := map[chestnutroad.DataCentreID][]*peer{}
	for _, pr := range nd.peers {
		if pr.DataCentre != nd.self.DataCentre {
			groups[pr.DataCentre] = append(groups[pr.DataCentre], pr)
		}
	}
	var hosts []Host
	for _, group := range groups {
		relays := slices.DeleteFunc(slices.Clone(group), func(pr *peer) bool {
			return now.Sub(pr.receivedAt) >= messageTTL || pr.lastMessage.Kind != Exchange
		})
		if len(relays) == 0 {
			slices.SortFunc(group, func(a, b *peer) int {
				return cmp.Or(
					cmp.Compare(b.Processors, a.Processors),
					cmp.Compare(chestnutroad.HashID(string(a.ID)), chestnutroad.HashID(string(b.ID))),
				)
			})
			relays = nd.rotate(group)
		}
		for _, pr := range relays {
			hosts = append(hosts, pr.Host)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return hosts
}

// rotate returns up to remoteCandidates hosts of a group, other ones at each tick, since the first in order may be dead.
func (nd *Node) rotate(group []*peer) []*peer {
	count := min(remoteCandidates, len(group))
	candidates := make([]*peer, 0, count)
	for index := range count {
		candidates = append(candidates, group[(nd.rotation+index)%len(group)])
	}
	return candidates
}

// PeerView returns the sum of the counts of all other hosts, or nil when the total has expired. Its notices include those
// that the targets sent to this host.
func (nd *Node) PeerView(now time.Time) *View {
	if nd.total == nil || now.Sub(nd.totalAt) >= messageTTL {
		return nil
	}
	peerView := nd.total.clone()
	if nd.reported != nil {
		own := nd.reported.alignTo(peerView.List).Counts
		for index := range min(len(peerView.Counts), len(own)) {
			peerView.Counts[index] -= min(peerView.Counts[index], own[index])
		}
	}
	return peerView
}
