package order

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for _, setting := range [][2]string{{"rapid.seed", "20261204"}, {"rapid.checks", "100"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(setting[0], setting[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// keyCount is the number of keys in a simulation. The orders of the last one have a target that deduplicates.
const keyCount = 3

// testWaits are the times from an order's arrival to its deadline.
var testWaits = []time.Duration{50 * time.Millisecond, 5 * time.Second, 50 * time.Second}

// testJumps are the steps by which the clock advances.
var testJumps = []time.Duration{
	time.Millisecond, 30 * time.Millisecond, time.Second, 4 * time.Second, 40 * time.Second, 12 * time.Minute,
}

func (cl *cluster) order(number int, wait time.Duration) Order {
	order := Order{Key: chestnutroad.IdempotencyKey(fmt.Sprintf("key-%d", number)), Digest: "digest"}
	order.Deadline = cl.now.Add(wait)
	order.Repeat = chestnutroad.RepeatNever
	if number == keyCount-1 {
		order.Repeat = chestnutroad.RepeatTargetDeduplicates
	}
	return order
}

// step performs one random step of a host, the log, the clock or the network.
func (cl *cluster) step() {
	index := cl.draw(len(cl.hosts))
	host := cl.hosts[index]
	switch cl.draw(24) {
	case 0, 1, 2:
		cl.submit(host, cl.order(cl.draw(keyCount), testWaits[cl.draw(len(testWaits))]))
	case 3, 4, 5, 6:
		cl.read(host, 1+cl.draw(4))
	case 7, 8, 9:
		cl.endAppend(host, cl.draw(9))
	case 10, 11:
		cl.endRun(host, cl.draw(4))
	case 12, 13:
		cl.advance(testJumps[min(cl.draw(len(testJumps)), cl.draw(len(testJumps)))])
	case 14:
		cl.applyDelayed()
	case 15:
		cl.delayRead(host)
	case 16:
		cl.snapshot(host)
	case 17:
		cl.fail(index)
	case 18:
		cl.transfer(host, cl.hosts[cl.draw(len(cl.hosts))])
	case 19:
		cl.tick(host)
	case 20:
		host.partitioned = false
		cl.log.down = false
	default:
		cl.work(host)
	}
}

func (cl *cluster) tick(host *testHost) {
	cl.handle(host, host.machine.Tick(cl.now))
	if wake, ok := host.machine.NextTick(); ok && !wake.After(cl.now) {
		cl.violationf("next tick: %v needs another tick at the time of its last one", host.machine.self)
	}
}

// work performs the steps that a host repeats in operation without faults.
func (cl *cluster) work(host *testHost) {
	cl.advance(30 * time.Millisecond)
	cl.read(host, 1000)
	cl.endAppend(host, appendResults["ok"])
	cl.endRun(host, runResults["done"])
	cl.tick(host)
}

func (cl *cluster) advance(jump time.Duration) {
	cl.now = cl.now.Add(jump)
	for cl.log.oldest < len(cl.log.records) && cl.now.Sub(cl.log.records[cl.log.oldest].Appended) > testRetention {
		cl.log.oldest++
	}
}

// applyDelayed appends a random one of the delayed appends. An append of a replaced host takes effect within the repeat
// window or never: readers may have removed the claim's key by then, and no host would release the claim.
func (cl *cluster) applyDelayed() {
	if len(cl.log.delayed) == 0 || cl.log.down {
		return
	}
	index := cl.draw(len(cl.log.delayed))
	delayed := cl.log.delayed[index]
	cl.log.delayed = slices.Delete(cl.log.delayed, index, index+1)
	if slices.Contains(cl.hosts, delayed.host) || cl.now.Sub(delayed.at) < testRepeatWindow {
		cl.appendRecord(delayed.data)
	}
}

// delayRead reads a batch for later delivery, or delivers one that was read before.
func (cl *cluster) delayRead(host *testHost) {
	if len(host.delayed) > 0 && cl.draw(2) == 0 {
		index := cl.draw(len(host.delayed))
		cl.handle(host, host.machine.ReadBatch(cl.now, host.delayed[index]))
		host.delayed = slices.Delete(host.delayed, index, index+1)
	} else if !host.partitioned && !cl.log.down {
		host.delayed = append(host.delayed, cl.log.read(host.machine.NextOffset(), 1+cl.draw(4)))
	}
}

// snapshot appends the parts of a snapshot of the host's state, each at once or delayed.
func (cl *cluster) snapshot(host *testHost) {
	for _, data := range host.machine.Snapshot(cl.now) {
		if cl.draw(2) == 0 {
			cl.delayAppend(host, cl.now, data)
		} else if !host.partitioned && !cl.log.down {
			cl.appendRecord(data)
		}
	}
}

func (cl *cluster) fail(index int) {
	host := cl.hosts[index]
	other := cl.hosts[cl.draw(len(cl.hosts))].machine.self
	switch cl.draw(9) {
	case 0:
		cl.replace(index, cl.draw(2))
	case 1, 2:
		host.partitioned = true
	case 3:
		cl.log.down = true
	case 4, 5:
		cl.handle(host, host.machine.HostDead(cl.now, other.Host, other.Incarnation))
	case 6:
		cl.handle(host, host.machine.HostAlive(cl.now, other.Host, other.Incarnation))
	default:
		cl.cancelFirst(host)
	}
}

func (cl *cluster) cancelFirst(host *testHost) {
	for number, req := range cl.requests {
		if req.host == host && req.answer == nil {
			cl.handle(host, host.machine.Cancel(cl.now, chestnutroad.RequestID(fmt.Sprint(number))))
			req.withdraw()
			return
		}
	}
}

func (cl *cluster) transfer(from, to *testHost) {
	if state, found := from.machine.Export(); found {
		cl.handle(to, to.machine.Import(cl.now, state))
	}
}

// settle ends the network partitions and lets all hosts work for the given number of rounds.
func (cl *cluster) settle(rounds int) {
	for range rounds {
		for _, host := range cl.hosts {
			host.partitioned = false
			cl.work(host)
		}
	}
}

// checkFinal repeats each order through each host with a working log. An order that never ran must run, and one with a
// stored answer must be answered with it.
func (cl *cluster) checkFinal() {
	cl.log.down = false
	for len(cl.log.delayed) > 0 {
		cl.applyDelayed()
	}
	cl.settle(1000)
	for number, req := range cl.requests {
		if req.answer == nil {
			cl.violationf("no answer: request %d got none", number)
		}
	}
	for number := range keyCount {
		for _, host := range cl.hosts {
			cl.checkRepeat(host, cl.order(number, 30*time.Second))
		}
	}
}

func (cl *cluster) checkRepeat(host *testHost, order Order) {
	key := Key{Team: "team", Key: order.Key}
	if !host.machine.Ready() || cl.unreleased[key] {
		return
	}
	before := len(cl.runs[key])
	req := cl.submit(host, order)
	cl.settle(25)
	reply, replied := req.answer.(Reply)
	if before == 0 && !replied {
		cl.violationf("lost: key %v never ran, but its order got %+v instead of a reply", key, req.answer)
	}
	if before == 0 || req.dedup {
		return
	}
	last := cl.runs[key][before-1]
	if last.done && len(cl.runs[key]) == before && (!replied || string(reply.Outcome.Body) != last.body) {
		cl.violationf("outcome: key %v got %+v instead of %q", key, req.answer, last.body)
	}
}

// simulate runs a cluster with random faults until an invariant is violated or all steps are done.
func simulate(draw func(int) int, disabled safeguards, steps int) *cluster {
	cl := newCluster(draw, 2+draw(4), disabled)
	for range steps {
		cl.step()
		if len(cl.violations) > 0 {
			return cl
		}
	}
	cl.checkFinal()
	return cl
}

// TestSimulation guards against an order that runs twice, a false "not run", an answer other than the first outcome, and
// readers that derive different states from the log, under random faults of the hosts, the log and the network.
func TestSimulation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(count int) int { return rapid.IntRange(0, count-1).Draw(rt, "draw") }
		if cl := simulate(draw, safeguards{}, 250); len(cl.violations) > 0 {
			rt.Fatal(cl.report())
		}
	})
}

// TestSimulationSeeds guards against the same failures in longer simulations, which rapid would be slow to shrink.
func TestSimulationSeeds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		if cl := simulate(rand.New(rand.NewPCG(seed, 1)).IntN, safeguards{}, 1000); len(cl.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, cl.report())
		}
	}
}

// TestSimulationWithoutSafeguard guards against a simulation that doesn't detect a missing safeguard.
func TestSimulationWithoutSafeguard(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		disabled  safeguards
		violation string
	}{
		{"run before the claim is read back", safeguards{readBack: true}, "duplicate run"},
		{"lease instead of claim", safeguards{lease: testLease}, "duplicate run"},
		{"snapshot that is followed by a gap", safeguards{gapCheck: true}, "state"},
		{"no release of refused orders", safeguards{release: true}, "lost"},
		{"run of refused orders", safeguards{abandon: true}, "refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2000) {
				for _, violation := range simulate(rand.New(rand.NewPCG(seed, 1)).IntN, tt.disabled, 600).violations {
					if strings.HasPrefix(violation, tt.violation) {
						t.Logf("seed %d: %.200s", seed, violation)
						return
					}
				}
			}
			t.Fatalf("no violation %q found", tt.violation)
		})
	}
}
