package member

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// TestReleasedShardIsTakenOverAtOnce guards against a shard without an owner after a partition that left it with one on
// either side. The remote owner steps down before the local one observes the remote epoch and steps down too; the local one
// must then not wait for a handover that never comes.
func TestReleasedShardIsTakenOverAtOnce(t *testing.T) {
	hosts := views(Alive, Alive, Alive, Alive)
	start := time.UnixMilli(1_800_000_000_000)
	first, _ := NewOwnership("host-0").OwnerOf(testShard, hosts)
	cases := []struct {
		name      string
		released  bool
		takesOver bool
	}{
		{"the former owner released it", true, true},
		{"the former owner may still hand over", false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			local := NewOwnership(first, WithStartGrace(0))
			if decisions := local.Decide(start, shards(), hosts); decisions[0].Type != TakeOver {
				t.Fatalf("got %+v, want a takeover", decisions)
			}
			remote := remoteEpoch(start, first, hosts)
			local.Observe(testShard, remote)
			if decisions := local.Decide(start.Add(time.Second), shards(), hosts); decisions[0].Type != StepDown {
				t.Fatalf("got %+v, want a step down for the higher epoch", decisions)
			}
			local.Decide(start.Add(1100*time.Millisecond), shards(), hosts)
			pending := local.PendingHandovers()
			if len(pending) != 1 || pending[0].Former != remote.Host {
				t.Fatalf("pending handovers %+v, want one from %s", pending, remote.Host)
			}
			if tc.released {
				local.Released(testShard, remote.Host)
			}
			decisions := local.Decide(start.Add(1200*time.Millisecond), shards(), hosts)
			if takesOver := len(decisions) == 1 && decisions[0].Type == TakeOver; takesOver != tc.takesOver {
				t.Errorf("got %+v, want a takeover: %v", decisions, tc.takesOver)
			}
		})
	}
}

func shards() []chestnutroad.ShardID { return []chestnutroad.ShardID{testShard} }

// remoteEpoch returns an epoch of another live host, one second after start.
func remoteEpoch(start time.Time, local chestnutroad.HostID, hosts []HostView) chestnutroad.Epoch {
	for _, view := range hosts {
		if view.ID != local {
			return chestnutroad.Epoch{Millis: start.Add(time.Second).UnixMilli(), Host: view.ID}
		}
	}
	return chestnutroad.Epoch{}
}
