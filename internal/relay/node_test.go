package relay_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

var start = time.Unix(1_000_000, 0)

// world runs nodes on a network without delay; dead hosts send and receive nothing.
type world struct {
	now   time.Time
	hosts []relay.Host
	nodes map[chestnutroad.HostID]*relay.Node
	held  map[chestnutroad.HostID]*relay.LocalState
	dead  map[chestnutroad.HostID]bool
	bytes int
	// told counts the residences that each host received.
	told map[chestnutroad.HostID]int
}

func newWorld(dataCentres, perCentre int) *world {
	wd := &world{
		now: start, nodes: map[chestnutroad.HostID]*relay.Node{}, held: map[chestnutroad.HostID]*relay.LocalState{},
		dead: map[chestnutroad.HostID]bool{},
	}
	for centre := range dataCentres {
		for index := range perCentre {
			wd.hosts = append(wd.hosts, relay.Host{
				ID:         chestnutroad.HostID(fmt.Sprintf("h-%d-%d", centre, index)),
				DataCentre: chestnutroad.DataCentreID(fmt.Sprintf("dc-%d", centre)),
				Address:    fmt.Sprintf("h-%d-%d", centre, index), Processors: 1,
			})
		}
	}
	for _, hs := range wd.hosts {
		wd.start(hs)
	}
	return wd
}

func (wd *world) start(hs relay.Host) {
	nd := relay.New(hs, wd.now)
	nd.SetHosts(wd.hosts)
	wd.nodes[hs.ID] = nd
	wd.held[hs.ID] = &relay.LocalState{
		Version: 1, Position: chestnutroad.Position{Offset: 5}, Fresh: true, Own: relay.View{List: targets("a", "b", "c"), Counts: []byte{1, 0, 2}},
	}
}

// targets returns the list of the targets.
func targets(ids ...chestnutroad.TargetID) *relay.TargetList { return relay.NewTargetList(ids) }

// others returns the requests of the other hosts that a host knows of.
func (wd *world) others(id chestnutroad.HostID) map[chestnutroad.TargetID]int {
	view := wd.nodes[id].PeerView(wd.now)
	if view == nil {
		return nil
	}
	counts := map[chestnutroad.TargetID]int{}
	for index, target := range view.List.IDs {
		counts[target] = int(view.Counts[index])
	}
	return counts
}

func (wd *world) run(span time.Duration) {
	for end := wd.now.Add(span); wd.now.Before(end); wd.now = wd.now.Add(relay.TickInterval) {
		for _, hs := range wd.hosts {
			if wd.dead[hs.ID] {
				continue
			}
			for _, send := range wd.nodes[hs.ID].Tick(wd.now, wd.held[hs.ID]) {
				wd.bytes += len(send.Message.Counts)
				to := chestnutroad.HostID(send.Address)
				if !wd.dead[to] {
					if wd.told != nil {
						wd.told[to] += len(send.Message.Residences)
					}
					wd.nodes[to].Receive(wd.now, &send.Message)
				}
			}
		}
	}
}

func (wd *world) relays(dataCentre chestnutroad.DataCentreID) []chestnutroad.HostID {
	var relays []chestnutroad.HostID
	for _, hs := range wd.hosts {
		if hs.DataCentre == dataCentre && !wd.dead[hs.ID] && wd.nodes[hs.ID].Relaying() {
			relays = append(relays, hs.ID)
		}
	}
	return relays
}

// TestOneRelayPerDataCentre guards against data centres whose hosts all read the store, and against ones that none does
// after the relay died, was asked to stop, or lost the store.
func TestOneRelayPerDataCentre(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		fail func(wd *world, id chestnutroad.HostID)
	}{
		{"killed", func(wd *world, id chestnutroad.HostID) { wd.dead[id] = true }},
		{"leaving", func(wd *world, id chestnutroad.HostID) { wd.held[id].Leaving = true }},
		{"cut off from the store", func(wd *world, id chestnutroad.HostID) { wd.held[id].Fresh = false }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			wd := newWorld(3, 7)
			wd.run(5 * time.Second)
			for range 4 {
				before := wd.relays("dc-1")
				if len(before) != 1 {
					t.Fatalf("%v relay", before)
				}
				tc.fail(wd, before[0])
				wd.run(4 * time.Second)
			}
			if others := wd.relays("dc-0"); len(others) != 1 {
				t.Errorf("%v relay in another data centre", others)
			}
		})
	}
}

// TestFollowersReadNothing guards against calls of the store by hosts that a relay serves, and against hosts that wait
// for a relay that can't read the store.
func TestFollowersReadNothing(t *testing.T) {
	t.Parallel()
	wd := newWorld(1, 5)
	wd.run(5 * time.Second)
	self := wd.relays("dc-0")[0]
	for _, hs := range wd.hosts {
		if hs.ID == self {
			continue
		}
		if relayedBy, fresh, found := wd.nodes[hs.ID].Relay(wd.now); !found || !fresh || relayedBy.ID != self {
			t.Errorf("%s follows %s, fresh %t, found %t", hs.ID, relayedBy.ID, fresh, found)
		}
		wd.held[hs.ID].Fresh = false
	}
	wd.held[self].Fresh = false
	wd.run(2 * time.Second)
	for _, hs := range wd.hosts {
		if _, fresh, _ := wd.nodes[hs.ID].Relay(wd.now); fresh {
			t.Errorf("%s waits for a relay that can't read the store", hs.ID)
		}
	}
}

