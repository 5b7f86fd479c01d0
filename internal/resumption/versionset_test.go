package resumption_test

import (
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

type versionUses = map[chestnutroad.SoftwareVersion]resumption.VersionUse

// The uses of versions in the tests.
var (
	unlogged = resumption.VersionUse{State: resumption.Unlogged}
	logged   = resumption.VersionUse{State: resumption.Logged, LoggedFrom: 10}
)

// versionSets returns the sets of a store that has one for the service.
func versionSets(era chestnutroad.Era, uses versionUses) map[chestnutroad.ServiceID]resumption.VersionSet {
	return map[chestnutroad.ServiceID]resumption.VersionSet{service: {Era: era, Versions: uses}}
}

// TestPossibleVersions guards against a stream that goes on at one of several versions without a proof that it can't have begun at the
// others, and against one that is refused with such a proof.
func TestPossibleVersions(t *testing.T) {
	t.Parallel()
	both := []chestnutroad.SoftwareVersion{"v1", "v2"}
	first := both[:1]
	cases := []struct {
		name   string
		listed []chestnutroad.SoftwareVersion
		sets   map[chestnutroad.ServiceID]resumption.VersionSet
		read   resumption.LogRange
		want   []chestnutroad.SoftwareVersion
	}{
		{"log has all of the second", both, versionSets(1, versionUses{"v1": unlogged, "v2": logged}), resumption.LogRange{Era: 1, From: 10}, first},
		{"second not listed any more", first, versionSets(1, versionUses{"v1": unlogged, "v2": logged}), resumption.LogRange{Era: 1}, first},
		{"log has lost records", both, versionSets(1, versionUses{"v1": unlogged, "v2": logged}), resumption.LogRange{Era: 1, From: 11}, both},
		{"log of a later era", both, versionSets(1, versionUses{"v1": unlogged, "v2": logged}), resumption.LogRange{Era: 2}, both},
		{"set of an earlier era", both, versionSets(0, versionUses{"v1": unlogged, "v2": logged}), resumption.LogRange{Era: 1}, both},
		{"second not recorded", both, versionSets(1, versionUses{"v1": unlogged}), resumption.LogRange{Era: 1}, both},
		{"both unlogged", both, versionSets(1, versionUses{"v1": unlogged, "v2": unlogged}), resumption.LogRange{Era: 1}, both},
		{"both logged", both, versionSets(1, versionUses{"v1": logged, "v2": logged}), resumption.LogRange{Era: 1}, both},
		{"no set", both, nil, resumption.LogRange{Era: 1}, both},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := resumption.New()
			for _, version := range tc.listed {
				tr.Observe(time.Second, service, version)
			}
			tr.SetVersions(time.Second, chestnutroad.Position{Era: 1, Offset: 3}, tc.sets)
			if got := tr.PossibleVersions(2*time.Second, service, tc.read); !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestPlanVersions guards against a version that counts as logged although streams may have begun at it that are not in the log.
func TestPlanVersions(t *testing.T) {
	t.Parallel()
	const young, old = 2 * time.Second, 2 * resumption.Lifetime
	joined := resumption.VersionUse{State: resumption.Logged}
	cases := []struct {
		name string
		now  time.Duration
		// listed are the versions with the times since which they are listed.
		listed map[chestnutroad.SoftwareVersion]time.Duration
		held   map[chestnutroad.ServiceID]resumption.VersionSet
		// era is that of the store, before is the era in which the host first read the sets.
		era, before chestnutroad.Era
		want        resumption.VersionSet
		changed     bool
	}{
		{
			"first versions", young,
			map[chestnutroad.SoftwareVersion]time.Duration{"v1": 0, "v2": 0},
			nil, 1, 1,
			resumption.VersionSet{Era: 1, Versions: versionUses{"v1": unlogged, "v2": unlogged}},
			true,
		},
		{
			"nothing new", young,
			map[chestnutroad.SoftwareVersion]time.Duration{"v1": 0},
			versionSets(1, versionUses{"v1": unlogged}), 1, 1,
			resumption.VersionSet{Era: 1, Versions: versionUses{"v1": unlogged}},
			false,
		},
		{
			"second version joins", old,
			map[chestnutroad.SoftwareVersion]time.Duration{"v1": 0, "v2": old},
			versionSets(1, versionUses{"v1": unlogged}), 1, 1,
			resumption.VersionSet{Era: 1, Versions: versionUses{"v1": unlogged, "v2": joined}},
			true,
		},
		{
			"second version joins a fleet that has started", young,
			map[chestnutroad.SoftwareVersion]time.Duration{"v1": 0, "v2": 0},
			versionSets(1, versionUses{"v1": unlogged}), 1, 1,
			resumption.VersionSet{Era: 1, Versions: versionUses{"v1": unlogged, "v2": joined}},
			true,
		},
		{
			"second version is settled", old,
			map[chestnutroad.SoftwareVersion]time.Duration{"v1": 0, "v2": old - 5*time.Second},
			versionSets(1, versionUses{"v1": unlogged, "v2": logged}), 1, 1,
			resumption.VersionSet{Era: 1, Versions: versionUses{"v1": unlogged, "v2": unlogged}},
			true,
		},
		{
			"second version is settled, young host", resumption.Lifetime/2 - 1,
			map[chestnutroad.SoftwareVersion]time.Duration{"v1": 0, "v2": 0},
			versionSets(1, versionUses{"v1": unlogged, "v2": logged}), 1, 1,
			resumption.VersionSet{Era: 1, Versions: versionUses{"v1": unlogged, "v2": logged}},
			false,
		},
		{
			"first version has gone", old,
			map[chestnutroad.SoftwareVersion]time.Duration{"v2": 0},
			versionSets(1, versionUses{"v1": unlogged, "v2": unlogged}), 1, 1,
			resumption.VersionSet{Era: 1, Versions: versionUses{"v2": unlogged}},
			true,
		},
		{
			"first version may be missing in the list of a young host", young,
			map[chestnutroad.SoftwareVersion]time.Duration{"v2": 0},
			versionSets(1, versionUses{"v1": unlogged}), 1, 1,
			resumption.VersionSet{Era: 1, Versions: versionUses{"v1": unlogged, "v2": joined}},
			true,
		},
		{
			"restored store, host lived on", young,
			map[chestnutroad.SoftwareVersion]time.Duration{"v1": 0, "v2": 0},
			versionSets(1, versionUses{"v1": unlogged, "v2": logged}), 2, 1,
			resumption.VersionSet{Era: 2, Versions: versionUses{"v1": unlogged, "v2": unlogged}},
			true,
		},
		{
			"restored store, host started after that", young,
			map[chestnutroad.SoftwareVersion]time.Duration{"v1": 0, "v2": 0},
			versionSets(1, versionUses{"v1": unlogged}), 2, 2,
			resumption.VersionSet{Era: 1, Versions: versionUses{"v1": unlogged, "v2": unlogged}},
			true,
		},
		{
			"restored store, host started long after that", old,
			map[chestnutroad.SoftwareVersion]time.Duration{"v1": 0},
			versionSets(1, versionUses{"v1": unlogged}), 2, 2,
			resumption.VersionSet{Era: 2, Versions: versionUses{"v1": unlogged}},
			true,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := resumption.New()
			if tc.before != tc.era {
				tr.SetVersions(0, chestnutroad.Position{Era: tc.before, Offset: 3}, tc.held)
			}
			for _, version := range slices.Sorted(maps.Keys(tc.listed)) {
				for at := tc.listed[version]; at <= tc.now; at += time.Second {
					tr.Observe(at, service, version)
				}
				tr.Observe(tc.now, service, version)
			}
			tr.SetVersions(tc.now, chestnutroad.Position{Era: tc.era, Offset: 3}, tc.held)
			got, _, changed := tr.PlanVersions(tc.now, service)
			if !reflect.DeepEqual(got, tc.want) || changed != tc.changed {
				t.Errorf("got %+v, changed %t, want %+v, changed %t", got, changed, tc.want, tc.changed)
			}
		})
	}
}

// TestMayLack guards against a host that takes the list of targets for complete just after the store came back from an older copy, and against
// one that refuses streams without need.
func TestMayLack(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		now      time.Duration
		sets     map[chestnutroad.ServiceID]resumption.VersionSet
		storeEra chestnutroad.Era
		want     bool
	}{
		{"set of the era", time.Second, versionSets(2, versionUses{"v1": unlogged}), 2, false},
		{"set of an earlier era", time.Second, versionSets(1, versionUses{"v1": unlogged}), 2, true},
		{"set of an earlier era, targets are back", 4 * time.Second, versionSets(1, versionUses{"v1": unlogged}), 2, false},
		{"no set", time.Second, nil, 2, true},
		{"no set, first era", time.Second, nil, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := resumption.New()
			tr.Observe(0, service, "v1")
			tr.SetVersions(0, chestnutroad.Position{Era: tc.storeEra}, tc.sets)
			if got := tr.MayLack(tc.now, service); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
		})
	}
}

