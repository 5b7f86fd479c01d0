package order

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for _, setting := range [][2]string{{"rapid.seed", "20261204"}, {"rapid.checks", "200"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(setting[0], setting[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func (wd *world) key() Key {
	return Key{Team: "team", Key: chestnutroad.IdempotencyKey(fmt.Sprintf("key-%d", wd.draw(3)))}
}

// dedup tells which keys belong to a service whose target deduplicates.
func dedup(key Key) bool { return key.Key == "key-2" }

var testWaits = []time.Duration{50 * time.Millisecond, 5 * time.Second, 50 * time.Second}

var testJumps = []time.Duration{
	time.Millisecond, 30 * time.Millisecond, time.Second, 4 * time.Second, 40 * time.Second, 12 * time.Minute,
}

// step takes one random step of one host, or of the log, the clock or the network.
func (wd *world) step() {
	index := wd.draw(len(wd.hosts))
	host := wd.hosts[index]
	switch wd.draw(20) {
	case 0, 1, 2:
		key := wd.key()
		wd.submit(host, key, dedup(key), testWaits[wd.draw(len(testWaits))])
	case 3, 4, 5, 6:
		wd.read(host, 1+wd.draw(4))
	case 7, 8, 9:
		wd.endAppend(host, wd.draw(9))
	case 10, 11:
		wd.endRun(host, wd.draw(4))
	case 12, 13:
		wd.pass(testJumps[min(wd.draw(len(testJumps)), wd.draw(len(testJumps)))])
	case 14:
		wd.landLate()
	case 15:
		wd.readSlowly(host)
	case 16:
		wd.snapshot(host)
	case 17:
		wd.fail(index)
	case 18:
		wd.transfer(host, wd.hosts[wd.draw(len(wd.hosts))])
	default:
		wd.handle(host, host.machine.Tick(wd.now))
	}
}

func (wd *world) pass(jump time.Duration) {
	wd.now = wd.now.Add(jump)
	wd.log.expire(wd.now)
}

// landLate lets a delayed append take effect, in any order.
func (wd *world) landLate() {
	if count := len(wd.log.late); count > 0 && !wd.log.down {
		index := wd.draw(count)
		wd.appendRecord(wd.log.late[index])
		wd.log.late = append(wd.log.late[:index], wd.log.late[index+1:]...)
	}
}

// readSlowly keeps a batch back or delivers one that was kept back.
func (wd *world) readSlowly(host *testHost) {
	if len(host.slow) > 0 && wd.draw(2) == 0 {
		index := wd.draw(len(host.slow))
		wd.handle(host, host.machine.ReadBatch(wd.now, host.slow[index]))
		host.slow = append(host.slow[:index], host.slow[index+1:]...)
		return
	}
	if !host.cut && !wd.log.down {
		host.slow = append(host.slow, wd.log.read(host.machine.From(), 1+wd.draw(4)))
	}
}

// snapshot writes the host's state to the log, at once or late.
func (wd *world) snapshot(host *testHost) {
	for _, data := range host.machine.Snapshot(wd.now) {
		if wd.draw(2) == 0 {
			wd.log.late = append(wd.log.late, data)
		} else if !host.cut && !wd.log.down {
			wd.appendRecord(data)
		}
	}
}

func (wd *world) fail(index int) {
	host := wd.hosts[index]
	switch wd.draw(6) {
	case 0:
		wd.replace(index, wd.draw(2))
	case 1:
		host.cut = !host.cut
	case 2:
		wd.log.down = !wd.log.down
	case 3:
		gone := wd.hosts[wd.draw(len(wd.hosts))].machine.self
		wd.handle(host, host.machine.HostGone(wd.now, gone.Host, gone.Incarnation))
	case 4:
		back := wd.hosts[wd.draw(len(wd.hosts))].machine.self
		wd.handle(host, host.machine.HostBack(wd.now, back.Host, back.Incarnation))
	default:
		wd.cancelOne(host)
	}
}

func (wd *world) cancelOne(host *testHost) {
	for number := range len(wd.tries) {
		request := chestnutroad.RequestID(fmt.Sprintf("request-%d", number))
		if try := wd.tries[request]; try.host == host && try.answer == nil {
			wd.handle(host, host.machine.Cancel(wd.now, request))
			if try.answer == nil {
				try.answer = Refuse{Request: request}
			}
			return
		}
	}
}

func (wd *world) transfer(from, to *testHost) {
	if state, found := from.machine.Export(); found {
		wd.handle(to, to.machine.Import(wd.now, state))
	}
}

// settle ends all faults and drives the hosts until all requests are answered.
func (wd *world) settle(rounds int) {
	wd.log.down = false
	for range rounds {
		wd.pass(50 * time.Millisecond)
		for _, host := range wd.hosts {
			host.cut = false
			wd.read(host, 1000)
			wd.endAppend(host, 100)
			wd.endRun(host, 2)
			wd.handle(host, host.machine.Tick(wd.now))
		}
	}
}

// checkEnd repeats each order through each host with a working log. An order that no one ran must run, and one with
// a known answer must get it.
func (wd *world) checkEnd() {
	for len(wd.log.late) > 0 {
		wd.log.down = false
		wd.landLate()
	}
	wd.settle(1300)
	for request, try := range wd.tries {
		if try.answer == nil {
			wd.breachf("silent: request %s got no answer", request)
		}
	}
	for number := range 3 {
		key := Key{Team: "team", Key: chestnutroad.IdempotencyKey(fmt.Sprintf("key-%d", number))}
		for _, host := range wd.hosts {
			wd.checkRepeat(host, key)
		}
	}
}

func (wd *world) checkRepeat(host *testHost, key Key) {
	if !host.machine.Ready() || wd.orphaned[key] {
		return
	}
	before := len(wd.runs[key])
	request := wd.submit(host, key, dedup(key), 30*time.Second)
	wd.settle(20)
	reply, replied := wd.tries[request].answer.(Reply)
	if before == 0 && !replied {
		wd.breachf("lost: key %v never ran and gets %+v", key, wd.tries[request].answer)
	}
	if before == 0 || dedup(key) {
		return
	}
	last := wd.runs[key][before-1]
	if last.done && len(wd.runs[key]) == before && (!replied || string(reply.Outcome.Body) != last.body) {
		wd.breachf("outcome: key %v gets %+v instead of %q", key, wd.tries[request].answer, last.body)
	}
}

// simulate runs the machines through random faults until an invariant is broken or the steps are done.
func simulate(draw func(int) int, off mechanisms, steps int) *world {
	wd := newWorld(draw, 2+draw(4), off)
	for range steps {
		wd.step()
		if len(wd.breaches) > 0 {
			return wd
		}
	}
	wd.checkEnd()
	return wd
}

// TestSimulation guards at most once, the truth of "not run", the first outcome and the agreement of all readers.
func TestSimulation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(count int) int { return rapid.IntRange(0, count-1).Draw(rt, "draw") }
		if wd := simulate(draw, mechanisms{}, 250); len(wd.breaches) > 0 {
			rt.Fatal(wd.report())
		}
	})
}

// TestSimulationSeeds runs long simulations, which rapid's shrinking would slow down.
func TestSimulationSeeds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 1))
		if wd := simulate(random.IntN, mechanisms{}, 1000); len(wd.breaches) > 0 {
			t.Fatalf("seed %d: %s", seed, wd.report())
		}
	}
}

// TestBaselines shows that the simulation notices when a mechanism is missing.
func TestBaselines(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		off    mechanisms
		breach string
	}{
		{"run before the claim is read back", mechanisms{readBack: true}, "twice"},
		{"lease instead of claim", mechanisms{lease: testLease}, "twice"},
		{"snapshot with a gap behind it", mechanisms{through: true}, "state"},
		{"no release of refused orders", mechanisms{release: true}, "lost"},
		{"run of refused orders", mechanisms{abandon: true}, "refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2000) {
				random := rand.New(rand.NewPCG(seed, 1))
				for _, breach := range simulate(random.IntN, tt.off, 600).breaches {
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
