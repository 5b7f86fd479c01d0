package soak

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const (
	// abandonTime is the time after which callers abandon a stream without events at the least.
	abandonTime = 2 * time.Second
	// lostStreams is the number of streams that each host has begun when it is lost.
	lostStreams = 6
)

// TestStreamsOfLostHostAreResumed guards against streams that no other host resumes, since the one at which they began stands still or has
// ended when the targets of a second software version join.
func TestStreamsOfLostHostAreResumed(t *testing.T) {
	t.Parallel()
	binary := buildHost(t)
	for index, signal := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGKILL} {
		// Each host in turn, so that one of them is the relay.
		for lost := range hostCount {
			t.Run(fmt.Sprintf("host %d, %s", lost, signal), func(t *testing.T) {
				t.Parallel()
				tb := newTestbed(t, binary, byte(230+hostCount*index+lost))
				tb.awaitReady()
				time.Sleep(settleTime)
				begun := tb.beginStreams(lost)
				time.Sleep(settleTime - abandonTime)
				tb.hosts[lost].signal(signal, false)
				tb.joinSecondVersion()
				time.Sleep(abandonTime)
				tb.checkResumable(begun, lost)
			})
		}
	}
}

// joinSecondVersion adds a runner of the model whose software has another version, which stays.
func (tb *testbed) joinSecondVersion() {
	tb.t.Helper()
	rn, _, setState, err := tb.newRunner("i-second", "model", dataCentre)
	if err != nil {
		tb.t.Fatal(err)
	}
	rn.Version, rn.Mark = "v2", secondMark
	setState("ready")
}

// beginStreams lets lostStreams streams run at a host and returns their ids. Their callers resume them after the first event as if
// they had got no other one.
func (tb *testbed) beginStreams(host int) (begun []string) {
	tb.t.Helper()
	for index := range lostStreams {
		id := fmt.Sprintf("b%d-%d", host, index)
		if ex := tb.send(tb.t.Context(), http.DefaultClient, tb.hosts[host], "chat", id, "k-1", longBudget); ex.status != http.StatusOK || ex.err != nil {
			tb.t.Fatalf("the stream did not begin: %+v", ex)
		}
		begun = append(begun, id)
	}
	return begun
}

// checkResumable resumes streams of the first software version at the hosts other than the lost one.
func (tb *testbed) checkResumable(begun []string, lost int) {
	tb.t.Helper()
	want := strings.TrimPrefix(strings.ReplaceAll(standin.Events(streamEvents), "\n\n", firstMark+"\n\n"),
		strings.ReplaceAll(standin.Event(1), "\n\n", firstMark+"\n\n"))
	for index, id := range begun {
		host := (lost + 1 + index%(hostCount-1)) % hostCount
		ex := tb.sendCall(tb.t.Context(), http.DefaultClient, tb.hosts[host], "chat", &standin.Call{
			ID: "again-" + id, Key: "k-1", Budget: longBudget, LastEvent: "1", Resumes: id,
		})
		if got := strings.ReplaceAll(ex.body, standin.Comment, ""); ex.status != http.StatusOK || ex.err != nil || got != want {
			tb.t.Errorf("%s at host %d: got status %d, error %v, body %q, want the rest of the stream", id, host, ex.status, ex.err, got)
		}
	}
}

// TestWokenHostDoesNotJoinVersions guards against a host that has stood still while a second software version joined, and resumes streams that
// began there at the first one.
func TestWokenHostDoesNotJoinVersions(t *testing.T) {
	t.Parallel()
	binary := buildHost(t)
	for frozen := range hostCount {
		for index, cut := range []bool{false, true} {
			t.Run(fmt.Sprintf("host %d, cut off from the store: %t", frozen, cut), func(t *testing.T) {
				t.Parallel()
				tb := newTestbed(t, binary, byte(240+2*frozen+index))
				tb.awaitReady()
				time.Sleep(settleTime)
				tb.hosts[frozen].signal(syscall.SIGSTOP, false)
				tb.joinSecondVersion()
				begun := tb.beginAtSecondVersion((frozen + 1) % hostCount)
				for other := range hostCount {
					if other != frozen {
						tb.hosts[other].signal(syscall.SIGSTOP, false)
					}
				}
				tb.hosts[frozen].storeProxy.setFaults(0, cut)
				tb.hosts[frozen].signal(syscall.SIGCONT, false)
				for _, id := range begun {
					ex := tb.sendCall(t.Context(), http.DefaultClient, tb.hosts[frozen], "chat", &standin.Call{
						ID: "again-" + id, Key: "k-1", Budget: longBudget, LastEvent: "1", Resumes: id,
					})
					if strings.Contains(ex.body, firstMark) {
						t.Errorf("%s went on at the first version: %+v", id, ex)
					}
				}
			})
		}
	}
}

// beginAtSecondVersion begins streams at a host until lostStreams of them have run at the second version, and returns the ids of these.
func (tb *testbed) beginAtSecondVersion(host int) (begun []string) {
	tb.t.Helper()
	for index := 0; len(begun) < lostStreams; index++ {
		id := fmt.Sprintf("s%d", index)
		ex := tb.send(tb.t.Context(), http.DefaultClient, tb.hosts[host], "chat", id, "k-1", longBudget)
		if strings.Contains(ex.body, secondMark) {
			begun = append(begun, id)
		}
		if index > 100 {
			tb.t.Fatalf("%d of %d streams began at the second version", len(begun), index)
		}
	}
	return begun
}

