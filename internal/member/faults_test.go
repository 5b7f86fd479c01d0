package member

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// convergeBound is the time after the last fault in which all views of up to 21 hosts must agree.
	convergeBound = 30 * time.Second
	// falseDeadBound is how long a running host that others reach may be held dead by anybody.
	falseDeadBound = 15 * time.Second
	leaveBound     = 3 * time.Second
)

var testShard = chestnutroad.ShardID{Pool: chestnutroad.PoolID{Site: "poznan", Service: "orders"}, DataCentre: "centre-0"}

// faultCase runs a fault and reports whether the members coped. The mechanism that copes can be turned off by an
// option; the case must then fail, which shows that it depends on the mechanism.
type faultCase struct {
	name     string
	hosts    int
	baseline Option
	run      func(nw *network) bool
}

var faultCases = []faultCase{
	{"one-way loss raises no suspicion", 9, WithIndirectProbes(0), oneWayLoss},
	{"heavy loss kills nobody", 9, WithoutRefutation(), heavyLoss},
	{"healed partition rejoins", 12, WithRejoinInterval(0), healedPartition},
	{"host that wakes from a pause declares nobody dead", 9, WithoutPauseGuard(), resumeAfterPause},
	{"facts missed during a partition arrive", 9, WithoutDigests(), missedRecords},
	{"leaving is known everywhere in time", 340, WithoutUrgent(), leavingSpreads},
	{"target's leaving is known everywhere in time", 100, WithoutUrgent(), targetLeavingSpreads},
	{"third data centre hides a cut between two others", 9, WithIndirectProbes(0), cutBetweenCentres},
}

func TestFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if !tc.run(startNetwork(t, tc.hosts)) {
				t.Error("the members did not cope")
			}
		})
		t.Run(tc.name+"/baseline", func(t *testing.T) {
			t.Parallel()
			if tc.run(startNetwork(t, tc.hosts, tc.baseline)) {
				t.Error("the members coped without the mechanism, so the case proves nothing")
			}
		})
	}
}

func startNetwork(t testing.TB, hosts int, opts ...Option) *network {
	nw := newNetwork(t, 7, hosts, 3, opts...)
	if hosts >= 100 {
		nw.shareRecords()
		nw.run(2 * time.Second)
		return nw
	}
	if _, ok := nw.runUntil(time.Minute, nw.converged); !ok {
		t.Fatal("the hosts did not find each other")
	}
	return nw
}

// never runs for the period and reports whether the condition never held.
func (nw *network) never(period time.Duration, condition func() bool) bool {
	_, held := nw.runUntil(period, condition)
	return !held
}

func oneWayLoss(nw *network) bool {
	one, other := nw.nodes[0], nw.nodes[3]
	nw.cut = func(from, to *node) bool { return from == one && to == other }
	return nw.never(2*time.Minute, func() bool { return nw.state(one, other) != Alive })
}

func cutBetweenCentres(nw *network) bool {
	nw.cut = func(from, to *node) bool {
		return from.centre != to.centre && from.centre != "centre-2" && to.centre != "centre-2"
	}
	one, other := nw.nodes[0], nw.nodes[1]
	return nw.never(2*time.Minute, func() bool { return nw.state(one, other) != Alive || nw.state(other, one) != Alive })
}

func heavyLoss(nw *network) bool {
	nw.loss = 0.25
	var since time.Time
	return nw.never(5*time.Minute, func() bool {
		if nw.falseDeadPairs() == 0 {
			since = nw.now
		}
		return nw.now.Sub(since) > falseDeadBound
	})
}

func healedPartition(nw *network) bool {
	nw.cut = func(from, to *node) bool { return (from.centre == "centre-0") != (to.centre == "centre-0") }
	nw.run(time.Minute)
	if nw.falseDeadPairs() == 0 {
		nw.tb.Fatal("the partition had no effect")
	}
	nw.cut = func(_, _ *node) bool { return false }
	_, ok := nw.runUntil(convergeBound, nw.converged)
	return ok
}

