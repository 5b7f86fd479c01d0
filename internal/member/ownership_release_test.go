package member

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// A partition leaves a shard with an owner on either side. When the far owner steps down before the home owner hears of
// its epoch, the home owner must not wait for a hand-over that never comes, for the shard has no owner meanwhile.
func TestReleasedShardIsTakenOverAtOnce(t *testing.T) {
	hosts := views(Alive, Alive, Alive, Alive)
	start := time.UnixMilli(1_800_000_000_000)
	first, _ := NewOwnership("host-0").OwnerOf(testShard, hosts)
	cases := []struct {
		name    string
		givenUp bool
		takes   bool
	}{
		{"the former owner gave it up", true, true},
		{"the former owner may still hand over", false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			home := NewOwnership(first, WithStartGrace(0))
			if decisions := home.Decide(start, shards(), hosts); decisions[0].Type != TakeOver {
				t.Fatalf("got %+v, want a takeover", decisions)
			}
			far := farEpoch(start, first, hosts)
			home.Observe(testShard, far)
			if decisions := home.Decide(start.Add(time.Second), shards(), hosts); decisions[0].Type != StepDown {
				t.Fatalf("got %+v, want a step down for the higher epoch", decisions)
			}
			home.Decide(start.Add(1100*time.Millisecond), shards(), hosts)
			waits := home.PendingHandovers()
			if len(waits) != 1 || waits[0].Former != far.Host {
				t.Fatalf("waits for %+v, want for %s", waits, far.Host)
			}
			if tc.givenUp {
				home.Released(testShard, far.Host)
			}
			decisions := home.Decide(start.Add(1200*time.Millisecond), shards(), hosts)
			if takes := len(decisions) == 1 && decisions[0].Type == TakeOver; takes != tc.takes {
				t.Errorf("got %+v, want a takeover: %v", decisions, tc.takes)
			}
		})
	}
}

func shards() []chestnutroad.ShardID { return []chestnutroad.ShardID{testShard} }

// farEpoch is a later epoch of another live host.
func farEpoch(start time.Time, home chestnutroad.HostID, hosts []HostView) chestnutroad.Epoch {
	for _, view := range hosts {
		if view.ID != home {
			return chestnutroad.Epoch{Millis: start.Add(time.Second).UnixMilli(), Host: view.ID}
		}
	}
	return chestnutroad.Epoch{}
}
