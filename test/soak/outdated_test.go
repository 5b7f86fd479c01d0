package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// applyTime is the time after the store's acknowledgement of a change within which all hosts must act on it.
	applyTime = 2 * time.Second
	// observeTime is the time after the acknowledgement for which calls are sent.
	observeTime = 3500 * time.Millisecond
	// settleTime is the time after which one host reads the store for all.
	settleTime = 2500 * time.Millisecond
)

// TestReaderOfTheStoreFails guards against hosts that go on using a revoked key or a leaving target for more than 2 s, because the
// host that reads the store for them is cut off from it, stopped, killed or frozen, or several of these one after the other. Each
// wait of the other hosts was short enough, and their sum was not.
func TestReaderOfTheStoreFails(t *testing.T) {
	t.Parallel()
	binary := buildHost(t)
	cases := []struct {
		name string
		// cut cuts the reader off from the store just before the change.
		cut bool
		// delay is the time from the change to the signal.
		delay  time.Duration
		signal syscall.Signal
	}{
		{"cut off", true, 0, 0},
		{"cut off and stopped", true, 1500 * time.Millisecond, syscall.SIGTERM},
		{"cut off and killed", true, 1500 * time.Millisecond, syscall.SIGKILL},
		{"cut off and frozen", true, 1500 * time.Millisecond, syscall.SIGSTOP},
		{"cut off and killed early", true, 700 * time.Millisecond, syscall.SIGKILL},
		{"stopped", false, 0, syscall.SIGTERM},
		{"killed", false, 0, syscall.SIGKILL},
		{"frozen", false, 0, syscall.SIGSTOP},
	}
	for index, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t, binary, byte(220+index))
			leaving, _, setState, err := tb.newRunner("i-leaving", "desk", dataCentre)
			if err != nil {
				t.Fatal(err)
			}
			setState("ready")
			tb.awaitReady()
			time.Sleep(settleTime)
			reader, others := tb.findReader()
			stop := tb.callWithRevocableKey(others)
			for end := time.Now().Add(5 * time.Second); len(leaving.Arrivals()) == 0 && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			if !reader.storeProxy.awaitListRead(5 * time.Second) {
				t.Fatal("no host reads the list of targets")
			}
			// The answer is still on its way to the host.
			time.Sleep(20 * time.Millisecond)
			reader.storeProxy.setFaults(0, tc.cut)
			setState("draining")
			tb.revoke()
			changed := time.Now()
			time.Sleep(tc.delay)
			if tc.signal != 0 {
				reader.signal(tc.signal, false)
			}
			time.Sleep(time.Until(changed.Add(observeTime)))
			checkTimes(t, "calls with the revoked key that were served", changed, stop())
			checkTimes(t, "requests at the leaving runner", changed, leaving.Arrivals())
		})
	}
}

// checkTimes requires that some of the times are before the change, and none more than applyTime after it.
func checkTimes(t *testing.T, what string, changed time.Time, times []time.Time) {
	t.Helper()
	early, late, last := 0, 0, time.Duration(0)
	for _, at := range times {
		after := at.Sub(changed)
		switch {
		case after < 0:
			early++
		case after > applyTime:
			late++
		}
		last = max(last, after)
	}
	t.Logf("%s: the last one came %s after the change", what, last)
	if early == 0 {
		t.Errorf("%s: none came before the change", what)
	}
	if late > 0 {
		t.Errorf("%s: %d came more than %s after the change", what, late, applyTime)
	}
}

// findReader returns the host that reads the list of targets, and the others.
func (tb *testbed) findReader() (reader *process, others []*process) {
	tb.t.Helper()
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for _, pr := range tb.hosts {
		waiting.Go(func() {
			reads := pr.storeProxy.awaitListRead(time.Second)
			mu.Lock()
			defer mu.Unlock()
			if reads {
				reader = pr
			} else {
				others = append(others, pr)
			}
		})
	}
	waiting.Wait()
	if len(others) != len(tb.hosts)-1 {
		tb.t.Fatalf("%d of %d hosts do not read the list of targets, want all but one", len(others), len(tb.hosts))
	}
	return reader, others
}

// callersPerHost is the number of concurrent callers, enough that each runner gets requests.
const callersPerHost = 4

// callWithRevocableKey sends calls with a revocable key to the hosts until the returned function is called, which returns when
// those that were served had been sent.
func (tb *testbed) callWithRevocableKey(hosts []*process) (stop func() []time.Time) {
	var mu sync.Mutex
	var served []time.Time
	var callers sync.WaitGroup
	done := make(chan struct{})
	for caller := range callersPerHost * len(hosts) {
		pr := hosts[caller%len(hosts)]
		callers.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				id := fmt.Sprintf("r-%d-%d", caller, number)
				tb.send(tb.t.Context(), http.DefaultClient, pr, "stock", id+"-valid", "k-2", shortBudget)
				ex := tb.send(tb.t.Context(), http.DefaultClient, pr, "stock", id, revocableKey(0), shortBudget)
				if ex.status == http.StatusOK {
					mu.Lock()
					served = append(served, ex.started)
					mu.Unlock()
				}
			}
		})
	}
	return func() []time.Time {
		close(done)
		callers.Wait()
		return served
	}
}
