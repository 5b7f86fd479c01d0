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
	// settleTime is the time within which hosts have read all records.
	settleTime = time.Second
	// storeDowntime is how long the store is down while it is restored.
	storeDowntime = 100 * time.Millisecond
	// copyAge is longer than settleTime, so that the copy lacks the last writes.
	copyAge = 1200 * time.Millisecond
)

// TestReusedOffsets guards against records that are never read: after a restore from an older copy the store assigns offsets
// again, below the one at which a host resumes. A target that joined would be missing, one that left would still be used, and
// a revoked key would still work.
func TestReusedOffsets(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// before writes records before the restore that the copy lacks, after writes more records than that after it.
		before, after func(st *site, rn *standin.Runner)
		applied       func(ht *host) bool
	}{
		{
			"target joined",
			func(st *site, rn *standin.Runner) { st.rewriteEntry(rn, "desk") },
			func(st *site, rn *standin.Runner) {
				st.runner("i-2", "model").Events = 2
				st.rewriteEntry(rn, "desk")
			},
			func(ht *host) bool {
				return ht.call(ht.t.Context(), standin.Call{
					Method: http.MethodPost, Path: "/chat/x", ID: "c", Key: "k-1",
				}).status == http.StatusOK
			},
		},
		{
			"target left",
			func(st *site, rn *standin.Runner) { st.rewriteEntry(rn, "desk") },
			func(st *site, rn *standin.Runner) {
				st.store.PutTarget(rn.ID, "")
				st.rewriteEntry(st.runner("i-2", "model"), "model")
			},
			func(ht *host) bool { return stockStatus(ht, "k-1") == http.StatusServiceUnavailable },
		},
		{
			"key revoked",
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
				st.store.Restore(standin.RestorePlan{BackupAge: copyAge, Downtime: storeDowntime, RewriteTime: -1})
				tc.after(st, rn)
				for _, ht := range hosts {
					ht.eventually(2*applyTimeout, "the last record is applied", func() bool { return tc.applied(ht) })
				}
			})
		}
	}
}

// rewrites is the number of records that rewriteEntry appends, enough to move the end of the stream past the position of
// the hosts.
const rewrites = 3

// rewriteEntry writes the entry of a runner several times.
func (st *site) rewriteEntry(rn *standin.Runner, service string) {
	for range rewrites {
		st.store.PutTarget(rn.ID, rn.Entry(service, "dc-a", "ready"))
	}
}

// TestConfigurationAfterRestore guards against a running or starting host that goes back to the configuration of an older copy
// of the store: a revoked key would work again until the operator has written the newer configuration.
func TestConfigurationAfterRestore(t *testing.T) {
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
	st.store.Restore(standin.RestorePlan{BackupAge: copyAge, Downtime: storeDowntime, RewriteTime: -1})
	hosts := slices.Concat(before, []*host{st.start("host-3", false)})
	served := false
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, ht := range hosts {
			if got := stockStatus(ht, "k-1"); got == http.StatusOK {
				t.Fatalf("%s serves a revoked key\n%s", ht.settings.ID, ht.log)
			}
		}
		served = served || stockStatus(hosts[2], "k-2") == http.StatusOK
	}
	if !served {
		t.Errorf("the host started after the restore does not serve\n%s", hosts[2].log)
	}
}

