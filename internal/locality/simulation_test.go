package locality

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// simSize is a simulated installation.
type simSize struct{ hosts, targets, slots, centres int }

var simSizes = []simSize{
	{hosts: 12, targets: 45, slots: 12, centres: 3},
	{hosts: 12, targets: 45, slots: 12, centres: 5},
	{hosts: 35, targets: 140, slots: 12, centres: 3},
	{hosts: 35, targets: 140, slots: 12, centres: 5},
	{hosts: 130, targets: 140, slots: 16, centres: 3},
	{hosts: 130, targets: 140, slots: 16, centres: 5},
	{hosts: 195, targets: 210, slots: 16, centres: 3},
	{hosts: 195, targets: 210, slots: 16, centres: 5},
}

// scenario is a load of the data centres and an event; demand is that of data centre 0 and of the others, in rooms of a data centre.
type scenario struct {
	name         string
	first, other float64
	event        func(st *simSite, since time.Duration)
	// needed is the smallest share of data centre 0's requests that has to leave after the event.
	needed float64
	// stale is true when the remote view is lost; duration is that of requests if it isn't simDuration.
	stale    bool
	duration time.Duration
	// overloaded is true when all data centres have too little room, so that targets exceed the bound wherever requests go.
	overloaded bool
	// allSizes is true for the scenarios that are played at all sizes.
	allSizes bool
}

// doubleDemand is the index of a scenario.
const doubleDemand = 2

func needed(demand, room float64) float64 { return max(0, 1-usualLimit*room/demand) }

func nothing(*simSite, time.Duration) {}

// loseTargets takes every stride-th target of data centre 0 down.
func loseTargets(stride int) func(*simSite, time.Duration) {
	return func(st *simSite, _ time.Duration) {
		for index := range st.targets {
			if st.targets[index].dataCentre == 0 && index/st.centres%stride == 0 && !st.down[index] {
				st.down[index], st.targets[index].owners = true, nil
			}
		}
	}
}

// moveCallers moves callers from data centre 1 to data centre 0 within a second.
func moveCallers(st *simSite, since time.Duration) {
	moved := 0.45 * min(1, since.Seconds())
	st.demand[0], st.demand[1] = 0.5+moved, 0.5-moved
}

var scenarios = []scenario{
	{name: "equal demand", first: 0.5, other: 0.5, event: nothing},
	{name: "equal demand, nearly full", first: 0.85, other: 0.85, event: nothing},
	{name: "double demand", first: 0.9, other: 0.45, event: nothing, needed: needed(0.9, 1), allSizes: true},
	{name: "callers move", first: 0.5, other: 0.5, event: moveCallers, needed: needed(0.95, 1), allSizes: true},
	{name: "local targets evacuated or cut off", first: 0.45, other: 0.45, event: loseTargets(1), needed: 1},
	{name: "half of the local targets gone", first: 0.45, other: 0.45, event: loseTargets(2), needed: needed(0.45, 0.5), allSizes: true},
	{name: "remote side full", first: 1.1, other: 1.3, event: nothing, overloaded: true},
	{
		name: "remote view stale", first: 0.9, other: 0.45, stale: true,
		event: func(st *simSite, _ time.Duration) { st.stale = true },
	},
}

const (
	simSeed = 1
	// simOver is the largest share of requests over the load bound that an installation allows.
	simOver = 0.03
	// simOverDifference is how much larger it may be than that of the data centres alone while all are overloaded.
	simOverDifference = 0.005
	// simSwing and simExcess bound the change of a steady share, and by how much more leaves than is needed, in a data centre with
	// much room. The deviation of its load ratio at random arrivals is added, twice for the swing.
	simSwing  = 0.1
	simExcess = 0.08
	// simShort is by how much less than needed may leave: the limit leaves room for a little less.
	simShort = 0.07
	// simSettled bounds the time until the share is steady.
	simSettled = 8 * time.Second
)

