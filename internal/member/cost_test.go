package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// controlBytesLimit is the control traffic in bytes per second that the requirements allow each host.
const controlBytesLimit = 5000

// simulateChurn simulates 30 s in which hosts leave, stop and are replaced, shards change owners and a configuration is
// published. It returns the mean over the hosts, and the highest of a host, of the control bytes per second.
func simulateChurn(nw *network, centres int) (mean, highest float64) {
	const seconds = 30
	for _, nd := range nw.nodes {
		nd.bytes = 0
	}
	for second := range seconds {
		nd := nw.nodes[second%len(nw.nodes)]
		nd.ObserveEpoch(testShard, chestnutroad.Epoch{Millis: nw.now.UnixMilli(), Host: nd.Self().ID})
		switch second {
		case 3:
			nw.send(nw.nodes[5], nw.nodes[5].Leave(nw.now))
		case 5:
			nw.nodes[5].down = true
			nw.nodes[6].down = true
		case 8:
			nw.nodes[1].ObserveVersion(3, 100)
		case 12:
			nw.start(5, centres)
		}
		nw.run(time.Second)
	}
	var total uint64
	for _, nd := range nw.nodes {
		total += nd.bytes
		highest = max(highest, float64(nd.bytes)/seconds)
	}
	return float64(total) / seconds / float64(len(nw.nodes)), highest
}

var fleetSizes = []struct{ hosts, centres int }{{21, 3}, {100, 4}, {340, 7}}

// TestControlBytesWithinLimit guards against membership messages that exceed the limit of a host by themselves in a fleet
// of any size: the budget would then drop probes, and live hosts would be suspected.
func TestControlBytesWithinLimit(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			t.Parallel()
			nw := newNetwork(t, 3, size.hosts, size.centres)
			nw.shareRecords()
			mean, highest := simulateChurn(nw, size.centres)
			t.Logf("%d hosts: %.0f bytes per second on average, %.0f at the busiest host", size.hosts, mean, highest)
			if highest > controlBytesLimit {
				t.Errorf("the busiest of %d hosts sends %.0f bytes per second, the limit is %d", size.hosts, highest, controlBytesLimit)
			}
		})
	}
}

// TestControlBytesAfterPartitionHeals guards against hosts that exceed the limit, or whose views do not converge, after a
// large partition heals: each host then verifies all the hosts of the other side.
func TestControlBytesAfterPartitionHeals(t *testing.T) {
	t.Parallel()
	nw := newNetwork(t, 3, 100, 4)
	nw.enforceBudget()
	nw.shareRecords()
	nw.cut = func(from, to *node) bool { return (from.centre < "centre-2") != (to.centre < "centre-2") }
	const pairs = 2 * 50 * 50
	cutOff, ok := nw.runUntil(2*time.Minute, func() bool { return nw.falseDeadPairs() == pairs })
	if !ok {
		t.Fatalf("%d running hosts are considered dead, want the %d across the cut and no other", nw.falseDeadPairs(), pairs)
	}
	nw.cut = func(_, _ *node) bool { return false }
	for _, nd := range nw.nodes {
		nd.bytes = 0
	}
	elapsed, ok := nw.runUntil(2*convergeBound, nw.converged)
	if !ok {
		t.Fatalf("%d running hosts are still considered dead after %v", nw.falseDeadPairs(), elapsed)
	}
	for _, nd := range nw.nodes {
		if limit := controlBytesLimit*elapsed.Seconds() + DefaultBudgetBurst; float64(nd.bytes) > limit {
			t.Errorf("%s sent %d bytes in %v, the limit is %.0f", nd.Self().ID, nd.bytes, elapsed, limit)
		}
	}
	t.Logf("the other side is considered dead %v after the cut, and alive %v after the partition healed", cutOff, elapsed)
}

func BenchmarkControlBytes(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size.hosts), func(b *testing.B) {
			nw := newNetwork(b, 3, size.hosts, size.centres)
			nw.shareRecords()
			nw.messages = 0
			var mean float64
			for b.Loop() {
				mean, _ = simulateChurn(nw, size.centres)
			}
			b.ReportMetric(mean, "bytes/s/host")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(nw.messages), "µs/message")
		})
	}
}
