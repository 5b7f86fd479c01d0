package member

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// TestHostList guards against a stale copy of the host list that undoes a newer record of another host, or that declares a
// host dead, and against a wrong record that the list never corrects.
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
		{"another host announces that the machine is leaving", time.Second, nil, &announced, true},
		{"a stale list changes nothing", 2 * time.Second, listed(false), nil, true},
		{"the list marks the machine as leaving", 3 * time.Second, listed(true), nil, true},
		{"the list marks it as not leaving", 20 * time.Second, listed(false), nil, false},
		{"an old record arrives late", 21 * time.Second, nil, &announced, false},
		{"the list marks it as leaving again", 30 * time.Second, listed(true), nil, true},
		{"the machine is removed from the list", 40 * time.Second, listed(true)[1:], nil, true},
		{"a new machine is listed under the same name", 50 * time.Second, listed(false), nil, false},
		{"a wrong record arrives", 60 * time.Second, nil, &wrong, true},
		{"the list contradicts the record", 61 * time.Second, listed(false), nil, true},
		{"the list has contradicted the record for listOverrideDelay", 61*time.Second + listOverrideDelay, listed(false), nil, false},
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
	if alive := member.EligibleOwners("centre-0"); len(alive) != 2 {
		t.Errorf("alive hosts %v, want the listed router and the member's own host", alive)
	}
	member.SetHostList(start.Add(3*time.Minute), nil)
	if alive := member.EligibleOwners("centre-0"); len(alive) != 2 {
		t.Errorf("alive hosts %v after an empty list, which must not declare a host dead", alive)
	}
}