// faults lists what a result violates.
func (sc *scenario) faults(rs *simResult) (faults []string) {
	deviation := 1 / math.Sqrt(float64(max(1, rs.room)))
	excess, settled := simExcess+deviation, simSettled
	if sc.stale {
		excess, settled = 0.01, 2100*time.Millisecond
	}
	check := func(failed bool, name string, value any) {
		if failed {
			faults = append(faults, fmt.Sprintf("%s %v", name, value))
		}
	}
	check(rs.leftShare() > sc.needed+excess, "too many left", rs.leftShare())
	check(rs.leftShare() < sc.needed-simShort, "too few left", rs.leftShare())
	// Without a remote side, the data centre has to serve more than its room.
	check(rs.overShare() > simOver && !sc.stale && !sc.overloaded, "over the bound", rs.overShare())
	check(rs.swing() > simSwing+2*deviation, "oscillation", rs.swing())
	check(rs.settled() > settled, "not settled", rs.settled())
	return faults
}

// sampled selects sizes with each number of hosts, and both numbers of data centres.
func sampled(index int) bool { return index%4 == 0 || index%4 == 3 }

// TestShare guards against requests that leave without need, an overloaded data centre, and a share that oscillates.
func TestShare(t *testing.T) {
	t.Parallel()
	for _, sc := range scenarios {
		for index, size := range simSizes {
			if !sc.allSizes && !sampled(index) {
				continue
			}
			rs := play(sc, size, byShare)
			t.Logf("%s, %v: left %.3f of at least %.3f, over %.4f, swing %.3f, settled %v",
				sc.name, size, rs.leftShare(), sc.needed, rs.overShare(), rs.swing(), rs.settled())
			if faults := sc.faults(&rs); len(faults) > 0 {
				t.Errorf("%s, %v: %v", sc.name, size, faults)
			}
			if !sc.overloaded {
				continue
			}
			if local := play(sc, size, allLocal); rs.overShare() > local.overShare()+simOverDifference {
				t.Errorf("%s, %v: over the bound %.4f, all local %.4f", sc.name, size, rs.overShare(), local.overShare())
			}
		}
	}
}

// TestBaselines guards against a simulation that passes without the package, or without its damping.
func TestBaselines(t *testing.T) {
	t.Parallel()
	sc := scenarios[doubleDemand]
	for index, size := range simSizes {
		if !sampled(index) {
			continue
		}
		for _, baseline := range []policy{allLocal, allOver, undamped} {
			rs := play(sc, size, baseline)
			faults := sc.faults(&rs)
			t.Logf("policy %d, %v: %v", baseline, size, faults)
			if len(faults) == 0 {
				t.Errorf("policy %d passes at %v", baseline, size)
			}
		}
	}
}

// TestDurations guards against a loop that is stable for one duration of requests only.
func TestDurations(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		duration time.Duration
		size     simSize
	}{
		{300 * time.Millisecond, simSizes[2]},
		{1500 * time.Millisecond, simSizes[2]},
		{1500 * time.Millisecond, simSizes[5]},
		{2500 * time.Millisecond, simSizes[2]},
	} {
		sc := scenarios[doubleDemand]
		sc.duration = test.duration
		rs := play(sc, test.size, byShare)
		t.Logf("%v: left %.3f, over %.4f, swing %.3f, settled %v", test, rs.leftShare(), rs.overShare(), rs.swing(), rs.settled())
		if faults := sc.faults(&rs); len(faults) > 0 {
			t.Errorf("%v: %v", test, faults)
		}
	}
}

func play(sc scenario, size simSize, pol policy) simResult {
	st := newSite(size, pol, simSeed)
	for centre := range st.demand {
		st.demand[centre] = sc.other
	}
	st.demand[0] = sc.first
	if sc.duration > 0 {
		st.duration = sc.duration
	}
	return st.run(sc.event)
}
