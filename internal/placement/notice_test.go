package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// targetInstance names a life of a target.
type targetInstance struct{ index, life int }

// entryOf returns the entry of a life of a target.
func entryOf(index, life int) *chestnutroad.TargetEntry {
	return &chestnutroad.TargetEntry{
		ID: chestnutroad.TargetID(fmt.Sprintf("i-%03d", index)), Service: "s", DataCentre: "a", Slots: 8,
		Started: chestnutroad.Incarnation(life),
	}
}

// TestNoticesBind guards against a request to a life of a target that has said that it leaves, or that wants none for a
// time that is not over, whatever entries come, lapse and return meanwhile.
func TestNoticesBind(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		const count = 3
		pl := placement.NewPool("a")
		now := start
		// life is what is registered for each target, zero for nothing; left and until are what each life said.
		life := make([]int, count)
		latest := make([]int, count)
		left := map[targetInstance]bool{}
		until := map[targetInstance]time.Time{}
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		for range steps {
			index := rapid.IntRange(0, count-1).Draw(rt, "target")
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				latest[index]++
				life[index] = latest[index]
				pl.Set(entryOf(index, life[index]))
			case 1:
				// An entry that lapsed comes back.
				if latest[index] > 0 {
					life[index] = latest[index]
					pl.Set(entryOf(index, life[index]))
				}
			case 2:
				life[index] = 0
				pl.Remove(entryOf(index, 0).ID)
			case 3:
				said := placement.Notice{Leaving: rapid.Bool().Draw(rt, "leaving")}
				said.RetryAfter = time.Duration(rapid.IntRange(0, 5).Draw(rt, "hold")) * time.Second
				of := rapid.IntRange(max(0, latest[index]-1), latest[index]).Draw(rt, "life")
				pl.RecordNotice(now, entryOf(index, of), said)
				if life[index] == 0 || life[index] == of {
					own := targetInstance{index, of}
					left[own] = left[own] || said.Leaving
					if end := now.Add(said.RetryAfter); end.After(until[own]) {
						until[own] = end
					}
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
			case 5:
				choice, found := pl.Choose(now, newRequest("part", index))
				open := 0
				for target := range count {
					own := targetInstance{target, life[target]}
					if life[target] > 0 && !left[own] && !now.Before(until[own]) {
						open++
					}
				}
				if found != (open > 0) {
					rt.Fatalf("found %t while %d targets take requests", found, open)
				}
				var index int
				_, _ = fmt.Sscanf(string(choice.Entry.ID), "i-%03d", &index)
				if own := (targetInstance{index, int(choice.Entry.Started)}); found && (left[own] || now.Before(until[own])) {
					rt.Fatalf("%v got a request", own)
				}
			}
		}
	})
}

// TestOthersNotices guards against requests to a target that said to other hosts that it leaves, and against a refusal of
// requests by a target that only wants none from another host.
func TestOthersNotices(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		count  int
		said   placement.Notice
		later  time.Duration
		chosen bool
	}{
		{"it leaves and another one is there", 2, placement.Notice{Leaving: true}, 0, false},
		{"it leaves and is the last", 1, placement.Notice{Leaving: true}, time.Hour, false},
		{"it wants none and another one is there", 2, placement.Notice{RetryAfter: time.Second}, 0, false},
		{"it wants none and is the last", 1, placement.Notice{RetryAfter: time.Second}, 0, true},
		{"the time is over", 2, placement.Notice{RetryAfter: time.Second}, time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl := newPool(tc.count, 8)
			home, _ := pl.Choose(start, newRequest("part", 1))
			pl.SetPeerNotices(start, map[chestnutroad.TargetID]placement.Notice{home.Entry.ID: tc.said})
			choice, found := pl.Choose(start.Add(tc.later), newRequest("part", 1))
			if chosen := found && choice.Entry.ID == home.Entry.ID; chosen != tc.chosen {
				t.Errorf("chosen: %t, want %t", chosen, tc.chosen)
			}
		})
	}
}

// TestSoonestReturn guards against callers that are told to come back while all targets still turn requests away.
func TestSoonestReturn(t *testing.T) {
	t.Parallel()
	pl := newPool(2, 8)
	for index, hold := range []time.Duration{9 * time.Second, 4 * time.Second} {
		if wait := pl.RetryAfter(start, "s"); wait != 0 {
			t.Errorf("%s with %d targets that hold", wait, index)
		}
		entry, _ := pl.Entry(chestnutroad.TargetID(fmt.Sprintf("i-%03d", index)))
		pl.RecordNotice(start, &entry, placement.Notice{RetryAfter: hold})
	}
	choice, found := pl.Choose(start.Add(time.Second), newRequest("part", 1))
	if wait := pl.RetryAfter(start.Add(time.Second), "s"); found || choice.RetryAfter != 3*time.Second || wait != choice.RetryAfter {
		t.Errorf("found %t, waits %s and %s", found, choice.RetryAfter, wait)
	}
	census := pl.CountTargets(start, "s")
	if census.Held != 2 || pl.States(start)["Held"] != 2 {
		t.Errorf("got %+v", census)
	}
}