// TestNeedsLog guards against first events that wait for the log without need, and against ones that do not wait although the store states
// that all streams of the version are in the log.
func TestNeedsLog(t *testing.T) {
	t.Parallel()
	const now = time.Minute
	cases := []struct {
		name    string
		prepare func(tr *resumption.Tracker)
		want    bool
	}{
		{"one version, sets not known", func(*resumption.Tracker) {}, false},
		{"several versions, sets not known", func(tr *resumption.Tracker) { tr.Observe(now, service, "v1") }, true},
		{"logged", func(tr *resumption.Tracker) {
			tr.SetVersions(now, chestnutroad.Position{}, versionSets(0, versionUses{"v2": logged}))
		}, true},
		{"unlogged, several versions", func(tr *resumption.Tracker) {
			tr.Observe(now, service, "v1")
			tr.SetVersions(now, chestnutroad.Position{}, versionSets(0, versionUses{"v1": unlogged, "v2": unlogged}))
		}, false},
		{"unlogged, then gone and listed again", func(tr *resumption.Tracker) {
			tr.Observe(now, service, "v1")
			tr.SetVersions(now, chestnutroad.Position{}, versionSets(0, versionUses{"v1": unlogged, "v2": unlogged}))
			tr.Observe(now+resumption.Lifetime-time.Second, service, "v1")
			tr.Observe(now+resumption.Lifetime-time.Second, service, "v2")
		}, true},
		{"an earlier state arrives late", func(tr *resumption.Tracker) {
			tr.SetVersions(now, chestnutroad.Position{Offset: 2}, versionSets(0, versionUses{"v2": logged}))
			tr.SetVersions(now, chestnutroad.Position{Offset: 1}, versionSets(0, versionUses{"v2": unlogged}))
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := resumption.New()
			tr.Observe(now, service, "v2")
			tc.prepare(tr)
			if got := tr.NeedsLog(now+resumption.Lifetime-time.Second, service, "v2"); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
		})
	}
}

