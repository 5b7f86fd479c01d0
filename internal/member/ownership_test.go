package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

func views(states ...State) []HostView {
	views := make([]HostView, 0, len(states))
	for index, state := range states {
		host := Host{ID: chestnutroad.HostID(fmt.Sprintf("host-%d", index)), DataCentre: "centre-0"}
		if index%2 == 1 {
			host.DataCentre = "centre-1"
		}
		views = append(views, HostView{Host: host, State: state})
	}
	return views
}

// TestOwnerOf guards against an owner that changes while it is suspect, that stays while it is leaving or dead, and that is
// in another data centre while the shard's own has eligible hosts. Hosts that disagree on the owner would both admit work,
// so the order depends on the views alone.
func TestOwnerOf(t *testing.T) {
	ownership := NewOwnership("host-0")
	all := views(Alive, Alive, Alive, Alive, Alive, Alive)
	owner, _ := ownership.OwnerOf(testShard, all)
	first := int(owner[len(owner)-1] - '0')
	cases := []struct {
		name  string
		state State
		keeps bool
	}{
		{"suspect owner keeps the shard", Suspect, true},
		{"leaving owner loses the shard", Leaving, false},
		{"dead owner loses the shard", Dead, false},
	}
	for _, tc := range cases {
		hosts := views(Alive, Alive, Alive, Alive, Alive, Alive)
		hosts[first].State = tc.state
		next, found := ownership.OwnerOf(testShard, hosts)
		if !found || (next == owner) != tc.keeps || centreOf(next, hosts) != testShard.DataCentre {
			t.Errorf("%s: owner went from %s to %s", tc.name, owner, next)
		}
	}
	next, found := ownership.OwnerOf(testShard, views(Dead, Alive, Dead, Alive, Leaving, Alive))
	if !found || centreOf(next, all) != "centre-1" {
		t.Errorf("a data centre without hosts got the owner %q", next)
	}
	if next, found := ownership.OwnerOf(testShard, views(Dead)); found {
		t.Errorf("found the owner %s among dead hosts", next)
	}
}

func centreOf(id chestnutroad.HostID, hosts []HostView) chestnutroad.DataCentreID {
	for _, view := range hosts {
		if view.ID == id {
			return view.DataCentre
		}
	}
	return ""
}

// TestOwnershipHandover guards against two hosts that both admit work although one has observed the other's higher epoch,
// and against a new owner that does not get the former owner to fetch the state from.
func TestOwnershipHandover(t *testing.T) {
	shards := []chestnutroad.ShardID{testShard}
	start := time.UnixMilli(1_800_000_000_000)
	all := views(Alive, Alive, Alive)
	owner, _ := NewOwnership("").OwnerOf(testShard, all)
	other := chestnutroad.HostID("host-0")
	if owner == other {
		other = "host-2"
	}
	ownerDead := views(Alive, Alive, Alive)
	ownerDead[owner[len(owner)-1]-'0'].State = Dead
	a, b := NewOwnership(owner), NewOwnership(other)

	expect := func(what string, ownership *Ownership, after time.Duration, hosts []HostView, want DecisionType) Decision {
		t.Helper()
		decisions := ownership.Decide(start.Add(after), shards, hosts)
		var got Decision
		if len(decisions) > 0 {
			got = decisions[0]
		}
		if got.Type != want {
			t.Fatalf("%s: decision %+v, want type %d", what, got, want)
		}
		return got
	}
	expect("a starting host does not take over", a, 0, all, 0)
	taken := expect("the first owner takes over", a, startGrace, all, TakeOver)
	expect("the first owner keeps the shard", a, startGrace+1, all, Keep)
	b.Observe(testShard, taken.Epoch)
	expect("the other host starts", b, 0, ownerDead, 0)
	second := expect("the other host takes over from the dead owner", b, startGrace, ownerDead, TakeOver)
	if second.Former != owner || second.FormerReachable || second.Epoch.Compare(taken.Epoch) <= 0 {
		t.Errorf("takeover %+v from a dead owner with epoch %+v", second, taken.Epoch)
	}
	a.Observe(testShard, second.Epoch)
	if a.Owns(testShard) {
		t.Error("the first owner owns the shard despite a higher epoch")
	}
	down := expect("the first owner steps down", a, 5*time.Second, all, StepDown)
	if down.Successor != other {
		t.Errorf("successor %s, want %s", down.Successor, other)
	}
	expect("the first owner waits for a handover", a, 6*time.Second, all, 0)
	if down := expect("the other host steps down", b, 7*time.Second, all, StepDown); down.Successor != owner {
		t.Errorf("successor %s, want %s", down.Successor, owner)
	}
	a.HandedOver(testShard)
	back := expect("the first owner takes the shard that was handed over", a, 8*time.Second, all, TakeOver)
	if back.Former != other || !back.FormerReachable {
		t.Errorf("takeover %+v, want the former owner %s reachable", back, other)
	}
}

// TestTakeOverAfterDelay guards against a shard that the first host in rendezvous order never takes over, because a live
// owner does not hand it over.
func TestTakeOverAfterDelay(t *testing.T) {
	shards := []chestnutroad.ShardID{testShard}
	all := views(Alive, Alive, Alive)
	owner, _ := NewOwnership("").OwnerOf(testShard, all)
	ownership := NewOwnership(owner, WithStartGrace(0))
	ownership.Observe(testShard, chestnutroad.Epoch{Millis: 1, Host: "host-1"})
	start := time.UnixMilli(1_800_000_000_000)
	if early := ownership.Decide(start, shards, all); len(early) != 0 {
		t.Errorf("decisions %+v before the delay", early)
	}
	late := ownership.Decide(start.Add(takeoverDelay), shards, all)
	if len(late) != 1 || late[0].Type != TakeOver {
		t.Errorf("decisions %+v after the delay, want a takeover", late)
	}
}
