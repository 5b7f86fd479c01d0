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

// keyCount is the number of keys in a simulation; the last one belongs to a service whose target deduplicates.
const keyCount = 3

var testWaits = []time.Duration{50 * time.Millisecond, 5 * time.Second, 50 * time.Second}

var testJumps = []time.Duration{
	time.Millisecond, 30 * time.Millisecond, time.Second, 4 * time.Second, 40 * time.Second, 12 * time.Minute,
}

func (wd *cluster) order(number int, wait time.Duration) Order {
	order := Order{Key: chestnutroad.IdempotencyKey(fmt.Sprintf("key-%d", number)), Digest: "digest"}
	order.Deadline = wd.now.Add(wait)
	order.Repeat = chestnutroad.RepeatNever
	if number == keyCount-1 {
		order.Repeat = chestnutroad.RepeatTargetDeduplicates
	}
	return order
}

// step takes one random step of one host, or of the log, the clock or the network.
func (wd *cluster) step() {
	index := wd.draw(len(wd.hosts))
	host := wd.hosts[index]
	switch wd.draw(24) {
	case 0, 1, 2:
		wd.submit(host, wd.order(wd.draw(keyCount), testWaits[wd.draw(len(testWaits))]))
	case 3, 4, 5, 6:
		wd.read(host, 1+wd.draw(4))
	case 7, 8, 9:
		wd.endAppend(host, wd.draw(9))
	case 10, 11:
		wd.endRun(host, wd.draw(4))
	case 12, 13:
		wd.advance(testJumps[min(wd.draw(len(testJumps)), wd.draw(len(testJumps)))])
	case 14:
		wd.applyDelayed()
	case 15:
		wd.delayRead(host)
	case 16:
		wd.snapshot(host)
	case 17:
		wd.fail(index)
	case 18:
		wd.transfer(host, wd.hosts[wd.draw(len(wd.hosts))])
	case 19:
		wd.tick(host)
	case 20:
		host.partitioned = false
		wd.log.down = false
	default:
		wd.work(host)
	}
}

func (wd *cluster) tick(host *testHost) {
	wd.handle(host, host.machine.Tick(wd.now))
	if wake, ok := host.machine.NextTick(); ok && !wake.After(wd.now) {
		wd.violationf("wake: %v wants a tick at once after a tick", host.machine.self)
	}
}

// work lets a host do what it does while nothing fails.
func (wd *cluster) work(host *testHost) {
	wd.advance(30 * time.Millisecond)
	wd.read(host, 1000)
	wd.endAppend(host, appendResults["ok"])
	wd.endRun(host, runResults["done"])
	wd.tick(host)
}

func (wd *cluster) advance(jump time.Duration) {
	wd.now = wd.now.Add(jump)
	for wd.log.oldest < len(wd.log.records) && wd.now.Sub(wd.log.records[wd.log.oldest].Appended) > testRetention {
		wd.log.oldest++
	}
}

// applyDelayed lets a delayed append take effect, in any order. An append of a dead host takes effect within the repeat
// window or never, since nobody is left to release a claim that readers have no memory of.
func (wd *cluster) applyDelayed() {
	if len(wd.log.delayed) == 0 || wd.log.down {
		return
	}
	index := wd.draw(len(wd.log.delayed))
	late := wd.log.delayed[index]
	wd.log.delayed = slices.Delete(wd.log.delayed, index, index+1)
	if slices.Contains(wd.hosts, late.host) || wd.now.Sub(late.at) < testRepeatWindow {
		wd.appendRecord(late.data)
	}
}

// delayRead keeps a batch back or delivers one that was kept back.
func (wd *cluster) delayRead(host *testHost) {
	if len(host.delayed) > 0 && wd.draw(2) == 0 {
		index := wd.draw(len(host.delayed))
		wd.handle(host, host.machine.ReadBatch(wd.now, host.delayed[index]))
		host.delayed = slices.Delete(host.delayed, index, index+1)
	} else if !host.partitioned && !wd.log.down {
		host.delayed = append(host.delayed, wd.log.read(host.machine.NextOffset(), 1+wd.draw(4)))
	}
}

// snapshot writes the host's state to the log, at once or late.
func (wd *cluster) snapshot(host *testHost) {
	for _, data := range host.machine.Snapshot(wd.now) {
		if wd.draw(2) == 0 {
			wd.delayAppend(host, wd.now, data)
		} else if !host.partitioned && !wd.log.down {
			wd.appendRecord(data)
		}
	}
}