// TestStreamsOutliveAllHosts guards against streams that are refused, or go on at another software version, after all hosts were lost at the
// same time around the moment at which a second version joins.
func TestStreamsOutliveAllHosts(t *testing.T) {
	t.Parallel()
	const pause = time.Second
	binary := buildHost(t)
	cases := []struct {
		name string
		// disrupt kills all hosts and lets the second version join. It returns streams that began at the second version meanwhile.
		disrupt func(tb *testbed) (second []string)
	}{
		{"version joins while no host runs", func(tb *testbed) []string {
			tb.killHosts()
			tb.joinSecondVersion()
			tb.startHosts()
			return nil
		}},
		{"version joins just before", func(tb *testbed) []string {
			tb.joinSecondVersion()
			tb.killHosts()
			tb.startHosts()
			return nil
		}},
		{"version was listed before", func(tb *testbed) []string {
			tb.joinSecondVersion()
			second := tb.beginAtSecondVersion(1)
			tb.killHosts()
			tb.startHosts()
			return second
		}},
		{"version was listed for longer", func(tb *testbed) []string {
			tb.joinSecondVersion()
			time.Sleep(settleTime)
			second := tb.beginAtSecondVersion(1)
			time.Sleep(pause)
			tb.killHosts()
			tb.startHosts()
			return second
		}},
		{"version joins after", func(tb *testbed) []string {
			tb.killHosts()
			tb.startHosts()
			tb.joinSecondVersion()
			return nil
		}},
		{"lost twice", func(tb *testbed) []string {
			tb.killHosts()
			tb.joinSecondVersion()
			tb.startHosts()
			second := tb.beginAtSecondVersion(1)
			tb.killHosts()
			tb.startHosts()
			return second
		}},
		{"lost for longer", func(tb *testbed) []string {
			tb.killHosts()
			time.Sleep(5 * pause)
			tb.joinSecondVersion()
			tb.startHosts()
			return nil
		}},
		{"store down at the start", func(tb *testbed) []string {
			tb.killHosts()
			tb.joinSecondVersion()
			tb.store.SetFault(standin.Busy)
			time.AfterFunc(2*pause, func() { tb.store.SetFault(standin.Healthy) })
			tb.startHosts()
			return nil
		}},
		{"store forgets its history", func(tb *testbed) []string {
			tb.joinSecondVersion()
			time.Sleep(settleTime)
			second := tb.beginAtSecondVersion(1)
			tb.killHosts()
			tb.startHosts()
			time.Sleep(pause)
			tb.store.Compact()
			return second
		}},
	}
	for index, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t, binary, byte(165+index))
			tb.awaitReady()
			time.Sleep(settleTime)
			first := tb.beginStreams(0)
			time.Sleep(pause)
			second := tc.disrupt(tb)
			time.Sleep(settleTime)
			tb.checkResumable(first, 0)
			for _, id := range second {
				ex := tb.sendCall(t.Context(), http.DefaultClient, tb.hosts[0], "chat", &standin.Call{
					ID: "again-" + id, Key: "k-1", Budget: longBudget, LastEvent: "1", Resumes: id,
				})
				if ex.status != http.StatusOK || strings.Contains(ex.body, firstMark) {
					t.Errorf("%s did not go on at the second version: %+v", id, ex)
				}
			}
		})
	}
}

// killHosts kills all hosts at the same time.
func (tb *testbed) killHosts() {
	for _, pr := range tb.hosts {
		pr.signal(syscall.SIGKILL, false)
	}
	for _, pr := range tb.hosts {
		<-pr.exited
	}
}

// startHosts starts all hosts after they were killed and waits until they are ready.
func (tb *testbed) startHosts() {
	for _, pr := range tb.hosts {
		pr.start()
	}
	tb.awaitReady()
}

// TestRestoredStoreDoesNotJoinVersions guards against streams that go on at the only version in the list of targets after all hosts were lost, while
// a store that came back from an older copy has lost the entry, and all other traces, of the version at which they began.
func TestRestoredStoreDoesNotJoinVersions(t *testing.T) {
	t.Parallel()
	binary := buildHost(t)
	for index, second := range []bool{true, false} {
		t.Run(fmt.Sprintf("second version joined: %t", second), func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t, binary, byte(160+index))
			tb.awaitReady()
			time.Sleep(settleTime)
			first, joinedAt := tb.beginStreams(0), time.Now()
			var lost []string
			if second {
				tb.joinSecondVersion()
				lost = tb.beginAtSecondVersion(1)
			}
			tb.killHosts()
			tb.store.Restore(standin.RestorePlan{
				BackupAge: time.Since(joinedAt) + 100*time.Millisecond, Downtime: time.Second, RewriteTime: 3 * time.Second / 2,
			})
			tb.startHosts()
			for _, id := range lost {
				ex := tb.sendCall(t.Context(), http.DefaultClient, tb.hosts[0], "chat", &standin.Call{
					ID: "again-" + id, Key: "k-1", Budget: longBudget, LastEvent: "1", Resumes: id,
				})
				if strings.Contains(ex.body, firstMark) {
					t.Errorf("%s went on at the first version: %+v", id, ex)
				}
			}
			time.Sleep(2 * settleTime)
			if !second {
				tb.checkResumable(first, 0)
			}
		})
	}
}
