package freshness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
)

const (
	// applyTime is the time after a change within which all hosts must have it, contactTime the time since the last fault on a host
	// from which on that holds for it.
	applyTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

// faults are what can happen to a host that reads the store for others.
var faults = []struct {
	name  string
	apply func(st *site, hs *host)
}{
	{"cut off from the store", func(_ *site, hs *host) { hs.storeCut = true }},
	{"cut off from other hosts", func(_ *site, hs *host) { hs.peersCut = true }},
	{"cut off from all", func(_ *site, hs *host) { hs.storeCut, hs.peersCut = true, true }},
	{"asked to stop", func(_ *site, hs *host) { hs.leaving = true }},
	{"killed", func(_ *site, hs *host) { hs.dead = true }},
	{"suspended", func(st *site, hs *host) {
		hs.suspendedUntil = st.now + 300*time.Millisecond + time.Duration(st.rnd.Int64N(int64(2*time.Second)))
	}},
	{"frozen", func(_ *site, hs *host) { hs.frozen = true }},
}

// TestReadersFail guards against a change that a host learns of too late, because the hosts that read the store for it fail, in
// any two ways one after the other and at any moment. Reads that wait may miss a record until their end.
func TestReadersFail(t *testing.T) {
	t.Parallel()
	cases := []struct{ dataCentres, hosts, seeds int }{{1, 3, 40}, {1, 12, 40}, {3, 12, 30}, {1, 130, 3}, {5, 130, 5}}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("%d hosts in %d data centres", tc.hosts, tc.dataCentres), func(t *testing.T) {
			t.Parallel()
			worst := time.Duration(0)
			for seed := range tc.seeds {
				worst = max(worst, checkReaderFaults(t, uint64(seed), tc.dataCentres, tc.hosts))
			}
			t.Logf("the longest time from a change to its arrival at a host was %s", worst)
		})
	}
}

// TestReadersFailAfterSuspension guards against a host that goes on after it was suspended and states an age of its reads that lacks
// the time of the suspension, and then fails before it has read again. The hosts that measure ages by a clock that stands still
// meanwhile are the baseline.
func TestReadersFailAfterSuspension(t *testing.T) {
	t.Parallel()
	cases := []struct {
		seed  uint64
		hosts int
		// lateInBaseline is true when a host of the baseline learns of a change too late.
		lateInBaseline bool
	}{{1330, 3, false}, {3211, 3, true}, {4004, 3, false}, {1203, 12, true}, {1384, 12, true}}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("seed %d with %d hosts", tc.seed, tc.hosts), func(t *testing.T) {
			t.Parallel()
			checkReaderFaults(t, tc.seed, 1, tc.hosts)
			baseline := newSite(tc.seed, 1, tc.hosts)
			baseline.agesStandStill = true
			if took, events := playReaderFaults(baseline); tc.lateInBaseline != (took > applyTime) {
				t.Errorf("baseline: a host learned of a change %s after it, late is %t: %v", took, tc.lateInBaseline, events)
			}
		})
	}
}

// checkReaderFaults requires that no host learns of a change too late, and returns the longest time that one took.
func checkReaderFaults(t *testing.T, seed uint64, dataCentres, hostCount int) time.Duration {
	t.Helper()
	took, events := playReaderFaults(newSite(seed, dataCentres, hostCount))
	if took > applyTime {
		t.Errorf("seed %d: a host learned of a change %s after it, want at most %s: %v", seed, took, applyTime, events)
	}
	return took
}

// playReaderFaults lets the readers of all data centres fail in two ways, and returns the longest time in which a host to which
// nothing happened learned of a change.
func playReaderFaults(st *site) (worst time.Duration, events []string) {
	st.changes = []change{{}}
	st.run(5 * time.Second)
	for round := range 3 {
		readers := st.readers()
		at := st.now + time.Duration(st.rnd.Int64N(int64(800*time.Millisecond)))
		st.changes = append(st.changes, change{at: at, missed: st.rnd.IntN(2) == 0})
		for range 2 {
			st.run(time.Duration(st.rnd.Int64N(int64(1600 * time.Millisecond))))
			fault := faults[st.rnd.IntN(len(faults))]
			for _, hs := range readers {
				fault.apply(st, hs)
			}
			events = append(events, fmt.Sprintf("round %d: %s %s after the change", round, fault.name, st.now-at))
		}
		st.run(at + applyTime + time.Second - st.now)
		worst = max(worst, st.learned(at))
		for _, hs := range readers {
			hs.storeCut, hs.peersCut, hs.frozen = false, false, false
		}
		st.run(contactTime)
	}
	return worst, events
}

// readers returns the hosts that read the store for others.
func (st *site) readers() []*host {
	var readers []*host
	for _, hs := range st.hosts {
		if hs.node.Relaying() && !hs.dead {
			readers = append(readers, hs)
		}
	}
	return readers
}

// learned returns the longest time in which a host that had no fault from contactTime before the last change on learned of it.
func (st *site) learned(at time.Duration) (worst time.Duration) {
	for _, hs := range st.hosts {
		if hs.troubledAt > at-contactTime {
			continue
		}
		for stream := range hs.held {
			worst = max(worst, hs.learnedAt(st, stream)-at)
		}
	}
	return worst
}

