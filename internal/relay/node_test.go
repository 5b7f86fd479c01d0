package relay_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

var start = time.Unix(1_000_000, 0)

// cluster runs nodes on a network without delay; dead hosts send and receive nothing.
type cluster struct {
	now    time.Time
	hosts  []relay.Host
	nodes  map[chestnutroad.HostID]*relay.Node
	states map[chestnutroad.HostID]*relay.LocalState
	dead   map[chestnutroad.HostID]bool
	// countBytes is the size of the counts in all messages sent.
	countBytes int
	// residences is the number of residences that each host received.
	residences map[chestnutroad.HostID]int
	// evidence is the evidence about prompt parts that each host received.
	evidence map[chestnutroad.HostID][]chestnutroad.CrashEvidence
	// starts is the number of starts of streams that each host received.
	starts map[chestnutroad.HostID]int
}

func newCluster(dataCentres, perCentre int) *cluster {
	cl := &cluster{
		now: start, nodes: map[chestnutroad.HostID]*relay.Node{}, states: map[chestnutroad.HostID]*relay.LocalState{},
		dead: map[chestnutroad.HostID]bool{},
	}
	for centre := range dataCentres {
		for index := range perCentre {
			cl.hosts = append(cl.hosts, relay.Host{
				ID:         chestnutroad.HostID(fmt.Sprintf("h-%d-%d", centre, index)),
				DataCentre: chestnutroad.DataCentreID(fmt.Sprintf("dc-%d", centre)),
				Address:    fmt.Sprintf("h-%d-%d", centre, index), Processors: 1,
			})
		}
	}
	for _, hs := range cl.hosts {
		cl.start(hs)
	}
	return cl
}

func (cl *cluster) start(hs relay.Host) {
	nd := relay.New(hs, cl.now)
	nd.SetHosts(cl.hosts)
	cl.nodes[hs.ID] = nd
	cl.states[hs.ID] = &relay.LocalState{
		Version: 1, Position: chestnutroad.Position{Offset: 5}, Fresh: true, Own: relay.View{List: targets("a", "b", "c"), Counts: []byte{1, 0, 2}},
	}
}

func targets(ids ...chestnutroad.TargetID) *relay.TargetList { return relay.NewTargetList(ids) }

// peerCounts returns the counts of the other hosts as one host sees them.
func (cl *cluster) peerCounts(id chestnutroad.HostID) map[chestnutroad.TargetID]int {
	view := cl.nodes[id].PeerView(cl.now)
	if view == nil {
		return nil
	}
	counts := map[chestnutroad.TargetID]int{}
	for index, target := range view.List.IDs {
		counts[target] = int(view.Counts[index])
	}
	return counts
}

func (cl *cluster) run(span time.Duration) {
	for end := cl.now.Add(span); cl.now.Before(end); cl.now = cl.now.Add(relay.TickInterval) {
		for _, hs := range cl.hosts {
			if cl.dead[hs.ID] {
				continue
			}
			for _, send := range cl.nodes[hs.ID].Tick(cl.now, cl.states[hs.ID]) {
				cl.countBytes += len(send.Message.Counts)
				to := chestnutroad.HostID(send.Address)
				if !cl.dead[to] {
					if cl.residences != nil {
						cl.residences[to] += len(send.Message.Residences)
					}
					if cl.evidence != nil {
						cl.evidence[to] = append(cl.evidence[to], send.Message.Evidence...)
					}
					if cl.starts != nil {
						cl.starts[to] += len(send.Message.Starts)
					}
					cl.nodes[to].Receive(cl.now, &send.Message)
				}
			}
		}
	}
}

func (cl *cluster) relays(dataCentre chestnutroad.DataCentreID) []chestnutroad.HostID {
	var relays []chestnutroad.HostID
	for _, hs := range cl.hosts {
		if hs.DataCentre == dataCentre && !cl.dead[hs.ID] && cl.nodes[hs.ID].Relaying() {
			relays = append(relays, hs.ID)
		}
	}
	return relays
}

// TestOneRelayPerDataCentre guards against a data centre in which several hosts relay, and against one in which none does
// after the relay died, was asked to stop or lost the store.
func TestOneRelayPerDataCentre(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		fail func(cl *cluster, id chestnutroad.HostID)
	}{
		{"killed", func(cl *cluster, id chestnutroad.HostID) { cl.dead[id] = true }},
		{"leaving", func(cl *cluster, id chestnutroad.HostID) { cl.states[id].Leaving = true }},
		{"cut off from the store", func(cl *cluster, id chestnutroad.HostID) { cl.states[id].Fresh = false }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(3, 7)
			cl.run(5 * time.Second)
			for range 4 {
				before := cl.relays("dc-1")
				if len(before) != 1 {
					t.Fatalf("relays %v, want one", before)
				}
				tc.fail(cl, before[0])
				cl.run(4 * time.Second)
			}
			if others := cl.relays("dc-0"); len(others) != 1 {
				t.Errorf("relays %v in another data centre, want one", others)
			}
		})
	}
}

