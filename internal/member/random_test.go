package member

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
)

// TestMain fixes rapid's seed unless the command line names one, so that runs repeat.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Whatever faults come in whatever order, all views agree within the bound after the last one.
func TestViewsAgreeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nw := newNetwork(t, rapid.Uint64().Draw(rt, "Seed"), rapid.IntRange(4, 10).Draw(rt, "Hosts"), 3)
		for range rapid.IntRange(1, 8).Draw(rt, "Faults") {
			randomFault(rt, nw)
			nw.run(time.Duration(rapid.IntRange(0, 15_000).Draw(rt, "Millis")) * time.Millisecond)
		}
		endFaults(nw)
		nw.run(convergeBound)
		if !nw.never(20*time.Second, func() bool { return !nw.agreed() }) {
			rt.Fatalf("the views do not agree: %d false deaths", nw.falseDeaths())
		}
	})
}

func randomFault(rt *rapid.T, nw *network) {
	index := rapid.IntRange(0, len(nw.nodes)-1).Draw(rt, "Host")
	nd := nw.nodes[index]
	other := nw.nodes[rapid.IntRange(0, len(nw.nodes)-1).Draw(rt, "Other")]
	switch rapid.IntRange(0, 8).Draw(rt, "Fault") {
	case 0:
		nw.loss = 0.3
	case 1:
		nw.cut = func(from, to *node) bool { return from == nd && to == other }
	case 2:
		nw.cut = func(from, to *node) bool { return (from.centre == nd.centre) != (to.centre == nd.centre) }
	case 3:
		nd.paused = true
	case 4:
		nw.wake(nd)
	case 5:
		nd.down = true
	case 6:
		nw.now = nw.now.Add(time.Millisecond)
		nw.start(index, 3)
	case 7:
		nd.ObserveEpoch(testShard, chestnutroad.Epoch{Millis: nw.now.UnixMilli(), Host: nd.Self().ID})
		nd.AnnounceLeaving(nw.now, "engine-1", index%2 == 0)
	default:
		nw.loss = 0
		nw.cut = func(_, _ *node) bool { return false }
	}
}

func endFaults(nw *network) {
	nw.loss = 0
	nw.cut = func(_, _ *node) bool { return false }
	for _, nd := range nw.nodes {
		nw.wake(nd)
	}
	// The seeds come back, as the host list would name live hosts to one that knows none.
	for index := range 3 {
		if nw.nodes[index].down {
			nw.start(index, 3)
		}
	}
}
