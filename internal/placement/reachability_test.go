package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// TestUnreachableTargetRecovers guards against a target that, once a connection to it failed, is not used again until it
// restarts. This kept hosts that had been cut off on the targets of their own data centre.
func TestUnreachableTargetRecovers(t *testing.T) {
	t.Parallel()
	pl := newPool(3, 8)
	preferred, _ := pl.Choose(start, newRequest("part", 1))
	pl.Observe(start, preferred.Entry.ID, placement.Unreachable)
	if choice, _ := pl.Choose(start, newRequest("part", 2)); choice.Entry.ID == preferred.Entry.ID {
		t.Error("the target is used at once after a failed connection")
	}
	later := start.Add(5 * time.Second)
	if choice, _ := pl.Choose(later, newRequest("part", 3)); choice.Entry.ID != preferred.Entry.ID {
		t.Fatal("no request probes the target after the backoff")
	}
	if choice, _ := pl.Choose(later, newRequest("part", 4)); choice.Entry.ID == preferred.Entry.ID {
		t.Error("two requests probe the target at once")
	}
	pl.Observe(later, preferred.Entry.ID, placement.Served)
	if choice, _ := pl.Choose(later, newRequest("part", 5)); choice.Entry.ID != preferred.Entry.ID {
		t.Error("the target is not used after it answered the probe")
	}
}

// partitionSimulation simulates a host of data centre "a" with engines in each of five data centres.
type partitionSimulation struct {
	pool *placement.Pool
	next int
}

// serve sends one request and returns the number of connections that failed before one was opened, at most dials, and the
// data centre that served the request; empty when none did.
func (ps *partitionSimulation) serve(now time.Time, cutOff bool, dials int) (failed int, served chestnutroad.DataCentreID) {
	ps.next++
	request := newRequest(fmt.Sprintf("part-%d", ps.next%40), ps.next)
	for failed < dials {
		choice, found := ps.pool.Choose(now, request)
		if !found {
			return failed, ""
		}
		if !cutOff || choice.Entry.DataCentre == "a" {
			ps.pool.Observe(now, choice.Entry.ID, placement.Served)
			return failed, choice.Entry.DataCentre
		}
		ps.pool.Observe(now, choice.Entry.ID, placement.Unreachable)
		request.Excluded = append(request.Excluded, choice.Entry.ID)
		failed++
	}
	return failed, ""
}

// TestDataCentrePartition guards against a data centre that is cut off from the others and tries each of their targets
// separately: with 90 such targets, 209 requests were refused and 104 streams broken off after six connections each. A few
// requests may detect the partition, the others must be served by the near targets, and after it the targets of other data
// centres must be used again within seconds.
func TestDataCentrePartition(t *testing.T) {
	t.Parallel()
	ps := &partitionSimulation{pool: placement.NewPool("a")}
	for index := range 110 {
		ps.pool.Set(entry(index, chestnutroad.DataCentreID("abcde"[index%5:index%5+1]), 16))
	}
	const (
		interval = 100 * time.Millisecond
		duration = 5500 * time.Millisecond
		dials    = 6
	)
	unserved, retried := 0, 0
	now := start
	for ; now.Before(start.Add(duration)); now = now.Add(interval) {
		failed, served := ps.serve(now, true, dials)
		if served == "" {
			unserved++
		}
		if failed > 0 && now.Sub(start) > 2*time.Second {
			retried++
		}
	}
	if unserved > 3 {
		t.Errorf("%d of 55 requests were not served during the partition", unserved)
	}
	// After the first two seconds one request in each backoff of 2 s probes each of four data centres.
	if retried > 10 {
		t.Errorf("%d of 35 requests had a failed connection after the partition was detected", retried)
	}
	now = now.Add(2 * time.Second)
	far := 0
	for range 60 {
		now = now.Add(interval)
		if _, served := ps.serve(now, false, dials); served != "a" {
			far++
		}
	}
	if far < 30 {
		t.Errorf("%d of 60 requests were served in other data centres after the partition, want about 48", far)
	}
}

// TestReplacedTargets guards against a data centre that counts as unreachable because other targets took over the addresses
// of some of its targets: as these answered, the data centre is reachable.
func TestReplacedTargets(t *testing.T) {
	t.Parallel()
	pl := placement.NewPool("a")
	for index := range 6 {
		pl.Set(entry(index, "b", 16))
	}
	replaced := map[chestnutroad.TargetID]bool{"i-000": true, "i-001": true, "i-002": true, "i-003": true}
	for id := range replaced {
		pl.Observe(start, id, placement.Replaced)
	}
	for index := range 40 {
		choice, found := pl.Choose(start, newRequest(fmt.Sprintf("part-%d", index), index))
		if !found || replaced[choice.Entry.ID] || choice.Suspect || choice.Probe {
			t.Fatalf("request %d got %+v, %t", index, choice, found)
		}
	}
}

