package member

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
)

// TestMain sets a fixed seed for rapid unless the command line sets one, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestViewsAgreeAfterRandomFaults guards against views that do not agree within convergeBound after the last of a random
// sequence of faults.
func TestViewsAgreeAfterRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		nw := newNetwork(t, rapid.Uint64().Draw(rt, "Seed"), rapid.IntRange(4, 10).Draw(rt, "Hosts"), 3)
		for range rapid.IntRange(1, 8).Draw(rt, "Faults") {
			randomFault(rt, nw)
			nw.run(time.Duration(rapid.IntRange(0, 15_000).Draw(rt, "Millis")) * time.Millisecond)
		}
		endFaults(nw)
		nw.run(convergeBound)
		if !nw.never(20*time.Second, func() bool { return !nw.converged() }) {
			rt.Fatalf("the views do not agree: running hosts considered dead: %d", nw.falseDeadPairs())
		}
	})
}

func randomFault(rt *rapid.T, nw *network) {
	index := rapid.IntRange(0, len(nw.nodes)-1).Draw(rt, "Host")
	nd := nw.nodes[index]
	other := nw.nodes[rapid.IntRange(0, len(nw.nodes)-1).Draw(rt, "Other")]
	switch rapid.IntRange(0, 9).Draw(rt, "Fault") {
	case 9:
		nw.delay = 800 * time.Millisecond
	case 0:
		nw.loss = 0.3
	case 1:
		nw.cut = func(from, to *node) bool { return from == nd && to == other }
	case 2:
		nw.cut = func(from, to *node) bool { return (from.centre == nd.centre) != (to.centre == nd.centre) }
	case 3:
		nd.paused = true
	case 4:
		nw.unpause(nd)
	case 5:
		nd.down = true
	case 6:
		nw.now = nw.now.Add(time.Millisecond)
		nw.start(index, 3)
	case 7:
		nd.ObserveEpoch(testShard, chestnutroad.Epoch{Millis: nw.now.UnixMilli(), Host: nd.Self().ID})
		nd.AnnounceLeaving(nw.now, "engine-1", index%2 == 0)
	default:
		nw.loss, nw.delay = 0, 0
		nw.cut = func(_, _ *node) bool { return false }
	}
}

func endFaults(nw *network) {
	nw.loss, nw.delay = 0, 0
	nw.cut = func(_, _ *node) bool { return false }
	for _, nd := range nw.nodes {
		nw.unpause(nd)
	}
	// Restart stopped seeds, since there is no host list from which a host without live seeds finds others.
	for index := range 3 {
		if nw.nodes[index].down {
			nw.start(index, 3)
		}
	}
}

// ownershipSimulation is a set of hosts that decide on one shard, with differing views and epochs that arrive late or never.
type ownershipSimulation struct {
	hosts []*Ownership
	// offline is true for hosts that exchange no epochs with the others. Each side considers the other dead.
	offline []bool
	now     time.Time
}

func (sm *ownershipSimulation) views(of int) []HostView {
	states := make([]State, len(sm.hosts))
	for index := range states {
		if index != of && (sm.offline[index] || sm.offline[of]) {
			states[index] = Dead
		}
	}
	return views(states...)
}

// decide lets a host decide and exchanges epochs between it and the others, as membership and answers do.
func (sm *ownershipSimulation) decide(index int) []Decision {
	decisions := sm.hosts[index].Decide(sm.now, []chestnutroad.ShardID{testShard}, sm.views(index))
	for other, host := range sm.hosts {
		if !sm.offline[index] && !sm.offline[other] {
			host.Observe(testShard, sm.hosts[index].Epoch(testShard))
			sm.hosts[index].Observe(testShard, host.Epoch(testShard))
		}
	}
	return decisions
}

func (sm *ownershipSimulation) owners() []int {
	var owners []int
	for index, host := range sm.hosts {
		if !sm.offline[index] && host.Owns(testShard) {
			owners = append(owners, index)
		}
	}
	return owners
}

// TestOneOwnerAmongReachableHosts guards against two owners of a shard among hosts that reach each other, against a
// takeover without a higher epoch, and against a shard that has no owner when all hosts reach each other again.
func TestOneOwnerAmongReachableHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sm := &ownershipSimulation{now: time.UnixMilli(1_800_000_000_000), offline: make([]bool, 5)}
		for index := range sm.offline {
			sm.hosts = append(sm.hosts, NewOwnership(chestnutroad.HostID("host-"+string(rune('0'+index)))))
		}
		for range rapid.IntRange(1, 60).Draw(rt, "Steps") {
			sm.now = sm.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "Millis")) * time.Millisecond)
			index := rapid.IntRange(0, len(sm.hosts)-1).Draw(rt, "Host")
			if rapid.IntRange(0, 3).Draw(rt, "Toggle") == 0 {
				sm.offline[index] = !sm.offline[index]
			}
			highest := sm.hosts[index].Epoch(testShard)
			for _, decision := range sm.decide(index) {
				if decision.Type == TakeOver && decision.Epoch.Compare(highest) <= 0 {
					rt.Fatalf("took over at %+v, not above %+v", decision.Epoch, highest)
				}
			}
			if owners := sm.owners(); len(owners) > 1 && !sm.epochsDiffer(owners) {
				rt.Fatalf("hosts %v all own the shard", owners)
			}
		}
		clear(sm.offline)
		for range 4 {
			sm.now = sm.now.Add(takeoverDelay)
			for index := range sm.hosts {
				sm.decide(index)
			}
		}
		if owners := sm.owners(); len(owners) != 1 {
			rt.Fatalf("hosts %v own the shard in the end, want one", owners)
		}
	})
}

// epochsDiffer reports whether the owners have observed different highest epochs: one of them was offline and has not
// exchanged epochs since.
func (sm *ownershipSimulation) epochsDiffer(owners []int) bool {
	for _, owner := range owners {
		if sm.hosts[owner].Epoch(testShard) != sm.hosts[owners[0]].Epoch(testShard) {
			return true
		}
	}
	return false
}
