package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const (
	// settleTime is the time in which hosts have read all records.
	settleTime = time.Second
	// storeDowntime is how long the store is storeDowntime in a drill.
	storeDowntime = 100 * time.Millisecond
	// copyAge is more than settled, so that the copy lacks what was written last.
	copyAge = 1200 * time.Millisecond
)

// TestOffsetsGivenOutAgain guards against records that are never read since the store gave their offsets out again below the
// one that a host goes on from: a target that joined is unknown, one that left stays, and a key that was taken away works.
func TestOffsetsGivenOutAgain(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// write writes so many records before the drill that the copy lacks, and more than those after it.
		before, after func(st *site, rn *standin.Runner)
		holds         func(ht *host) bool
	}{
		{
			"a target that joined",
			func(st *site, rn *standin.Runner) { st.rewriteEntry(rn, "desk") },
			func(st *site, rn *standin.Runner) {
				st.runner("i-2", "model").Events = 2
				st.rewriteEntry(rn, "desk")
			},
			func(ht *host) bool {
				return ht.call(ht.t.Context(), standin.Call{Method: http.MethodPost, Path: "/chat/x", ID: "c", Key: "k-1"}).status == http.StatusOK
			},
		},
		{
			"a target that left",
			func(st *site, rn *standin.Runner) { st.rewriteEntry(rn, "desk") },
			func(st *site, rn *standin.Runner) {
				st.store.PutTarget(rn.ID, "")
				st.rewriteEntry(st.runner("i-2", "model"), "model")
			},
			func(ht *host) bool { return stockStatus(ht, "k-1") == http.StatusServiceUnavailable },
		},
		{
			"a key that was taken away",
			func(st *site, _ *standin.Runner) {
				for version := 4; version < 7; version++ {
					st.store.Configure(version, 1, "k-1", "k-2")
				}
			},
			func(st *site, _ *standin.Runner) {
				for version := 6; version < 9; version++ {
					st.store.Configure(version, 1, "k-2")
				}
			},
			func(ht *host) bool { return stockStatus(ht, "k-1") == http.StatusUnauthorized },
		},
	}
	for _, tc := range cases {
		for _, followers := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s, %d followers", tc.name, followers), func(t *testing.T) {
				t.Parallel()
				st := newSite(t)
				st.store.Configure(3, 1, "k-1", "k-2")
				rn := st.runner("i-1", "desk")
				hosts := []*host{st.start("host-1", true)}
				for index := range followers {
					hosts = append(hosts, st.start(fmt.Sprintf("follower-%d", index), true))
				}
				time.Sleep(copyAge)
				tc.before(st, rn)
				time.Sleep(settleTime)
				st.store.Run(standin.Drill{Back: copyAge, Away: storeDowntime, Rewrite: -1})
				tc.after(st, rn)
				for _, ht := range hosts {
					ht.eventually(2*applyTimeout, "the record is read", func() bool { return tc.holds(ht) })
				}
			})
		}
	}
}

// rewrites is the number of entries with which a runner moves the end of the records past what hosts have read.
const rewrites = 3

// rewriteEntry has a runner write its entry some times.
func (st *site) rewriteEntry(rn *standin.Runner, service string) {
	for range rewrites {
		st.store.PutTarget(rn.ID, rn.Entry(service, "dc-a", "ready"))
	}
}

// TestConfigurationOfACopy guards against a host, or one that starts meanwhile, which goes back to the configuration of an
// older copy of the store: a key that was taken away works again until the operator has written the newer one.
func TestConfigurationOfACopy(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	before := []*host{st.start("host-1", true), st.start("host-2", true)}
	time.Sleep(copyAge)
	st.store.Configure(5, 1, "k-2")
	for _, ht := range before {
		ht.eventually(applyTimeout, "the key is refused", func() bool { return stockStatus(ht, "k-1") == http.StatusUnauthorized })
	}
	st.store.Run(standin.Drill{Back: copyAge, Away: storeDowntime, Rewrite: -1})
	hosts := slices.Concat(before, []*host{st.start("host-3", false)})
	served := false
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, ht := range hosts {
			if got := stockStatus(ht, "k-1"); got == http.StatusOK {
				t.Fatalf("%s serves a key that was taken away\n%s", ht.settings.ID, ht.log)
			}
		}
		served = served || stockStatus(hosts[2], "k-2") == http.StatusOK
	}
	if !served {
		t.Errorf("the host that started does not serve\n%s", hosts[2].log)
	}
}