// TestTargetsAfterRestore guards against requests to a target that left or was removed before a restore of the store, whose
// older copy lists it as ready. It also guards against a service without targets, since those that joined after the copy was
// made are missing in it.
func TestTargetsAfterRestore(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		state string
		// joins registers the second target after the copy was made.
		joins   bool
		rewrite time.Duration
		// starts starts another host right after the restore; such a host learns of a removed target only when the target's
		// entry expires.
		starts bool
	}{
		{"left", "draining", false, -1, true},
		{"removed", "", false, -1, false},
		{"joined", "draining", true, time.Second, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			first := st.runner("i-1", "desk")
			register := func() *standin.Runner { return st.runner("i-2", "desk") }
			var second *standin.Runner
			if !tc.joins {
				second = register()
			}
			hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
			time.Sleep(copyAge)
			if tc.joins {
				second = register()
			}
			entry := ""
			if tc.state != "" {
				entry = first.Entry("desk", "dc-a", tc.state)
			}
			st.store.PutTarget("i-1", entry)
			time.Sleep(settleTime)
			st.store.Restore(standin.RestorePlan{BackupAge: copyAge, Downtime: storeDowntime, RewriteTime: tc.rewrite})
			if tc.starts {
				hosts = append(hosts, st.start("host-3", true))
				time.Sleep(settleTime)
			}
			before := len(first.Runs())
			for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				for _, ht := range hosts {
					if got := stockStatus(ht, "k-1"); got != http.StatusOK {
						t.Fatalf("%s answers with status %d\n%s", ht.settings.ID, got, ht.log)
					}
				}
			}
			if again := len(first.Runs()) - before; again > 0 {
				t.Errorf("the target got %d requests after it left\n%s", again, hosts[0].log)
			}
			if len(second.Runs()) == 0 {
				t.Error("the other target got no request")
			}
		})
	}
}

// TestLateRewrite guards against a target that is never used again. Its entry is missing after a restore of the store for
// longer than hosts wait, and is then written again unchanged.
func TestLateRewrite(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	hosts := []*host{st.start("host-1", false), st.start("host-2", false)}
	time.Sleep(copyAge)
	st.runner("i-1", "desk")
	for _, ht := range hosts {
		ht.eventually(applyTimeout, "the target is used", func() bool { return stockStatus(ht, "k-1") == http.StatusOK })
	}
	st.store.Restore(standin.RestorePlan{BackupAge: copyAge, Downtime: storeDowntime, RewriteTime: 5 * time.Second})
	for _, ht := range hosts {
		ht.eventually(4*time.Second, "the target is removed", func() bool {
			return stockStatus(ht, "k-1") == http.StatusServiceUnavailable
		})
	}
	for _, ht := range hosts {
		ht.eventually(5*time.Second, "the target is used again", func() bool { return stockStatus(ht, "k-1") == http.StatusOK })
	}
}

// TestHostReregisters guards against a host that stays missing in the list of hosts after the store lost its entry, and against
// one that registers repeatedly.
func TestHostReregisters(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	time.Sleep(copyAge)
	hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
	time.Sleep(settleTime)
	st.store.Restore(standin.RestorePlan{BackupAge: 2 * copyAge, Downtime: storeDowntime, RewriteTime: 0})
	for _, ht := range hosts {
		ht.eventually(4*time.Second, "the host is registered", func() bool {
			return st.store.Registrations(string(ht.settings.ID)) > 0
		})
	}
	time.Sleep(2 * time.Second)
	for _, ht := range hosts {
		if count := st.store.Registrations(string(ht.settings.ID)); count > 2 {
			t.Errorf("%s registered %d times", ht.settings.ID, count)
		}
	}
}

// TestInvalidEras guards against using answers whose era is not a number or an earlier one, and against hosts that don't log
// them.
func TestInvalidEras(t *testing.T) {
	t.Parallel()
	cases := []struct{ name, era, line string }{
		{"not a number", "x", "the store states the era"},
		{"negative", "-1", "the store states the era"},
		{"earlier", "0", "the store's answer is of an earlier era"},
		{"missing", "", "the store's answer is of an earlier era"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			st.runner("i-1", "desk")
			time.Sleep(settleTime)
			st.store.Restore(standin.RestorePlan{BackupAge: settleTime / 2, RewriteTime: -1})
			ht := st.start("host-1", true)
			st.store.SetEra(tc.era)
			time.Sleep(settleTime)
			st.store.Configure(5, 1, "k-2")
			time.Sleep(2 * settleTime)
			if got := stockStatus(ht, "k-1"); got != http.StatusOK {
				t.Errorf("an answer with an invalid era was used: status %d", got)
			}
			if text := ht.log.String(); !strings.Contains(text, tc.line) || !strings.Contains(text, `"Level":"error"`) {
				t.Errorf("no log line with %q at level error\n%s", tc.line, text)
			}
			st.store.SetEra("1")
			ht.eventually(applyTimeout, "the key is refused", func() bool { return stockStatus(ht, "k-1") == http.StatusUnauthorized })
		})
	}
}
