package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Host is another host as the store's list names it.
type Host struct {
	ID         chestnutroad.HostID
	DataCentre chestnutroad.DataCentreID
	Address    string
	// Processors is the share of a core that the host has; the largest hosts relay.
	Processors float64
}

// Kind says what a message is for.
type Kind string

// The kinds of messages.
const (
	// Report carries a host's own counts to its relay.
	Report Kind = "Report"
	// Beacon carries a relay's versions and the sums of all data centres to its hosts.
	Beacon Kind = "Beacon"
	// Exchange carries the sums of one data centre to the relays of the others.
	Exchange Kind = "Exchange"
)

// Message is a datagram between hosts.
type Message struct {
	Kind       Kind
	From       chestnutroad.HostID
	DataCentre chestnutroad.DataCentreID
	// Version and Position are the configuration and the end of the targets' records that the sender holds.
	Version  chestnutroad.Version
	Position chestnutroad.Position
	// Fresh is true while the sender reads the store itself.
	Fresh bool
	// Leaving is true once the sender was asked to stop.
	Leaving bool `json:",omitempty"`
	// List is the digest of the list in whose order Counts and Notices are.
	List uint64 `json:",omitempty"`
	// Counts are the requests at each target; at most 255 each.
	Counts []byte
	// Notices are what the targets said of themselves; left out when none said anything.
	Notices []Notice `json:",omitempty"`
	// Residences say where prompt parts are in use; they are encoded apart.
	Residences []chestnutroad.Residence `json:"-"`
}

// Send is a message on its way to a host.
type Send struct {
	Address string
	Message Message
}

// LocalState is what the node's own host holds.
type LocalState struct {
	Version  chestnutroad.Version
	Position chestnutroad.Position
	// Fresh is true while the host's own reads of the store succeed.
	Fresh bool
	// Leaving is true once the host was asked to stop.
	Leaving bool
	// Own are the host's own requests at each target, and what targets said to the host itself.
	Own View
	// Residences are what other hosts are to be told of prompt parts, once.
	Residences []chestnutroad.Residence
}

const (
	// TickInterval is the time between two ticks. A load is one and a half intervals old on average at a host of another data
	// centre; with 400 ms, 4 in 100 requests of the grown sites met a target over the bound, with 250 ms below 3.
	TickInterval = 150 * time.Millisecond
	// silence is the time without a beacon after which the next host in the order relays; two may get lost in a row.
	silence = 800 * time.Millisecond
	// rankDelay keeps the hosts further down from relaying at the same moment.
	rankDelay = 250 * time.Millisecond
	// countsAge is how long counts are believed.
	countsAge = time.Second
	// MaxCount is the most requests that a byte tells.
	MaxCount = 255
)

type peer struct {
	Host
	last   Message
	heard  time.Time
	beacon time.Time
	// view is what the host last said of the targets in the order of a list that is known here.
	view   *View
	viewAt time.Time
}

// Node is one host's part. It is not safe for concurrent use.
type Node struct {
	self  Host
	since time.Time
	peers map[chestnutroad.HostID]*peer
	// local are the hosts of the own data centre in the order in which they relay, the own one included.
	local []Host
	// lists are the lists of targets that this host held last.
	lists lists
	// reported is the host's own part of the last message to a relay, total what all hosts said last.
	reported *View
	total    *View
	totalAt  time.Time
	// unmatched counts the messages in the order of a list that is not known here.
	unmatched int
	relaying  bool
	// local and remote residences arrived since the last tick and are passed on with the next one.
	localResidences  []chestnutroad.Residence
	remoteResidences []chestnutroad.Residence
	// turn counts through the hosts of data centres whose relay is not known.
	turn int
}

// New returns the node of a host that starts now.
func New(self Host, now time.Time) *Node {
	nd := &Node{self: self, since: now, peers: map[chestnutroad.HostID]*peer{}}
	nd.SetHosts(nil)
	return nd
}

// SetHosts takes in the list of hosts.
func (nd *Node) SetHosts(hosts []Host) {
	listed := map[chestnutroad.HostID]bool{nd.self.ID: true}
	local := []Host{nd.self}
	for _, hs := range hosts {
		if listed[hs.ID] {
			continue
		}
		listed[hs.ID] = true
		if known := nd.peers[hs.ID]; known != nil {
			known.Host = hs
		} else {
			nd.peers[hs.ID] = &peer{Host: hs}
		}
		if hs.DataCentre == nd.self.DataCentre {
			local = append(local, hs)
		}
	}
	for id := range nd.peers {
		if !listed[id] {
			delete(nd.peers, id)
		}
	}
	slices.SortFunc(local, func(one, two Host) int {
		return cmp.Or(
			cmp.Compare(two.Processors, one.Processors),
			cmp.Compare(chestnutroad.HashID(string(one.ID)), chestnutroad.HashID(string(two.ID))),
		)
	})
	nd.local = local
}