// TestFollowRelay guards against hosts that read the store although their relay does, and against hosts that wait for a
// relay that can't read the store.
func TestFollowRelay(t *testing.T) {
	t.Parallel()
	cl := newCluster(1, 5)
	cl.run(5 * time.Second)
	relayID := cl.relays("dc-0")[0]
	for _, hs := range cl.hosts {
		if hs.ID == relayID {
			continue
		}
		if followed, fresh, found := cl.nodes[hs.ID].Relay(cl.now); !found || !fresh || followed.ID != relayID {
			t.Errorf("%s follows %s, fresh %t, found %t", hs.ID, followed.ID, fresh, found)
		}
		cl.states[hs.ID].Fresh = false
	}
	cl.states[relayID].Fresh = false
	cl.run(2 * time.Second)
	for _, hs := range cl.hosts {
		if _, fresh, _ := cl.nodes[hs.ID].Relay(cl.now); fresh {
			t.Errorf("%s waits for a relay that can't read the store", hs.ID)
		}
	}
}

// TestPeerCounts guards against counts of other hosts that are missing or included twice, and against own counts that are
// taken for those of other hosts.
func TestPeerCounts(t *testing.T) {
	t.Parallel()
	cl := newCluster(3, 4)
	cl.run(6 * time.Second)
	for _, hs := range cl.hosts {
		if got := cl.peerCounts(hs.ID); !maps.Equal(got, map[chestnutroad.TargetID]int{"a": 11, "b": 0, "c": 22}) {
			t.Errorf("%s: counts of the other hosts: got %v", hs.ID, got)
		}
		if stale := cl.nodes[hs.ID].PeerView(cl.now.Add(2 * time.Second)); stale != nil {
			t.Errorf("%s uses counts that are 2 s old", hs.ID)
		}
	}
}

// TestNewerHosts guards against a new configuration that is not fetched although another host has announced that it has it.
func TestNewerHosts(t *testing.T) {
	t.Parallel()
	cl := newCluster(2, 3)
	cl.run(4 * time.Second)
	relayID := cl.relays("dc-0")[0]
	cl.states[relayID].Version = 9
	cl.run(time.Second)
	for _, hs := range cl.hosts {
		newer := cl.nodes[hs.ID].NewerHosts(cl.now, cl.states[hs.ID])
		if hs.DataCentre == "dc-0" && hs.ID != relayID && (len(newer) == 0 || newer[0].ID != relayID) {
			t.Errorf("%s: hosts with a newer version: got %v, want %s first", hs.ID, newer, relayID)
		}
	}
}

// TestNewerHostsAcrossEras guards against a host that fetches targets from one in an earlier era of the store, whose offset
// is higher, and against one that does not fetch those of the new era.
func TestNewerHostsAcrossEras(t *testing.T) {
	t.Parallel()
	cl := newCluster(2, 3)
	cl.run(4 * time.Second)
	relayID := cl.relays("dc-0")[0]
	for id, state := range cl.states {
		state.Position = chestnutroad.Position{Offset: 100}
		if id == relayID {
			state.Position = chestnutroad.Position{Era: 1, Offset: 40}
		}
	}
	cl.run(time.Second)
	for _, hs := range cl.hosts {
		newer := cl.nodes[hs.ID].NewerHosts(cl.now, cl.states[hs.ID])
		switch {
		case hs.ID == relayID && len(newer) > 0:
			t.Errorf("hosts newer than the one in the new era: got %v", newer)
		case hs.DataCentre == "dc-0" && hs.ID != relayID && (len(newer) != 1 || newer[0].ID != relayID):
			t.Errorf("%s: hosts with newer records: got %v, want only %s", hs.ID, newer, relayID)
		}
	}
}

// TestUnlistedHost guards against messages of hosts that are not in the list.
func TestUnlistedHost(t *testing.T) {
	t.Parallel()
	nd := relay.New(relay.Host{ID: "h", DataCentre: "dc"}, start)
	if nd.Receive(start, &relay.Message{From: "unlisted", Kind: relay.Beacon, Fresh: true}) {
		t.Error("the message of an unlisted host was accepted")
	}
}

// TestControlTraffic guards against traffic per host that grows with hosts times targets: with 130 hosts and 117 targets a
// host sends on average at most the users' limit of 5,000 bytes of counts per second.
func TestControlTraffic(t *testing.T) {
	t.Parallel()
	cl := newCluster(5, 26)
	ids := make([]chestnutroad.TargetID, 0, 117)
	for index := range 117 {
		ids = append(ids, chestnutroad.TargetID(fmt.Sprintf("i-%03d", index)))
	}
	list := relay.NewTargetList(ids)
	for _, state := range cl.states {
		state.Own = relay.View{List: list, Counts: make([]byte, 117)}
	}
	cl.run(4 * time.Second)
	cl.countBytes = 0
	cl.run(10 * time.Second)
	bytesPerHost := float64(cl.countBytes) / 10 / 130
	if bytesPerHost > 5000 {
		t.Errorf("%.0f bytes per second and host on average, want at most 5000", bytesPerHost)
	}
}