func (wd *cluster) fail(index int) {
	host := wd.hosts[index]
	other := wd.hosts[wd.draw(len(wd.hosts))].machine.self
	switch wd.draw(9) {
	case 0:
		wd.replace(index, wd.draw(2))
	case 1, 2:
		host.partitioned = true
	case 3:
		wd.log.down = true
	case 4, 5:
		wd.handle(host, host.machine.HostDead(wd.now, other.Host, other.Incarnation))
	case 6:
		wd.handle(host, host.machine.HostAlive(wd.now, other.Host, other.Incarnation))
	default:
		wd.cancelFirst(host)
	}
}

func (wd *cluster) cancelFirst(host *testHost) {
	for number, try := range wd.requests {
		if try.host == host && try.answer == nil {
			wd.handle(host, host.machine.Cancel(wd.now, chestnutroad.RequestID(fmt.Sprint(number))))
			try.withdraw()
			return
		}
	}
}

func (wd *cluster) transfer(from, to *testHost) {
	if state, found := from.machine.Export(); found {
		wd.handle(to, to.machine.Import(wd.now, state))
	}
}

// settle ends the cuts and lets all hosts work.
func (wd *cluster) settle(rounds int) {
	for range rounds {
		for _, host := range wd.hosts {
			host.partitioned = false
			wd.work(host)
		}
	}
}

// checkFinal repeats each order through each host with a working log. An order that no one ran must run, and one with
// a known answer must get it.
func (wd *cluster) checkFinal() {
	wd.log.down = false
	for len(wd.log.delayed) > 0 {
		wd.applyDelayed()
	}
	wd.settle(1000)
	for number, try := range wd.requests {
		if try.answer == nil {
			wd.violationf("silent: request %d got no answer", number)
		}
	}
	for number := range keyCount {
		for _, host := range wd.hosts {
			wd.checkRepeat(host, wd.order(number, 30*time.Second))
		}
	}
}

func (wd *cluster) checkRepeat(host *testHost, order Order) {
	key := Key{Team: "team", Key: order.Key}
	if !host.machine.Ready() || wd.unreleased[key] {
		return
	}
	before := len(wd.runs[key])
	try := wd.submit(host, order)
	wd.settle(25)
	reply, replied := try.answer.(Reply)
	if before == 0 && !replied {
		wd.violationf("lost: key %v never ran and gets %+v", key, try.answer)
	}
	if before == 0 || try.dedup {
		return
	}
	last := wd.runs[key][before-1]
	if last.done && len(wd.runs[key]) == before && (!replied || string(reply.Outcome.Body) != last.body) {
		wd.violationf("outcome: key %v gets %+v instead of %q", key, try.answer, last.body)
	}
}

// simulate runs the machines through random faults until an invariant is broken or the steps are done.
func simulate(draw func(int) int, off safeguards, steps int) *cluster {
	wd := newCluster(draw, 2+draw(4), off)
	for range steps {
		wd.step()
		if len(wd.violations) > 0 {
			return wd
		}
	}
	wd.checkFinal()
	return wd
}

// TestSimulation guards at most once, the truth of "not run", the first outcome and the agreement of all readers.
func TestSimulation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(count int) int { return rapid.IntRange(0, count-1).Draw(rt, "draw") }
		if wd := simulate(draw, safeguards{}, 250); len(wd.violations) > 0 {
			rt.Fatal(wd.report())
		}
	})
}

// TestSimulationSeeds runs longer simulations, which rapid's shrinking would slow down.
func TestSimulationSeeds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		if wd := simulate(rand.New(rand.NewPCG(seed, 1)).IntN, safeguards{}, 1000); len(wd.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, wd.report())
		}
	}
}

// TestSimulationWithoutSafeguard shows that the simulation notices when a mechanism is missing.
func TestSimulationWithoutSafeguard(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		off    safeguards
		breach string
	}{
		{"run before the claim is read back", safeguards{readBack: true}, "twice"},
		{"lease instead of claim", safeguards{lease: testLease}, "twice"},
		{"snapshot with a gap behind it", safeguards{gapCheck: true}, "state"},
		{"no release of refused orders", safeguards{release: true}, "lost"},
		{"run of refused orders", safeguards{abandon: true}, "refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2000) {
				for _, breach := range simulate(rand.New(rand.NewPCG(seed, 1)).IntN, tt.off, 600).violations {
					if strings.HasPrefix(breach, tt.breach) {
						t.Logf("seed %d: %.200s", seed, breach)
						return
					}
				}
			}
			t.Fatalf("no breach %q found", tt.breach)
		})
	}
}