// TestReachabilityChanges guards against a log that omits when a target or data centre became unreachable or recovered, and
// against one that repeats it for each request.
func TestReachabilityChanges(t *testing.T) {
	t.Parallel()
	targetLost, targetRecovered := placement.ReachabilityChange{TargetLost: true},
		placement.ReachabilityChange{TargetRecovered: true}
	steps := []struct {
		name    string
		target  chestnutroad.TargetID
		outcome placement.Outcome
		want    placement.ReachabilityChange
		// unreachable is the number of unreachable targets afterwards.
		unreachable int
	}{
		{"first failure", "i-000", placement.Unreachable, targetLost, 1},
		{"within the same failure window", "i-000", placement.Unreachable, placement.ReachabilityChange{}, 1},
		{"second target", "i-001", placement.Unreachable, targetLost, 2},
		{"third target", "i-002", placement.Unreachable, placement.ReachabilityChange{TargetLost: true, CentreLost: true}, 4},
		{"fourth target", "i-003", placement.Unreachable, targetLost, 4},
		{"unknown outcome", "i-003", placement.Unknown, placement.ReachabilityChange{}, 4},
		{"one answers", "i-000", placement.Served, placement.ReachabilityChange{TargetRecovered: true, CentreRecovered: true}, 3},
		{"it answers again", "i-000", placement.Served, placement.ReachabilityChange{}, 3},
		{"another refuses", "i-001", placement.Shed, targetRecovered, 2},
		{"another breaks off", "i-002", placement.Failed, targetRecovered, 1},
		{"another was replaced", "i-001", placement.Replaced, targetLost, 2},
	}
	pl := placement.NewPool("a")
	for index := range 4 {
		pl.Set(entry(index, "b", 16))
	}
	for _, step := range steps {
		if got := pl.Observe(start, step.target, step.outcome); got != step.want {
			t.Errorf("%s: got %+v, want %+v", step.name, got, step.want)
		}
		if got := pl.CountTargets(start, "s"); got != (placement.TargetCounts{Total: 4, Unreachable: step.unreachable}) {
			t.Errorf("%s: got %+v, want %d unreachable", step.name, got, step.unreachable)
		}
	}
}

// TestTargetThatShedsWhileEmpty guards against a target that keeps getting requests although it refuses them with free slots:
// when one did so for two seconds, orders, which may be sent to one target only, were refused. Such a target is ejected like
// one that fails, whereas a full target is avoided only briefly.
func TestTargetThatShedsWhileEmpty(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		load int
		used bool
	}{
		{"nearly empty", 1, false},
		{"full", 20, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl := newPool(3, 8)
			counts := map[chestnutroad.TargetID]int{"i-000": tc.load, "i-001": tc.load, "i-002": tc.load}
			pl.SetPeerCounts(counts)
			for index := range 6 {
				outcome := placement.Served
				if index%2 == 0 {
					outcome = placement.Shed
				}
				pl.Observe(start, "i-000", outcome)
			}
			used := false
			for index := range 60 {
				choice, _ := pl.Choose(start.Add(200*time.Millisecond), &placement.Request{
					Service: "s", ID: chestnutroad.RequestID(fmt.Sprintf("r-%d", index)),
				})
				used = used || choice.Entry.ID == "i-000"
			}
			if used != tc.used {
				t.Errorf("used is %t, want %t", used, tc.used)
			}
		})
	}
}

// TestBoundIgnoresUnreachableTargets guards against requests that leave the target where their part is cached because
// unreachable targets lower the mean load, and with it the bound: in a data centre that is cut off, its own targets have all
// the requests.
func TestBoundIgnoresUnreachableTargets(t *testing.T) {
	t.Parallel()
	pl := placement.NewPool("a")
	for index := range 12 {
		pl.Set(entry(index, chestnutroad.DataCentreID("abc"[index/4:index/4+1]), 64))
	}
	for index := 4; index < 12; index++ {
		pl.Observe(start, entry(index, "b", 64).ID, placement.Unreachable)
	}
	counts := map[chestnutroad.TargetID]int{}
	for index := range 4 {
		counts[entry(index, "a", 64).ID] = 10
	}
	pl.SetPeerCounts(counts)
	choice, found := pl.Choose(start, newRequest("part", 1))
	if !found || choice.Entry.DataCentre != "a" || choice.Bound != 23 || choice.Preference != 0 {
		t.Errorf("got %+v", choice)
	}
}
