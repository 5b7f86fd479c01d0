package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// controlBytesLimit is the control traffic that the requirements allow each host.
const controlBytesLimit = 5000

// churn runs a period in which hosts stop, leave and are replaced, shards change owners and a configuration is
// published, and returns the mean and the highest control bytes a second of a host.
func churn(nw *network, centres int) (mean, highest float64) {
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

// Membership alone must fit the target at every fleet size, since a budget that drops probes makes false suspicions.
func TestControlBytesWithinLimit(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.hosts), func(t *testing.T) {
			t.Parallel()
			nw := newNetwork(t, 3, size.hosts, size.centres)
			nw.shareRecords()
			mean, highest := churn(nw, size.centres)
			t.Logf("%d hosts: %.0f bytes a second on average, %.0f at the busiest host", size.hosts, mean, highest)
			if highest > controlBytesLimit {
				t.Errorf("the busiest of %d hosts sends %.0f bytes a second", size.hosts, highest)
			}
		})
	}
}

// When the two sides of a partition find each other again, every host verifies hundreds of others. The budget must
// hold then too, and the views must still agree.
func TestControlBytesAfterPartitionHeals(t *testing.T) {
	t.Parallel()
	nw := newNetwork(t, 3, 100, 4)
	nw.enforceBudget()
	nw.shareRecords()
	nw.cut = func(from, to *node) bool { return (from.centre < "centre-2") != (to.centre < "centre-2") }
	const pairs = 2 * 50 * 50
	cutOff, ok := nw.runUntil(2*time.Minute, func() bool { return nw.falseDeadPairs() == pairs })
	if !ok {
		t.Fatalf("%d hosts are held dead, want the %d across the cut and no other", nw.falseDeadPairs(), pairs)
	}
	nw.cut = func(_, _ *node) bool { return false }
	for _, nd := range nw.nodes {
		nd.bytes = 0
	}
	took, ok := nw.runUntil(2*convergeBound, nw.converged)
	if !ok {
		t.Fatalf("%d false deaths after %v", nw.falseDeadPairs(), took)
	}
	for _, nd := range nw.nodes {
		if limit := controlBytesLimit*took.Seconds() + DefaultBudgetBurst; float64(nd.bytes) > limit {
			t.Errorf("%s sent %d bytes in %v", nd.Self().ID, nd.bytes, took)
		}
	}
	t.Logf("the other side is held dead %v after the cut, and alive %v after the partition healed", cutOff, took)
}

func BenchmarkControlBytes(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size.hosts), func(b *testing.B) {
			nw := newNetwork(b, 3, size.hosts, size.centres)
			nw.shareRecords()
			nw.messages = 0
			var mean float64
			for b.Loop() {
				mean, _ = churn(nw, size.centres)
			}
			b.ReportMetric(mean, "bytes/s/host")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(nw.messages), "µs/message")
		})
	}
}