// TestCountsAreSummed guards against loads of other hosts that are missing, counted twice, or counted as others' although
// they are the own ones.
func TestCountsAreSummed(t *testing.T) {
	t.Parallel()
	wd := newWorld(3, 4)
	wd.run(6 * time.Second)
	for _, hs := range wd.hosts {
		if got := wd.others(hs.ID); !maps.Equal(got, map[chestnutroad.TargetID]int{"a": 11, "b": 0, "c": 22}) {
			t.Errorf("%s counts %v at the other hosts", hs.ID, got)
		}
		if stale := wd.nodes[hs.ID].PeerView(wd.now.Add(2 * time.Second)); stale != nil {
			t.Errorf("%s takes counts that are 2 s old", hs.ID)
		}
	}
}

// TestNewer guards against a configuration that a host does not fetch although another one says that it holds it.
func TestNewer(t *testing.T) {
	t.Parallel()
	wd := newWorld(2, 3)
	wd.run(4 * time.Second)
	self := wd.relays("dc-0")[0]
	wd.held[self].Version = 9
	wd.run(time.Second)
	for _, hs := range wd.hosts {
		newer := wd.nodes[hs.ID].NewerHosts(wd.now, wd.held[hs.ID])
		if hs.DataCentre == "dc-0" && hs.ID != self && (len(newer) == 0 || newer[0].ID != self) {
			t.Errorf("%s sees the newer version at %v", hs.ID, newer)
		}
	}
}

// TestNewerEra guards against a host that fetches targets from one which is still in an earlier era of the store, since its
// offset is higher, and against one that does not fetch those of the new era.
func TestNewerEra(t *testing.T) {
	t.Parallel()
	wd := newWorld(2, 3)
	wd.run(4 * time.Second)
	self := wd.relays("dc-0")[0]
	for id, held := range wd.held {
		held.Position = chestnutroad.Position{Offset: 100}
		if id == self {
			held.Position = chestnutroad.Position{Era: 1, Offset: 40}
		}
	}
	wd.run(time.Second)
	for _, hs := range wd.hosts {
		newer := wd.nodes[hs.ID].NewerHosts(wd.now, wd.held[hs.ID])
		switch {
		case hs.ID == self && len(newer) > 0:
			t.Errorf("the host of the new era fetches from %v", newer)
		case hs.DataCentre == "dc-0" && hs.ID != self && (len(newer) != 1 || newer[0].ID != self):
			t.Errorf("%s fetches from %v", hs.ID, newer)
		}
	}
}

// TestUnknownHost guards against messages of hosts that are not in the list.
func TestUnknownHost(t *testing.T) {
	t.Parallel()
	nd := relay.New(relay.Host{ID: "h", DataCentre: "dc"}, start)
	if nd.Receive(start, &relay.Message{From: "stranger", Kind: relay.Beacon, Fresh: true}) {
		t.Error("a stranger's message was taken in")
	}
}

// TestControlTraffic guards against traffic of one host that grows with hosts times targets: with 130 hosts and 117
// targets the busiest host, a relay, sends below the users' 5,000 bytes a second in counts for each of its 26 hosts.
func TestControlTraffic(t *testing.T) {
	t.Parallel()
	wd := newWorld(5, 26)
	ids := make([]chestnutroad.TargetID, 0, 117)
	for index := range 117 {
		ids = append(ids, chestnutroad.TargetID(fmt.Sprintf("i-%03d", index)))
	}
	list := relay.NewTargetList(ids)
	for _, held := range wd.held {
		held.Own = relay.View{List: list, Counts: make([]byte, 117)}
	}
	wd.run(4 * time.Second)
	wd.bytes = 0
	wd.run(10 * time.Second)
	perHost := float64(wd.bytes) / 10 / 130
	if perHost > 5000 {
		t.Errorf("%.0f bytes a second on a host's average", perHost)
	}
}

// TestNoticesReachAllHosts guards against a target's notice that stays with the host that got it, that comes back to it as
// a newer one, or that is believed after it is over.
func TestNoticesReachAllHosts(t *testing.T) {
	t.Parallel()
	wd := newWorld(3, 4)
	wd.run(3 * time.Second)
	teller := wd.hosts[6].ID
	wd.held[teller].Own.Notices = []relay.Notice{0, relay.Leaving, relay.NewNotice(1100 * time.Millisecond)}
	wd.run(time.Second)
	for _, hs := range wd.hosts {
		got := wd.nodes[hs.ID].PeerView(wd.now).Notices
		if len(got) != 3 || got[0] != 0 || got[1] != relay.Leaving || relay.NoticeHold(got[2]) != 1250*time.Millisecond {
			t.Errorf("%s knows %v", hs.ID, got)
		}
	}
	wd.held[teller].Own.Notices = nil
	wd.run(time.Second)
	for _, hs := range wd.hosts {
		if got := wd.nodes[hs.ID].PeerView(wd.now).Notices; got != nil {
			t.Errorf("%s still knows %v", hs.ID, got)
		}
	}
}

// TestResidencesReachAllHosts guards against a part whose residence stays with the host that knows it, or is passed on
// without an end.
func TestResidencesReachAllHosts(t *testing.T) {
	t.Parallel()
	wd := newWorld(3, 4)
	wd.run(3 * time.Second)
	want := chestnutroad.Residence{Part: 1 << 60, Target: 7}
	teller := wd.hosts[6].ID
	wd.held[teller].Residences = []chestnutroad.Residence{want}
	wd.told = map[chestnutroad.HostID]int{}
	wd.run(relay.TickInterval)
	wd.held[teller].Residences = nil
	wd.run(3 * time.Second)
	for _, hs := range wd.hosts {
		// A relay hears of it from the teller or another relay, each other host once from its relay.
		if got := wd.told[hs.ID]; got != 1 && hs.ID != teller {
			t.Errorf("%s was told %d times", hs.ID, got)
		}
	}
}