// Hosts returns the number of hosts, the own one included.
func (nd *Node) Hosts() int { return len(nd.peers) + 1 }

// Rank returns the place of this host in the order in which the hosts of its data centre relay, from 0.
func (nd *Node) Rank() int {
	return slices.IndexFunc(nd.local, func(hs Host) bool { return hs.ID == nd.self.ID })
}

// Relaying reports whether this host relays.
func (nd *Node) Relaying() bool { return nd.relaying }

// Relay returns the host whose beacons this host follows and whether it reads the store; a host that hears no relay, or
// one that can't read the store, has to read it itself.
func (nd *Node) Relay(now time.Time) (relay Host, fresh, found bool) {
	for _, hs := range nd.local {
		pr := nd.peers[hs.ID]
		if pr == nil || !pr.beaconing(now) {
			continue
		}
		if pr.last.Fresh {
			return hs, true, true
		}
		if !found {
			relay, found = hs, true
		}
	}
	return relay, false, found
}

func (pr *peer) beaconing(now time.Time) bool {
	return !pr.beacon.IsZero() && now.Sub(pr.beacon) < silence && !pr.last.Leaving && pr.last.Kind == Beacon
}

// NewerHosts returns hosts that hold a newer configuration or later records of the targets than this host.
func (nd *Node) NewerHosts(now time.Time, held *LocalState) []Host {
	var hosts []Host
	for _, pr := range nd.peers {
		if now.Sub(pr.heard) < countsAge && (pr.last.Version > held.Version || pr.last.Position.After(held.Position)) {
			hosts = append(hosts, pr.Host)
		}
	}
	slices.SortFunc(hosts, func(one, two Host) int {
		return cmp.Or(
			cmp.Compare(nd.distance(&one), nd.distance(&two)),
			cmp.Compare(one.ID, two.ID),
		)
	})
	return hosts
}

func (nd *Node) distance(hs *Host) int {
	if hs.DataCentre == nd.self.DataCentre {
		return 0
	}
	return 1
}

// Receive takes in a message of another host.
//
// It returns false for a host that is not in the list.
func (nd *Node) Receive(now time.Time, message *Message) bool {
	pr := nd.peers[message.From]
	if pr == nil {
		return false
	}
	pr.last = *message
	pr.heard = now
	view := nd.read(message)
	switch {
	case message.Kind == Beacon:
		// A beacon has the sums of all hosts, which are not its sender's own part.
		pr.view = nil
	case view != nil:
		pr.view, pr.viewAt = view, now
	}
	switch message.Kind {
	case Report:
		nd.localResidences = passOn(nd.localResidences, message.Residences)
		return true
	case Exchange:
		nd.remoteResidences = passOn(nd.remoteResidences, message.Residences)
		return true
	case Beacon:
	}
	pr.beacon = now
	if relay, _, found := nd.Relay(now); found && relay.ID == message.From && view != nil {
		nd.total, nd.totalAt = view, now
	}
	return true
}

// read returns what a message says of the targets, or nil when it is in the order of a list that this host never held. What
// its sender said before is believed until then: without it, the sums would lack all requests of a data centre that has read
// another record.
func (nd *Node) read(message *Message) *View {
	list := nd.lists.find(message.List)
	if list == nil {
		nd.unmatched++
		return nil
	}
	return &View{List: list, Counts: message.Counts, Notices: message.Notices}
}

// Unmatched returns the number of messages in the order of a list that this host never held.
func (nd *Node) Unmatched() int { return nd.unmatched }

// Tick returns the messages that are due; it is due every Interval.
func (nd *Node) Tick(now time.Time, held *LocalState) []Send {
	nd.lists.add(held.Own.List)
	nd.relaying = nd.shouldRelay(now, held)
	if !nd.relaying {
		nd.localResidences, nd.remoteResidences = nil, nil
		return nd.report(now, held)
	}
	return nd.relay(now, held)
}

// shouldRelay reports whether no better host of the data centre relays: one that reads the store goes before one that
// can't, then the order decides.
func (nd *Node) shouldRelay(now time.Time, held *LocalState) bool {
	if held.Leaving {
		return false
	}
	rank := nd.Rank()
	relay, fresh, found := nd.Relay(now)
	if found && fresh != held.Fresh {
		return held.Fresh
	}
	if found && slices.IndexFunc(nd.local, func(hs Host) bool { return hs.ID == relay.ID }) < rank {
		return false
	}
	return rank == 0 || nd.relaying || now.Sub(nd.lastBeacon()) >= silence+time.Duration(rank)*rankDelay
}

