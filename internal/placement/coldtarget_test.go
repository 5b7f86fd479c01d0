package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

var coldService = []chestnutroad.ServiceSpec{{Name: "s", ColdTime: coldTime, ColdRate: coldPerSecond}}

// coldPool returns the pool of one of several hosts, with targets in three data centres.
func coldPool(hosts, targets int, off mechanism.Set) *placement.Pool {
	pl := placement.NewPool("a", placement.WithoutMechanisms(off))
	pl.SetHostCount(hosts)
	pl.SetColdStarts(coldService)
	for index := range targets {
		en := entry(index, chestnutroad.DataCentreID("abc"[index%3:index%3+1]), 64)
		pl.Set(en)
		pl.RegisterCold(start, en, true)
	}
	return pl
}

// TestMarkCold guards against an end of an evacuation that leaves targets of the data centre warm, makes others cold, or lasts longer than
// the cold time.
func TestMarkCold(t *testing.T) {
	t.Parallel()
	pl := coldPool(12, 9, nil)
	pl.MarkCold(start, "b")
	changes := pl.TakeColdChanges(start)
	for _, change := range changes {
		if change.Entry.DataCentre != "b" || !change.Cold || change.Remaining != coldTime {
			t.Errorf("got %+v", change)
		}
	}
	if len(changes) != 3 || pl.ColdCount(start) != 3 {
		t.Errorf("%d changes and %d cold targets, want 3", len(changes), pl.ColdCount(start))
	}
	if got := pl.ColdCount(start.Add(coldTime)); got != 0 {
		t.Errorf("%d targets are cold after the cold time", got)
	}
	off := coldPool(12, 9, mechanism.Set{mechanism.ColdStart: true})
	if off.MarkCold(start, "b"); off.ColdCount(start) != 0 {
		t.Error("targets are cold although the mechanism is disabled")
	}
}

// TestColdTargetsRankLast guards against new prompt parts that are read at cold targets while warm ones have room.
func TestColdTargetsRankLast(t *testing.T) {
	t.Parallel()
	chosen := func(off mechanism.Set) (cold int) {
		pl := coldPool(12, 9, off)
		pl.MarkCold(start, "b")
		for index := range 100 {
			if choice, found := pl.Choose(start, newRequest(fmt.Sprint("part-", index), index)); found && choice.Entry.DataCentre == "b" {
				cold++
			}
		}
		return cold
	}
	if got := chosen(nil); got != 0 {
		t.Errorf("%d of 100 new parts are read at cold targets", got)
	}
	if got := chosen(mechanism.Set{mechanism.ColdStart: true}); got < 20 {
		t.Errorf("%d of 100 new parts are read there without the mechanism, want a third", got)
	}
}

// TestSpreadByRate guards against a popular part whose targets would exceed their cold rate if they became cold, although few of its
// requests run at a time, and against services without a cold rate that are served otherwise than before.
func TestSpreadByRate(t *testing.T) {
	t.Parallel()
	targets := func(services []chestnutroad.ServiceSpec) int {
		pl := coldPool(30, 30, nil)
		pl.SetColdStarts(services)
		used := map[chestnutroad.TargetID]bool{}
		// One of 30 hosts sends a request with the part a second, and all of them 30.
		for index := range 30 {
			choice, _ := pl.Choose(start.Add(time.Duration(index)*time.Second), newRequest("hot", index))
			if index >= 15 {
				used[choice.Entry.ID] = true
			}
		}
		return len(used)
	}
	if got := targets(coldService); got < 5 {
		t.Errorf("a part with 30 requests a second is spread over %d targets, want 5 at least", got)
	}
	if got := targets(nil); got > 2 {
		t.Errorf("it is spread over %d targets without a cold rate, want 2 at most", got)
	}
}

// TestEvacuatedTargetsReturnCold guards against full load at the targets of a data centre whose evacuation ended.
func TestEvacuatedTargetsReturnCold(t *testing.T) {
	t.Parallel()
	pl := coldPool(12, 9, nil)
	pl.SetEvacuated(start, []chestnutroad.DataCentreID{"b", "c"})
	end := start.Add(time.Minute)
	pl.SetEvacuated(end, []chestnutroad.DataCentreID{"c"})
	if got := pl.ColdCount(end); got != 3 {
		t.Errorf("%d targets are cold after the evacuation of b ended, want 3", got)
	}
}