// resumeAfterPause pauses a host while it suspects another one, which has long refuted when the host wakes. What arrived
// during the pause is lost.
func resumeAfterPause(nw *network) bool {
	paused, silent := nw.nodes[4], nw.nodes[1]
	nw.cut = func(from, to *node) bool { return from == silent || to == silent }
	if _, ok := nw.runUntil(time.Minute, func() bool { return nw.state(paused, silent) == Suspect }); !ok {
		nw.tb.Fatal("the host was not suspected")
	}
	paused.paused = true
	nw.cut = func(_, _ *node) bool { return false }
	nw.run(20 * time.Second)
	paused.backlog = nil
	nw.unpause(paused)
	coped := nw.never(10*time.Second, func() bool {
		return !nw.allRunning(func(nd *node) bool { return nw.state(paused, nd) != Dead })
	})
	_, agreed := nw.runUntil(convergeBound, nw.converged)
	return coped && agreed
}

func missedRecords(nw *network) bool {
	nw.cut = func(from, to *node) bool { return from == nw.nodes[5] || to == nw.nodes[5] }
	nw.nodes[0].ObserveEpoch(testShard, chestnutroad.Epoch{Millis: 5, Host: "host-000"})
	nw.nodes[0].ObserveVersion(9, 400)
	nw.nodes[0].AnnounceLeaving(nw.now, "engine-1", true)
	nw.run(time.Minute)
	nw.cut = func(_, _ *node) bool { return false }
	_, ok := nw.runUntil(convergeBound, nw.converged)
	return ok && nw.nodes[5].MachineLeaving("engine-1")
}

func leavingSpreads(nw *network) bool {
	leaving := nw.nodes[7]
	nw.send(leaving, leaving.Leave(nw.now))
	_, ok := nw.runUntil(leaveBound, func() bool { return nw.allRunning(func(nd *node) bool { return nw.state(nd, leaving) == Leaving }) })
	return ok
}

func targetLeavingSpreads(nw *network) bool {
	list := []chestnutroad.ListedHost{{Name: "engine-1", Role: chestnutroad.RoleTarget, Leaving: true}}
	nw.nodes[7].SetHostList(nw.now, list)
	_, ok := nw.runUntil(leaveBound, func() bool { return nw.allRunning(func(nd *node) bool { return nd.MachineLeaving("engine-1") }) })
	return ok
}

func (nw *network) allRunning(condition func(nd *node) bool) bool {
	for _, nd := range nw.nodes {
		if !nd.down && !condition(nd) {
			return false
		}
	}
	return true
}

// A host that is replaced under the same id must win over its former life, be that leaving or held dead.
func TestReplacedHostWins(t *testing.T) {
	nw := startNetwork(t, 9)
	nw.send(nw.nodes[4], nw.nodes[4].Leave(nw.now))
	nw.run(5 * time.Second)
	nw.nodes[4].down = true
	nw.run(time.Second)
	replaced := nw.start(4, 3)
	took, ok := nw.runUntil(convergeBound, func() bool {
		return nw.allRunning(func(nd *node) bool { return nw.state(nd, replaced) == Alive })
	})
	if !ok {
		t.Fatal("the new life did not win")
	}
	t.Logf("known everywhere after %v", took)
}

// A stopped host must be held dead everywhere in time, so that its shards find a new owner.
func TestStoppedHostIsDeclaredDead(t *testing.T) {
	for _, hosts := range []int{9, 21} {
		nw := startNetwork(t, hosts)
		nw.nodes[hosts/2].down = true
		took, ok := nw.runUntil(convergeBound, nw.converged)
		if !ok {
			t.Errorf("%d hosts: the views do not agree", hosts)
		}
		t.Logf("%d hosts: held dead everywhere after %v", hosts, took)
	}
}