// lastBeacon returns when another host of the data centre last sent a beacon.
func (nd *Node) lastBeacon() time.Time {
	last := nd.since
	for _, hs := range nd.local {
		if pr := nd.peers[hs.ID]; pr != nil && pr.beacon.After(last) {
			last = pr.beacon
		}
	}
	return last
}

func (nd *Node) message(kind Kind, held *LocalState, view *View) Message {
	return Message{
		Kind: kind, From: nd.self.ID, DataCentre: nd.self.DataCentre,
		Version: held.Version, Position: held.Position, Fresh: held.Fresh, Leaving: held.Leaving,
		List: view.List.Digest, Counts: view.Counts, Notices: view.Notices,
	}
}

// maxResidences bounds what a relay passes on with one message; a part whose residence is left out is told again later.
const maxResidences = 128

// passOn adds residences that are not among those to be passed on yet: several hosts may tell of one part.
func passOn(to, from []chestnutroad.Residence) []chestnutroad.Residence {
	for _, rd := range from {
		if len(to) < maxResidences && !slices.Contains(to, rd) {
			to = append(to, rd)
		}
	}
	return to
}

func (nd *Node) report(now time.Time, held *LocalState) []Send {
	relay, _, found := nd.Relay(now)
	if !found {
		return nil
	}
	nd.reported = &held.Own
	report := nd.message(Report, held, &held.Own)
	report.Residences = held.Residences
	return []Send{{Address: relay.Address, Message: report}}
}

func (nd *Node) relay(now time.Time, held *LocalState) []Send {
	nd.reported = &held.Own
	centre, all := held.Own.clone(), held.Own.clone()
	for _, pr := range nd.peers {
		if pr.view == nil || now.Sub(pr.viewAt) >= countsAge {
			continue
		}
		if pr.DataCentre == nd.self.DataCentre && pr.last.Kind == Report {
			centre.add(pr.view)
			all.add(pr.view)
		}
		if pr.DataCentre != nd.self.DataCentre && pr.last.Kind == Exchange {
			all.add(pr.view)
		}
	}
	nd.total, nd.totalAt = all, now
	nd.turn += remoteCandidates
	sends := make([]Send, 0, len(nd.peers))
	local := passOn(nd.localResidences, held.Residences)
	remote := nd.remoteResidences
	nd.localResidences, nd.remoteResidences = nil, nil
	beacon, exchange := nd.message(Beacon, held, all), nd.message(Exchange, held, centre)
	beacon.Residences, exchange.Residences = passOn(slices.Clone(local), remote), local
	for _, hs := range nd.local {
		if hs.ID != nd.self.ID {
			sends = append(sends, Send{Address: hs.Address, Message: beacon})
		}
	}
	for _, hs := range nd.remoteRelays(now) {
		sends = append(sends, Send{Address: hs.Address, Message: exchange})
	}
	return sends
}

// remoteCandidates is the number of hosts of another data centre that get sums while its relay is not known.
const remoteCandidates = 2

// remoteRelays returns the hosts of the other data centres that relay, or the first ones in their order.
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
			return now.Sub(pr.heard) >= countsAge || pr.last.Kind != Exchange
		})
		if len(relays) == 0 {
			slices.SortFunc(group, func(one, two *peer) int {
				return cmp.Or(
					cmp.Compare(two.Processors, one.Processors),
					cmp.Compare(chestnutroad.HashID(string(one.ID)), chestnutroad.HashID(string(two.ID))),
				)
			})
			relays = nd.someOf(group)
		}
		for _, pr := range relays {
			hosts = append(hosts, pr.Host)
		}
	}
	slices.SortFunc(hosts, func(one, two Host) int { return cmp.Compare(one.ID, two.ID) })
	return hosts
}

// someOf returns other hosts of a group in turn: the first ones of its order may be dead.
func (nd *Node) someOf(group []*peer) []*peer {
	count := min(remoteCandidates, len(group))
	some := make([]*peer, 0, count)
	for index := range count {
		some = append(some, group[(nd.turn+index)%len(group)])
	}
	return some
}

// PeerView returns what all other hosts said last of the targets, or nil when that is too old. What targets said to this host
// is among the notices.
func (nd *Node) PeerView(now time.Time) *View {
	if nd.total == nil || now.Sub(nd.totalAt) >= countsAge {
		return nil
	}
	others := nd.total.clone()
	if nd.reported != nil {
		own := nd.reported.in(others.List).Counts
		for index := range min(len(others.Counts), len(own)) {
			others.Counts[index] -= min(others.Counts[index], own[index])
		}
	}
	return others
}