// TestDecide guards against a host that reads the store although its relay does, and against one that relies on a relay whose
// reads are too old, or on an announcement of state that it has not fetched.
func TestDecide(t *testing.T) {
	t.Parallel()
	const now = 10 * time.Second
	following := freshness.Status{Ready: true, RelayFound: true, RelayFresh: true}
	with := func(apply func(status *freshness.Status)) freshness.Status {
		status := following
		apply(&status)
		return status
	}
	held := freshness.Held{Version: 5, Position: chestnutroad.Position{Era: 1, Offset: 7}}
	newer := freshness.Held{Version: 6, Position: chestnutroad.Position{Era: 1, Offset: 7}}
	nextEra := freshness.Held{Version: 5, Position: chestnutroad.Position{Era: 2, Offset: 1}}
	cases := []struct {
		name                   string
		status                 freshness.Status
		announced              freshness.Held
		age                    time.Duration
		configuration, targets freshness.Reason
	}{
		{"relay has just read", following, held, 0, freshness.FollowsRelay, freshness.FollowsRelay},
		{"configuration too old", following, held, 1050 * time.Millisecond, freshness.TooOld, freshness.FollowsRelay},
		{"both too old", following, held, 1400 * time.Millisecond, freshness.TooOld, freshness.TooOld},
		{"newer configuration not fetched", following, newer, 0, freshness.TooOld, freshness.FollowsRelay},
		{"targets of the next era not fetched", following, nextEra, 0, freshness.FollowsRelay, freshness.TooOld},
		{
			"relay can't read", with(func(status *freshness.Status) { status.RelayFresh = false }), held, 0,
			freshness.RelayNotFresh, freshness.RelayNotFresh,
		},
		{
			"no relay", with(func(status *freshness.Status) { status.RelayFound = false }), held, 0,
			freshness.NoRelay, freshness.NoRelay,
		},
		{
			"fetch failed", with(func(status *freshness.Status) { status.FetchFailed = true }), held, 0,
			freshness.FetchFailed, freshness.FetchFailed,
		},
		{
			"relays itself",
			freshness.Status{Ready: true, Relaying: true},
			held, 0,
			freshness.Relaying, freshness.Relaying,
		},
		{
			"not ready", with(func(status *freshness.Status) { status.Ready = false }), held, 0,
			freshness.NotReady, freshness.NotReady,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tracker := freshness.New()
			announcement := freshness.Announcement{Held: tc.announced}
			announcement.ReadAt[freshness.Configuration], announcement.ReadAt[freshness.Targets] = now-tc.age, now-tc.age
			tracker.Announce(announcement)
			if got := tracker.Decide(now, freshness.Configuration, held, &tc.status); got != tc.configuration {
				t.Errorf("configuration: got %s, want %s", got, tc.configuration)
			}
			if got := tracker.Decide(now, freshness.Targets, held, &tc.status); got != tc.targets {
				t.Errorf("targets: got %s, want %s", got, tc.targets)
			}
		})
	}
}

// TestOwnAge guards against an age that a host learned from its relay and states as that of its own reads: two hosts would then
// confirm each other for ever.
func TestOwnAge(t *testing.T) {
	t.Parallel()
	tracker := freshness.New()
	held := freshness.Held{Version: 5}
	tracker.RecordRead(freshness.Targets, 3*time.Second)
	tracker.RecordRead(freshness.Targets, 2*time.Second)
	announcement := freshness.Announcement{Held: held}
	announcement.ReadAt[freshness.Targets] = 9 * time.Second
	tracker.Announce(announcement)
	if age := tracker.Age(10*time.Second, freshness.Targets, held); age != time.Second {
		t.Errorf("the copy is %s old, want 1s", age)
	}
	if age := tracker.OwnAge(10*time.Second, freshness.Targets); age != 7*time.Second {
		t.Errorf("the host's own read is %s old, want 7s", age)
	}
}

// TestEvacuationsConfirm guards against a host that relies on a relay's reads of the operators' stream although it does not have the
// evacuations that the relay has read, and against one that waits for them to follow the targets.
func TestEvacuationsConfirm(t *testing.T) {
	t.Parallel()
	tr := freshness.New()
	at := func(offset chestnutroad.Offset) chestnutroad.Position { return chestnutroad.Position{Offset: offset} }
	announcement := freshness.Announcement{Held: freshness.Held{Version: 1, Position: at(5), Evacuations: at(8)}}
	announcement.ReadAt[freshness.Configuration], announcement.ReadAt[freshness.Targets] = 900*time.Millisecond, 800*time.Millisecond
	tr.Announce(announcement)
	const now = time.Second
	behind := freshness.Held{Version: 1, Position: at(5), Evacuations: at(7)}
	if got := tr.Age(now, freshness.Configuration, behind); got != now {
		t.Errorf("without the evacuations the configuration is %s old, want %s", got, now)
	}
	if got := tr.Age(now, freshness.Targets, behind); got != 200*time.Millisecond {
		t.Errorf("the targets are %s old", got)
	}
	if got := tr.Age(now, freshness.Configuration, announcement.Held); got != 100*time.Millisecond {
		t.Errorf("with the evacuations the configuration is %s old", got)
	}
}