// TestContradictoryStarts guards against a stream that goes on at one of two versions at which it is said to have begun.
func TestContradictoryStarts(t *testing.T) {
	t.Parallel()
	tr := resumption.New()
	tr.Learn(time.Second, start(1, "v1"))
	tr.Learn(time.Second, start(1, "v2"))
	tr.Learn(time.Second, start(1, "v1"))
	got := tr.Decide(2*time.Second, service, 1, []chestnutroad.SoftwareVersion{"v1"})
	if want := (resumption.Decision{Basis: resumption.NeedsStarts}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// fleetModel is a store and hosts that are all lost from time to time, without a network.
type fleetModel struct {
	now     time.Duration
	listed  map[chestnutroad.SoftwareVersion]bool
	sets    map[chestnutroad.ServiceID]resumption.VersionSet
	at      chestnutroad.Position
	logged  map[resumption.StreamID]bool
	logEnd  chestnutroad.Offset
	host    *resumption.Tracker
	started time.Duration
	begun   map[resumption.StreamID]chestnutroad.SoftwareVersion
	beganAt map[resumption.StreamID]time.Duration
}

func (fm *fleetModel) elapsed() time.Duration { return fm.now - fm.started }

// observe lets the host read the list and the sets and write its own set.
func (fm *fleetModel) observe(write bool) {
	for version := range fm.listed {
		fm.host.Observe(fm.elapsed(), service, version)
	}
	fm.host.SetVersions(fm.elapsed(), fm.at, fm.sets)
	next, joined, changed := fm.host.PlanVersions(fm.elapsed(), service)
	if !changed || !write {
		return
	}
	for _, version := range joined {
		next.Versions[version] = resumption.VersionUse{State: resumption.Logged, LoggedFrom: fm.logEnd}
	}
	fm.sets, fm.at = map[chestnutroad.ServiceID]resumption.VersionSet{service: next}, fm.at.Add(1)
	fm.host.SetVersions(fm.elapsed(), fm.at, fm.sets)
}

// TestNoStreamGoesOnAtAnotherVersion guards against a wrong deduction after any series of joins, departures, losses of all hosts and
// lost writes to the log.
func TestNoStreamGoesOnAtAnotherVersion(t *testing.T) {
	t.Parallel()
	versions := []chestnutroad.SoftwareVersion{"v1", "v2", "v3"}
	rapid.Check(t, func(rt *rapid.T) {
		fm := &fleetModel{
			listed: map[chestnutroad.SoftwareVersion]bool{"v1": true}, logged: map[resumption.StreamID]bool{}, host: resumption.New(),
			begun: map[resumption.StreamID]chestnutroad.SoftwareVersion{}, beganAt: map[resumption.StreamID]time.Duration{},
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			fm.now += time.Duration(rapid.IntRange(10, 8000).Draw(rt, "pause")) * time.Millisecond
			version := versions[rapid.IntRange(0, len(versions)-1).Draw(rt, "version")]
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0:
				fm.listed[version] = true
			case 1:
				if len(fm.listed) > 1 {
					delete(fm.listed, version)
				}
			case 2:
				fm.host, fm.started = resumption.New(), fm.now
			}
			fm.observe(true)
			if !fm.listed[version] {
				continue
			}
			id := resumption.StreamID(len(fm.begun) + 1)
			fm.begun[id], fm.beganAt[id] = version, fm.now
			needsLog := fm.host.NeedsLog(fm.elapsed(), service, version)
			fm.host.Begin(fm.elapsed(), start(id, version))
			if fm.logEnd++; needsLog || rapid.Bool().Draw(rt, "logged") {
				fm.logged[id] = true
			}
			fm.check(rt)
		}
	})
}

// check lets a host that has just started, and one that lives on without its memory of starts, decide on all streams.
func (fm *fleetModel) check(rt *rapid.T) {
	young := &fleetModel{now: fm.now, listed: fm.listed, sets: fm.sets, at: fm.at, logEnd: fm.logEnd, host: resumption.New(), started: fm.now}
	for _, fleet := range []*fleetModel{fm, young} {
		fleet.observe(fleet == fm)
		possible := fleet.host.PossibleVersions(fleet.elapsed(), service, resumption.LogRange{})
		for id, version := range fm.begun {
			if fm.logged[id] || fm.now-fm.beganAt[id] >= resumption.Lifetime/2 {
				continue
			}
			if len(possible) == 1 && possible[0] != version {
				rt.Fatalf("stream %d of %s would go on at %s; sets %+v, listed %v", id, version, possible[0], fm.sets, fm.listed)
			}
		}
	}
}
