package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/ratelimit"
)

// limitedPool returns the pool of the only host of a site with four targets, of which the first ones have a limit of 5 requests a
// second.
func limitedPool(now time.Time, limited int) *placement.Pool {
	pl := placement.NewPool("a")
	pl.SetHostCount(1)
	for index := range 4 {
		en := entry(index, "a", 64)
		pl.Set(en)
		if index < limited {
			pl.ObserveLimit(now, en, ratelimit.Statement{Limit: 5})
		}
	}
	return pl
}

// limitTally counts what became of the requests of playLimited: those that prefer the limited targets by whether they stayed there.
type limitTally struct {
	stayed, moved map[chestnutroad.Tokens]int
	refused       int
}

// playLimited plays 80 requests a second for 10 s, half of them with long shared parts.
func playLimited(now time.Time, pl *placement.Pool, limited func(id chestnutroad.TargetID) bool) limitTally {
	tally := limitTally{stayed: map[chestnutroad.Tokens]int{}, moved: map[chestnutroad.Tokens]int{}}
	for index := range 800 {
		now = now.Add(12500 * time.Microsecond)
		if index%12 == 0 {
			pl.MergeRates(now, nil)
		}
		req := &placement.Request{
			Service: "s", Affinity: fmt.Sprint("part-", index%40), SharedTokens: 100, ID: chestnutroad.RequestID(fmt.Sprint("r-", index)),
		}
		if index%40 < 2 {
			req.SharedTokens = 10000
		}
		choice, found := pl.Choose(now, req)
		if !found {
			tally.refused++
			continue
		}
		pl.CountSent(now, choice.Entry.ID)
		switch {
		case limited(choice.Entry.ID) && choice.LimitsReached == 0:
			tally.stayed[req.SharedTokens]++
		case choice.LimitsReached > 0:
			tally.moved[req.SharedTokens]++
		}
	}
	return tally
}

// TestLimitedTargets guards against requests that are refused while a target without a limit can take them, and against costly
// prompt parts that are read again at another target in place of cheap ones.
func TestLimitedTargets(t *testing.T) {
	t.Parallel()
	start := time.Unix(1_000_000, 0)
	limited := func(id chestnutroad.TargetID) bool { return id != entry(3, "a", 64).ID }
	tally := playLimited(start, limitedPool(start, 3), limited)
	if tally.refused > 0 {
		t.Errorf("%d requests were refused although a target has no limit", tally.refused)
	}
	if tally.moved[100] == 0 || tally.moved[10000]*10 > tally.stayed[10000] {
		t.Errorf("%d cheap and %d costly requests moved, %d costly ones stayed; want cheap ones to move first", tally.moved[100],
			tally.moved[10000], tally.stayed[10000])
	}
	all := func(chestnutroad.TargetID) bool { return true }
	if tally := playLimited(start, limitedPool(start, 4), all); tally.refused < 500 || tally.refused > 660 {
		t.Errorf("%d of 800 requests were refused at four times the limits, want about 600", tally.refused)
	}
}

// TestFreeSlotsOfLimitedTargets guards against a service that admits requests for the free slots of targets that don't take them for
// their limits, so that the other targets are overloaded.
func TestFreeSlotsOfLimitedTargets(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	pl := limitedPool(now, 3)
	req := &placement.Request{Service: "s", RequireSlot: true}
	for range 64 {
		pl.Start(entry(3, "a", 64).ID)
	}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		pl.Utilisation(now, req)
	}
	if got := pl.Utilisation(now, req); got < 0.95 {
		t.Errorf("the only target without a limit has no free slot, but %.2f of the slots count as used", got)
	}
}