// TestTargetsOfACopy guards against requests to a target that left or went before the drill, which the store's copy holds as
// ready, and against a service without targets since those that joined after the copy are missing in it.
func TestTargetsOfACopy(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		state string
		// joins has the second target register after the copy.
		joins   bool
		rewrite time.Duration
		// starts has another host start right after the drill; one that does learns of a target that has gone only when its
		// entry lapses.
		starts bool
	}{
		{"left", "draining", false, -1, true},
		{"gone", "", false, -1, false},
		{"joined", "draining", true, time.Second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			one := st.runner("i-1", "desk")
			register := func() *standin.Runner { return st.runner("i-2", "desk") }
			var two *standin.Runner
			if !tc.joins {
				two = register()
			}
			hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
			time.Sleep(copyAge)
			if tc.joins {
				two = register()
			}
			entry := ""
			if tc.state != "" {
				entry = one.Entry("desk", "dc-a", tc.state)
			}
			st.store.PutTarget("i-1", entry)
			time.Sleep(settleTime)
			st.store.Run(standin.Drill{Back: copyAge, Away: storeDowntime, Rewrite: tc.rewrite})
			if tc.starts {
				hosts = append(hosts, st.start("host-3", true))
				time.Sleep(settleTime)
			}
			before := len(one.Runs())
			for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for _, ht := range hosts {
					if got := stockStatus(ht, "k-1"); got != http.StatusOK {
						t.Fatalf("%s answers %d\n%s", ht.settings.ID, got, ht.log)
					}
				}
			}
			if again := len(one.Runs()) - before; again > 0 {
				t.Errorf("the target got %d requests after its end\n%s", again, hosts[0].log)
			}
			if len(two.Runs()) == 0 {
				t.Error("the other target got no request")
			}
		})
	}
}

// TestTargetWrittenAgainLate guards against a target that is never used again, since its entry was missing in the store's copy
// for longer than hosts wait and is then written again as it was.
func TestTargetWrittenAgainLate(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	hosts := []*host{st.start("host-1", false), st.start("host-2", false)}
	time.Sleep(copyAge)
	st.runner("i-1", "desk")
	for _, ht := range hosts {
		ht.eventually(applyTimeout, "the target is used", func() bool { return stockStatus(ht, "k-1") == http.StatusOK })
	}
	st.store.Run(standin.Drill{Back: copyAge, Away: storeDowntime, Rewrite: 5 * time.Second})
	for _, ht := range hosts {
		ht.eventually(4*time.Second, "the target is gone", func() bool { return stockStatus(ht, "k-1") == http.StatusServiceUnavailable })
	}
	for _, ht := range hosts {
		ht.eventually(5*time.Second, "the target is used again", func() bool { return stockStatus(ht, "k-1") == http.StatusOK })
	}
}

// TestRegisteredAgain guards against a host that is missing in the list of hosts for good after the store lost its entry, and
// against one that registers again and again.
func TestRegisteredAgain(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	time.Sleep(copyAge)
	hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
	time.Sleep(settleTime)
	st.store.Run(standin.Drill{Back: 2 * copyAge, Away: storeDowntime, Rewrite: 0})
	for _, ht := range hosts {
		ht.eventually(4*time.Second, "the host is registered", func() bool { return st.store.Registrations(string(ht.settings.ID)) > 0 })
	}
	time.Sleep(2 * time.Second)
	for _, ht := range hosts {
		if count := st.store.Registrations(string(ht.settings.ID)); count > 2 {
			t.Errorf("%s registered %d times", ht.settings.ID, count)
		}
	}
}

// TestErasOfNoUse guards against answers that are used although their era is no number or an earlier one, and against
// hosts that say nothing of it.
func TestErasOfNoUse(t *testing.T) {
	t.Parallel()
	cases := []struct{ name, era, line string }{
		{"no number", "x", "the store states the era"},
		{"below zero", "-1", "the store states the era"},
		{"an earlier one", "0", "the store's answer is of an earlier era"},
		{"left out", "", "the store's answer is of an earlier era"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			st.runner("i-1", "desk")
			time.Sleep(settleTime)
			st.store.Run(standin.Drill{Back: settleTime / 2, Rewrite: -1})
			ht := st.start("host-1", true)
			st.store.SetEra(tc.era)
			time.Sleep(settleTime)
			st.store.Configure(5, 1, "k-2")
			time.Sleep(2 * settleTime)
			if got := stockStatus(ht, "k-1"); got != http.StatusOK {
				t.Errorf("an answer of no use was used: %d", got)
			}
			if text := ht.log.String(); !strings.Contains(text, tc.line) || !strings.Contains(text, `"Level":"error"`) {
				t.Errorf("no line on it\n%s", text)
			}
			st.store.SetEra("1")
			ht.eventually(applyTimeout, "the key is refused", func() bool { return stockStatus(ht, "k-1") == http.StatusUnauthorized })
		})
	}
}