// TestNoticesReachAllHosts guards against a target's notice that stays with the host that received it, or that circulates
// among the hosts and never expires.
func TestNoticesReachAllHosts(t *testing.T) {
	t.Parallel()
	cl := newCluster(3, 4)
	cl.run(3 * time.Second)
	source := cl.hosts[6].ID
	cl.states[source].Own.Notices = []relay.Notice{0, relay.Leaving, relay.NewNotice(1100 * time.Millisecond)}
	cl.run(time.Second)
	for _, hs := range cl.hosts {
		got := cl.nodes[hs.ID].PeerView(cl.now).Notices
		if len(got) != 3 || got[0] != 0 || got[1] != relay.Leaving || relay.NoticeHold(got[2]) != 1250*time.Millisecond {
			t.Errorf("%s: got notices %v", hs.ID, got)
		}
	}
	cl.states[source].Own.Notices = nil
	cl.run(time.Second)
	for _, hs := range cl.hosts {
		if got := cl.nodes[hs.ID].PeerView(cl.now).Notices; got != nil {
			t.Errorf("%s: got notices %v after their end", hs.ID, got)
		}
	}
}

// TestResidencesReachAllHosts guards against the residence of a prompt part that stays with the host that announced it, or
// that circulates among the hosts forever.
func TestResidencesReachAllHosts(t *testing.T) {
	t.Parallel()
	cl := newCluster(3, 4)
	cl.run(3 * time.Second)
	want := chestnutroad.Residence{Part: 1 << 60, Target: 7}
	source := cl.hosts[6].ID
	cl.states[source].Residences = []chestnutroad.Residence{want}
	cl.residences = map[chestnutroad.HostID]int{}
	cl.run(relay.TickInterval)
	cl.states[source].Residences = nil
	cl.run(3 * time.Second)
	for _, hs := range cl.hosts {
		// A relay gets it once from the source or from another relay, each other host once from its relay.
		if got := cl.residences[hs.ID]; got != 1 && hs.ID != source {
			t.Errorf("%s received the residence %d times, want once", hs.ID, got)
		}
	}
}

// TestEvidenceReachesAllHosts guards against evidence about a prompt part that stays with the host that reported it, that
// circulates among the hosts, or whose age stands still while a relay holds it.
func TestEvidenceReachesAllHosts(t *testing.T) {
	t.Parallel()
	cl := newCluster(3, 4)
	cl.run(3 * time.Second)
	crash := chestnutroad.CrashEvidence{Subject: 1 << 60, Crash: 7, Age: time.Second}
	sources := []chestnutroad.HostID{cl.hosts[6].ID, cl.hosts[7].ID}
	for _, source := range sources {
		cl.states[source].Evidence = []chestnutroad.CrashEvidence{crash, {Subject: 5, Age: time.Millisecond}}
	}
	cl.evidence = map[chestnutroad.HostID][]chestnutroad.CrashEvidence{}
	cl.run(relay.TickInterval)
	for _, source := range sources {
		cl.states[source].Evidence = nil
	}
	cl.run(3 * time.Second)
	for _, hs := range cl.hosts {
		got := cl.evidence[hs.ID]
		if hs.ID == cl.hosts[4].ID {
			// The relay of the sources gets the evidence from both.
			got = got[2:]
		}
		if len(got) != 2 || got[0].Subject != crash.Subject || got[0].Crash != crash.Crash || got[1].Subject != 5 || got[1].Crash != 0 {
			t.Errorf("%s received %+v, want each item once", hs.ID, got)
			continue
		}
		if age := got[0].Age - crash.Age; age < 0 || age > 2*relay.TickInterval || got[1].Age != age+time.Millisecond {
			t.Errorf("%s received %+v, want ages up to two ticks higher", hs.ID, got)
		}
	}
}

// TestStartsReachDeputiesAndOtherRelays guards against streams of which only one host of a data centre knows, and against starts that are
// sent to all hosts.
func TestStartsReachDeputiesAndOtherRelays(t *testing.T) {
	t.Parallel()
	cl := newCluster(2, 6)
	cl.run(3 * time.Second)
	relayID := cl.relays("dc-0")[0]
	for _, hs := range cl.hosts {
		if hs.DataCentre == "dc-0" && hs.ID != relayID {
			cl.dead[hs.ID] = true
			break
		}
	}
	cl.run(2 * time.Second)
	state := cl.states[relayID]
	state.Starts = []resumption.Start{{Service: "model", Version: "v1", Stream: 1}}
	state.RemoteStarts = []resumption.Start{{Service: "model", Version: "v1", Stream: 2}}
	cl.starts = map[chestnutroad.HostID]int{}
	cl.run(relay.TickInterval)
	deputies := 0
	for id, count := range cl.starts {
		want := 0
		switch {
		case id == cl.relays("dc-1")[0]:
			want = 1
		case count > 0:
			want = 2
			deputies++
		}
		if count != want {
			t.Errorf("%s received %d starts, want %d", id, count, want)
		}
	}
	if deputies != 2 {
		t.Errorf("%d deputies received the starts, want 2", deputies)
	}
}
