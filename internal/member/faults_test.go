package member

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// convergeBound is the time after the last fault within which the views of up to 21 hosts must agree.
	convergeBound = 30 * time.Second
	// falseDeadBound is how long any host may consider a running host dead that other hosts reach.
	falseDeadBound = 15 * time.Second
	// leaveBound is the time within which all hosts must see that a host or a target is leaving.
	leaveBound = 3 * time.Second
)

var testShard = chestnutroad.ShardID{Pool: chestnutroad.PoolID{Site: "poznan", Service: "orders"}, DataCentre: "centre-0"}

// faultCase is a fault and the option that disables the mechanism against it. run injects the fault and reports whether
// the members handled it. If they handle it without the mechanism, the case tests nothing.
type faultCase struct {
	name     string
	hosts    int
	baseline Option
	run      func(nw *network) bool
}

var faultCases = []faultCase{
	{"one-way loss raises no suspicion", 9, WithIndirectProbes(0), oneWayLoss},
	{"heavy loss leaves no running host dead", 9, WithoutRefutation(), heavyLoss},
	{"healed partition rejoins", 12, WithRejoinInterval(0), healedPartition},
	{"host declares nobody dead after its own pause", 9, WithoutPauseGuard(), resumeAfterPause},
	{"records missed during a partition arrive", 9, WithoutDigests(), missedRecords},
	{"leaving host is seen by all hosts in time", 340, WithoutUrgent(), leavingSpreads},
	{"leaving target is seen by all hosts in time", 100, WithoutUrgent(), targetLeavingSpreads},
	{"cut between two data centres is bridged by a third", 9, WithIndirectProbes(0), cutBetweenCentres},
}

// TestFaults guards against live hosts that are suspected or declared dead, and against records that arrive late or never,
// under the faults of faultCases.
func TestFaults(t *testing.T) {
	for _, tc := range faultCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if !tc.run(startNetwork(t, tc.hosts)) {
				t.Error("the members did not handle the fault")
			}
		})
		t.Run(tc.name+"/baseline", func(t *testing.T) {
			t.Parallel()
			if tc.run(startNetwork(t, tc.hosts, tc.baseline)) {
				t.Error("the members handled the fault without the mechanism, so the case tests nothing")
			}
		})
	}
}

// startNetwork returns a network in which all hosts have found each other.
func startNetwork(t testing.TB, hosts int, opts ...Option) *network {
	nw := newNetwork(t, 7, hosts, 3, opts...)
	if hosts >= 100 {
		nw.shareRecords()
		nw.run(2 * time.Second)
		return nw
	}
	if _, ok := nw.runUntil(time.Minute, nw.converged); !ok {
		t.Fatal("the hosts did not find each other within a minute")
	}
	return nw
}

// never runs the network for the period and reports whether the condition was false all the time.
func (nw *network) never(period time.Duration, condition func() bool) bool {
	_, met := nw.runUntil(period, condition)
	return !met
}

func oneWayLoss(nw *network) bool {
	a, b := nw.nodes[0], nw.nodes[3]
	nw.cut = func(from, to *node) bool { return from == a && to == b }
	return nw.never(2*time.Minute, func() bool { return nw.state(a, b) != Alive })
}

func cutBetweenCentres(nw *network) bool {
	nw.cut = func(from, to *node) bool {
		return from.centre != to.centre && from.centre != "centre-2" && to.centre != "centre-2"
	}
	a, b := nw.nodes[0], nw.nodes[1]
	return nw.never(2*time.Minute, func() bool { return nw.state(a, b) != Alive || nw.state(b, a) != Alive })
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

// resumeAfterPause pauses a host while it suspects another one, which refutes the suspicion during the pause. The messages
// that arrive during the pause are lost.
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
	noneDead := nw.never(10*time.Second, func() bool {
		return !nw.allRunning(func(nd *node) bool { return nw.state(paused, nd) != Dead })
	})
	_, ok := nw.runUntil(convergeBound, nw.converged)
	return noneDead && ok
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
	_, ok := nw.runUntil(leaveBound, func() bool {
		return nw.allRunning(func(nd *node) bool { return nw.state(nd, leaving) == Leaving })
	})
	return ok
}

func targetLeavingSpreads(nw *network) bool {
	list := []chestnutroad.ListedHost{{Name: "engine-1", Role: chestnutroad.RoleTarget, Leaving: true}}
	nw.nodes[7].SetHostList(nw.now, list)
	_, ok := nw.runUntil(leaveBound, func() bool {
		return nw.allRunning(func(nd *node) bool { return nd.MachineLeaving("engine-1") })
	})
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

// TestReplacedHostWins guards against a replacement under the same id that others still consider leaving or dead, because
// they hold records of its predecessor. The replacement has the higher incarnation.
func TestReplacedHostWins(t *testing.T) {
	nw := startNetwork(t, 9)
	nw.send(nw.nodes[4], nw.nodes[4].Leave(nw.now))
	nw.run(5 * time.Second)
	nw.nodes[4].down = true
	nw.run(time.Second)
	replaced := nw.start(4, 3)
	elapsed, ok := nw.runUntil(convergeBound, func() bool {
		return nw.allRunning(func(nd *node) bool { return nw.state(nd, replaced) == Alive })
	})
	if !ok {
		t.Fatal("not all hosts consider the replacement alive")
	}
	t.Logf("alive for all hosts after %v", elapsed)
}

// TestStoppedHostIsDeclaredDead guards against a stopped host that is not declared dead by all hosts in time, so that its
// shards stay without an owner.
func TestStoppedHostIsDeclaredDead(t *testing.T) {
	for _, hosts := range []int{9, 21} {
		nw := startNetwork(t, hosts)
		nw.nodes[hosts/2].down = true
		elapsed, ok := nw.runUntil(convergeBound, nw.converged)
		if !ok {
			t.Errorf("%d hosts: the views do not agree", hosts)
		}
		t.Logf("%d hosts: declared dead by all after %v", hosts, elapsed)
	}
}
