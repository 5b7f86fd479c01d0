package relay_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// peerRates returns the sums of the other hosts' rates as one host sees them, by target.
func (cl *cluster) peerRates(id chestnutroad.HostID) map[chestnutroad.TargetHash]chestnutroad.TargetRate {
	rates, _ := cl.nodes[id].PeerRates(cl.now)
	byTarget := map[chestnutroad.TargetHash]chestnutroad.TargetRate{}
	for _, rate := range rates {
		byTarget[rate.Target] = rate
	}
	return byTarget
}

// TestRatesReachAllHosts guards against hosts that don't know of the requests that others send to a limited target, count their own
// ones among them, or hold to an older statement of the limit.
func TestRatesReachAllHosts(t *testing.T) {
	t.Parallel()
	cl := newCluster(3, 5)
	for _, hs := range cl.hosts {
		cl.states[hs.ID].Rates = []chestnutroad.TargetRate{{
			Target: 7, Limit: 5, Age: 20 * time.Second, Sent: 2, Wanted: [chestnutroad.RateClasses]float64{1, 0, 0, 3},
		}}
	}
	cl.states["h-1-3"].Rates = []chestnutroad.TargetRate{{Target: 7, Limit: 6, Age: time.Second, Sent: 2}}
	cl.states["h-2-4"].Rates = nil
	cl.run(3 * time.Second)
	for id, sent := range map[chestnutroad.HostID]float64{"h-0-0": 26, "h-1-3": 26, "h-2-2": 26, "h-2-4": 28} {
		got := cl.peerRates(id)[7]
		if got.Sent != sent || got.Limit != 6 || got.Age > 2*time.Second {
			t.Errorf("%s sees %+v, want %g requests sent at a limit of 6", id, got, sent)
		}
	}
	// A host that has stopped counts no longer, and one that no relay tells anything knows nothing of the others.
	cl.dead["h-1-2"] = true
	cl.run(3 * time.Second)
	if got := cl.peerRates("h-0-1")[7]; got.Sent != 24 {
		t.Errorf("got %g requests sent after a host stopped, want 24", got.Sent)
	}
	for _, hs := range cl.hosts {
		cl.dead[hs.ID] = hs.DataCentre == "dc-0" && hs.ID != "h-0-1"
	}
	cl.run(600 * time.Millisecond)
	cl.dead["h-0-1"] = true
	cl.run(2 * time.Second)
	if _, known := cl.nodes["h-0-1"].PeerRates(cl.now); known {
		t.Error("the sums are used 2 s after the last message")
	}
}

// TestManyRates guards against messages that grow with the number of limited targets without a bound, and against targets that are
// never told because of the bound.
func TestManyRates(t *testing.T) {
	t.Parallel()
	cl := newCluster(2, 3)
	for _, hs := range cl.hosts {
		for hash := range chestnutroad.TargetHash(150) {
			cl.states[hs.ID].Rates = append(cl.states[hs.ID].Rates, chestnutroad.TargetRate{Target: hash, Limit: 2, Sent: 1})
		}
	}
	cl.run(3 * time.Second)
	for _, hs := range cl.hosts {
		rates := cl.peerRates(hs.ID)
		if len(rates) != 150 {
			t.Errorf("%s knows of %d targets, want 150", hs.ID, len(rates))
		}
		for _, send := range cl.nodes[hs.ID].Tick(cl.now, cl.states[hs.ID]) {
			if send.Message.Kind == relay.Beacon && len(send.Message.Rates) > 64 {
				t.Errorf("a beacon states %d targets, want at most 64", len(send.Message.Rates))
			}
		}
	}
}
