package member

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// The host list lags: it must not undo what another host has seen, nor declare a host dead, but it must win in the end.
func TestHostList(t *testing.T) {
	const name = "engine-1"
	listed := func(leaving bool) []chestnutroad.ListedHost {
		return []chestnutroad.ListedHost{
			{Name: name, Role: chestnutroad.RoleTarget, Leaving: leaving},
			{Name: "other", Role: chestnutroad.RoleRouter, DataCentre: "centre-0", Address: "10.0.0.9:1"},
		}
	}
	start := time.UnixMilli(1_800_000_000_000)
	announced := Record{Kind: RecordLeaving, Name: name, Leaving: true, Stamp: start.UnixMilli()}
	wrong := announced
	wrong.Stamp = start.Add(time.Minute).UnixMilli()
	steps := []struct {
		name    string
		after   time.Duration
		list    []chestnutroad.ListedHost
		record  *Record
		leaving bool
	}{
		{"a first list without leaving machines", 0, listed(false), nil, false},
		{"another host says that it is leaving", time.Second, nil, &announced, true},
		{"a list that lags says nothing new", 2 * time.Second, listed(false), nil, true},
		{"then it says leaving too", 3 * time.Second, listed(true), nil, true},
		{"it is back", 20 * time.Second, listed(false), nil, false},
		{"an old record arrives late", 21 * time.Second, nil, &announced, false},
		{"the list says leaving again", 30 * time.Second, listed(true), nil, true},
		{"the machine vanishes from the list", 40 * time.Second, listed(true)[1:], nil, true},
		{"a new one is listed under the same name", 50 * time.Second, listed(false), nil, false},
		{"a wrong record arrives", 60 * time.Second, nil, &wrong, true},
		{"the list contradicts it", 61 * time.Second, listed(false), nil, true},
		{"and goes on contradicting it", 61*time.Second + listOverrideDelay, listed(false), nil, false},
	}
	member := New(Host{ID: "self", DataCentre: "centre-0", Incarnation: 1})
	for _, step := range steps {
		now := start.Add(step.after)
		if step.list != nil {
			member.SetHostList(now, step.list)
		}
		if step.record != nil {
			member.apply(now, step.record)
		}
		if got := member.MachineLeaving(name); got != step.leaving {
			t.Fatalf("%s: leaving is %v, want %v", step.name, got, step.leaving)
		}
	}
	if alive := member.Alive("centre-0"); len(alive) != 2 {
		t.Errorf("alive hosts %v, want the listed router and the own host", alive)
	}
	member.SetHostList(start.Add(3*time.Minute), nil)
	if alive := member.Alive("centre-0"); len(alive) != 2 {
		t.Errorf("alive hosts %v after an empty list, which must not declare a host dead", alive)
	}
}
