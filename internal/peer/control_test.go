package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/member"
)

type runningPeer struct {
	*Peer
	sender *Sender
	host   member.Host
}

// startPeer runs a peer on a free port with the given peers as seeds.
func startPeer(t testing.TB, id chestnutroad.HostID, seeds []*runningPeer, opts ...RunOption) *runningPeer {
	t.Helper()
	sender, err := ListenControl("127.0.0.1:0", id, testKey)
	if err != nil {
		t.Fatal(err)
	}
	host := member.Host{
		ID:          id,
		DataCentre:  "poznan-a",
		PeerAddress: sender.Address().String(),
		Incarnation: member.IncarnationAt(time.Now()),
	}
	seedHosts := make([]member.Host, 0, len(seeds))
	for _, seed := range seeds {
		seedHosts = append(seedHosts, seed.host)
	}
	peer := NewPeer(member.New(host, member.WithSeeds(seedHosts...)), sender, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- peer.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return &runningPeer{Peer: peer, sender: sender, host: host}
}

// eventually fails the test if the condition does not become true within the limit.
func eventually(t *testing.T, description string, limit time.Duration, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("condition not met within %v: %s", limit, description)
}

// TestPeersOverUDP guards against hosts that don't discover each other over real sockets, and against epochs, versions,
// leaving machines or payloads that don't reach the other hosts.
func TestPeersOverUDP(t *testing.T) {
	received := make(chan string, 10)
	changed := make(chan struct{}, 1000)
	first := startPeer(t, "first", nil,
		WithOnPayload(func(from chestnutroad.HostID, kind member.PayloadKind, data []byte) {
			received <- fmt.Sprint(from, " ", kind, " ", string(data))
		}),
		WithOnChange(func() { changed <- struct{}{} }))
	second := startPeer(t, "second", []*runningPeer{first})
	third := startPeer(t, "third", []*runningPeer{first})
	eventually(t, "every peer lists all three", 5*time.Second, func() bool {
		return len(first.EligibleOwners("poznan-a")) == 3 && len(second.EligibleOwners("poznan-a")) == 3 && len(third.EligibleOwners("poznan-a")) == 3
	})
	shard := chestnutroad.ShardID{DataCentre: "poznan-a"}
	epoch := chestnutroad.Epoch{Millis: 5, Host: "first"}
	first.ObserveEpoch(shard, epoch)
	second.ObserveVersion(4, 9)
	second.AnnounceLeaving("engine-1", true)
	eventually(t, "epoch, version and leaving machine reach the other peers", 2*time.Second, func() bool {
		version, offset := third.Version()
		return third.Epoch(shard) == epoch && version == 4 && offset == 9 && len(first.LeavingMachines()) == 1
	})
	second.SendPayload("first", member.LoadSummary, []byte("load"))
	if got, want := <-received, "second 1 load"; got != want {
		t.Errorf("payload %q, want %q", got, want)
	}
	third.Leave()
	eventually(t, "the leaving host is no longer alive", 3*time.Second, func() bool {
		return len(first.EligibleOwners("poznan-a")) == 2 && len(second.EligibleOwners("poznan-a")) == 2
	})
	if len(changed) == 0 {
		t.Error("onChange was not called")
	}
}

// TestDatagramsRejected guards against datagrams that are accepted although they are forged, stale, replayed or malformed,
// and against rejections counted under the wrong reason.
func TestDatagramsRejected(t *testing.T) {
	peer := startPeer(t, "target", nil)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "udp", peer.host.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	message := member.Message{Type: member.Ping, From: member.Host{ID: "intruder", PeerAddress: "127.0.0.1:1", Incarnation: 1}}
	data, err := message.Encode()
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now().UnixNano()
	forged := seal([]byte("another key of at least 16 bytes"), "target", now, data)
	altered := seal(testKey, "target", now, data)
	altered[len(altered)-1]++
	genuine := seal(testKey, "target", now, data)
	cases := []struct {
		name     string
		datagram []byte
		reason   rejection
	}{
		{"unsigned", data, rejectedForged},
		{"short", []byte("x"), rejectedForged},
		{"another key", forged, rejectedForged},
		{"altered", altered, rejectedForged},
		{"for another host", seal(testKey, "other", now, data), rejectedForged},
		{"oversize", seal(testKey, "target", now, make([]byte, member.MaxDatagram)), rejectedOversize},
		{"stale", seal(testKey, "target", now-2*maxSkew.Nanoseconds(), data), rejectedStale},
		{"from the future", seal(testKey, "target", now+2*maxSkew.Nanoseconds(), data), rejectedStale},
		{"not a message", seal(testKey, "target", now, []byte{0xff}), rejectedMalformed},
		{"genuine", genuine, ""},
		{"replayed", genuine, rejectedReplayed},
	}
	for _, tc := range cases {
		counter := peer.sender.counters.received
		if tc.reason != "" {
			counter = peer.sender.counters.rejected[tc.reason]
		}
		before := counter.Get()
		if len(peer.Hosts()) != 1 && tc.reason != rejectedReplayed {
			t.Fatalf("before case %q: a rejected datagram added a host", tc.name)
		}
		if _, err := conn.Write(tc.datagram); err != nil {
			t.Fatal(err)
		}
		eventually(t, tc.name+" is counted", 2*time.Second, func() bool { return counter.Get() == before+1 })
	}
	eventually(t, "the genuine datagram adds its sender", time.Second, func() bool { return len(peer.Hosts()) == 2 })
}

// TestReplayWindow guards against reordered datagrams that are dropped as replays, and against accepting a stamp twice or
// one below the window, where a replay can't be detected.
func TestReplayWindow(t *testing.T) {
	var window stampWindow
	for stamp := int64(1000); stamp < 1000+2*replayWindowSize; stamp += 2 {
		if !window.accept(stamp) {
			t.Fatalf("new stamp %d was dropped", stamp)
		}
	}
	if !window.accept(1001 + replayWindowSize) {
		t.Error("a stamp that arrived out of order was dropped")
	}
	if window.accept(1001+replayWindowSize) || window.accept(999) {
		t.Error("a repeated stamp or one below the window was accepted")
	}
}

// TestBudgetOnTheWire guards against a flood of placement exceptions that exceeds the control budget or starves probes, so
// that hosts are suspected.
func TestBudgetOnTheWire(t *testing.T) {
	t.Parallel()
	first := startPeer(t, "first", nil)
	second := startPeer(t, "second", []*runningPeer{first})
	eventually(t, "the peers list each other", 5*time.Second, func() bool { return len(first.Hosts()) == 2 })
	total := func() (sum uint64) {
		for _, counter := range first.sender.counters.bytes {
			sum += counter.Get()
		}
		return sum
	}
	probes := first.sender.counters.sent[member.PriorityProbe].Get()
	before, start := total(), time.Now()
	for time.Since(start) < 5*time.Second {
		first.SendPayload("second", member.PlacementException, make([]byte, 600))
		time.Sleep(2 * time.Millisecond)
	}
	limit := uint64(time.Since(start).Seconds()*member.DefaultBudgetRate) + member.DefaultBudgetBurst
	sent := total() - before
	if sent > limit || sent < limit/2 {
		t.Errorf("%d bytes sent under a flood, want at most %d and over half of it", sent, limit)
	}
	if first.sender.counters.dropped[member.PriorityPlacement].Get() == 0 {
		t.Error("no placement exception was dropped")
	}
	if got := first.sender.counters.dropped[member.PriorityProbe].Get(); got != 0 {
		t.Errorf("%d probes or answers were dropped", got)
	}
	if got := first.sender.counters.sent[member.PriorityProbe].Get() - probes; got < 8 {
		t.Errorf("%d probes and answers sent in 5 s, want 8 or more", got)
	}
	for _, peer := range []*runningPeer{first, second} {
		for _, view := range peer.Hosts() {
			if view.State != member.Alive {
				t.Errorf("host %s sees host %s as %v under the flood", peer.host.ID, view.ID, view.State)
			}
		}
	}
}

// TestKeepAliveIsCounted guards against keep-alive frames that are missing from the control traffic, and against a panic
// on a nil Sender.
func TestKeepAliveIsCounted(t *testing.T) {
	sender, err := ListenControl("127.0.0.1:0", "entry", testKey)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = sender.Close() })
	sender.CountKeepAlive()
	if got := sender.counters.keepAliveBytes.Get(); got != keepAliveSize {
		t.Errorf("%d bytes counted, want %d", got, keepAliveSize)
	}
	(*Sender)(nil).CountKeepAlive()
}
