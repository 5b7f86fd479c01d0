package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
)

// targetInstance identifies an incarnation of a target.
type targetInstance struct{ index, incarnation int }

// entryOf returns the entry of an incarnation of a target.
func entryOf(index, incarnation int) *chestnutroad.TargetEntry {
	return &chestnutroad.TargetEntry{
		ID: chestnutroad.TargetID(fmt.Sprintf("i-%03d", index)), Service: "s", DataCentre: "a", Slots: 8,
		Incarnation: chestnutroad.Incarnation(incarnation),
	}
}

// TestNoticesApply guards against a request to an incarnation of a target that gave notice that it leaves, or that it
// refuses requests for a time that has not elapsed, in any sequence in which entries are registered, removed and restored.
func TestNoticesApply(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		const count = 3
		pl := placement.NewPool("a")
		now := start
		// registered is the registered incarnation of each target, zero for none, latest the latest one that was; leaving and
		// until are the notices of each incarnation.
		registered := make([]int, count)
		latest := make([]int, count)
		leaving := map[targetInstance]bool{}
		until := map[targetInstance]time.Time{}
		steps := rapid.IntRange(1, 60).Draw(rt, "steps")
		for range steps {
			index := rapid.IntRange(0, count-1).Draw(rt, "target")
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				latest[index]++
				registered[index] = latest[index]
				pl.Set(entryOf(index, registered[index]))
			case 1:
				// A removed entry is restored.
				if latest[index] > 0 {
					registered[index] = latest[index]
					pl.Set(entryOf(index, registered[index]))
				}
			case 2:
				registered[index] = 0
				pl.Remove(entryOf(index, 0).ID)
			case 3:
				received := placement.Notice{Leaving: rapid.Bool().Draw(rt, "leaving")}
				received.RetryAfter = time.Duration(rapid.IntRange(0, 5).Draw(rt, "retry after")) * time.Second
				of := rapid.IntRange(max(0, latest[index]-1), latest[index]).Draw(rt, "incarnation")
				pl.RecordNotice(now, entryOf(index, of), received)
				if registered[index] == 0 || registered[index] == of {
					own := targetInstance{index, of}
					leaving[own] = leaving[own] || received.Leaving
					if end := now.Add(received.RetryAfter); end.After(until[own]) {
						until[own] = end
					}
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
			case 5:
				choice, found := pl.Choose(now, newRequest("part", index))
				accepting := 0
				for target := range count {
					own := targetInstance{target, registered[target]}
					if registered[target] > 0 && !leaving[own] && !now.Before(until[own]) {
						accepting++
					}
				}
				if found != (accepting > 0) {
					rt.Fatalf("found is %t while %d targets accept requests", found, accepting)
				}
				var index int
				_, _ = fmt.Sscanf(string(choice.Entry.ID), "i-%03d", &index)
				if own := (targetInstance{index, int(choice.Entry.Incarnation)}); found && (leaving[own] || now.Before(until[own])) {
					rt.Fatalf("%v was chosen against its notice", own)
				}
			}
		}
	})
}

// TestPeerNotices guards against requests to a target that gave notice to another host that it leaves, and against refusing
// requests for the last target when it only refused those of another host.
func TestPeerNotices(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		count  int
		notice placement.Notice
		later  time.Duration
		chosen bool
	}{
		{"leaving, one of two", 2, placement.Notice{Leaving: true}, 0, false},
		{"leaving, the only one", 1, placement.Notice{Leaving: true}, time.Hour, false},
		{"refusing, one of two", 2, placement.Notice{RetryAfter: time.Second}, 0, false},
		{"refusing, the only one", 1, placement.Notice{RetryAfter: time.Second}, 0, true},
		{"refused, time elapsed", 2, placement.Notice{RetryAfter: time.Second}, time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			pl := newPool(tc.count, 8)
			first, _ := pl.Choose(start, newRequest("part", 1))
			pl.SetPeerNotices(start, map[chestnutroad.TargetID]placement.Notice{first.Entry.ID: tc.notice})
			choice, found := pl.Choose(start.Add(tc.later), newRequest("part", 1))
			if chosen := found && choice.Entry.ID == first.Entry.ID; chosen != tc.chosen {
				t.Errorf("chosen is %t, want %t", chosen, tc.chosen)
			}
		})
	}
}

// TestRetryAfter guards against callers that are asked to retry while all targets still refuse requests.
func TestRetryAfter(t *testing.T) {
	t.Parallel()
	pl := newPool(2, 8)
	for index, retryAfter := range []time.Duration{9 * time.Second, 4 * time.Second} {
		if wait := pl.RetryAfter(start, "s"); wait != 0 {
			t.Errorf("retry after %s with %d of 2 targets refusing", wait, index)
		}
		en, _ := pl.Entry(chestnutroad.TargetID(fmt.Sprintf("i-%03d", index)))
		pl.RecordNotice(start, &en, placement.Notice{RetryAfter: retryAfter})
	}
	choice, found := pl.Choose(start.Add(time.Second), newRequest("part", 1))
	if wait := pl.RetryAfter(start.Add(time.Second), "s"); found || choice.RetryAfter != 3*time.Second || wait != choice.RetryAfter {
		t.Errorf("found is %t, retry after %s by Choose and %s by RetryAfter", found, choice.RetryAfter, wait)
	}
	counts := pl.CountTargets(start, "s")
	if counts.Held != 2 || pl.States(start)["Held"] != 2 {
		t.Errorf("got %+v", counts)
	}
}
