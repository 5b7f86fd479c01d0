package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// ciSeeds are the seeds that run in CI. Add each seed that has failed, with a line on its cause.
var ciSeeds = []uint64{
	1, 2,
	// A proxy forwarded data after it had discarded earlier data of the connection.
	5001,
}

const (
	// seedsVariable is the environment variable with the first seed and the number of seeds of a longer soak, such as "100:50".
	seedsVariable = "SOAK_SEEDS"
	faultDuration = 6 * time.Second
	// recoveryTime is the time without faults in which the hosts recover before the final checks.
	recoveryTime = 6 * time.Second
	// convergenceTime is the time after the last fault within which the hosts must apply the newest records of the store, including
	// those that operators and targets write again after a restore.
	convergenceTime = 3500 * time.Millisecond
	callerCount     = 6
	callTimeout     = 5 * time.Second
	// shortBudget is the time budget of calls that a fault may hold up, longBudget that of calls that must not end early.
	shortBudget = 1500 * time.Millisecond
	longBudget  = 3 * time.Second
)

// exchange is a call and its answer.
type exchange struct {
	id, kind string
	status   int
	// answeredID is the id of the call to which the answer belongs according to its headers.
	answeredID string
	body       string
	err        error
	// earlier are the events of a resumed stream that came before, and begun the call that brought the first of them.
	earlier, begun string
	// key is the key of the call, host the index of the called host, and incarnation that of its process; it is zero when the
	// process was replaced during the call.
	key            string
	host           int
	incarnation    int64
	started, ended time.Time
}

// TestSoak guards against violated guarantees under overlapping faults of hosts, connections, runners and the store: an order
// that runs twice, a refusal of a call that ran, an answer that belongs to another call, a partial answer that looks complete, a
// stream with events of two software versions, a valid key that is refused, a revoked key that is accepted, a request to an evacuated data
// centre, a plain call that ran and got no answer although its host was not killed, requests to a removed runner, and hosts that do not
// recover.
func TestSoak(t *testing.T) {
	t.Parallel()
	binary := buildHost(t)
	for index, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, seed, byte(100+index%100))
		})
	}
}

// seeds returns the seeds in seedsVariable, or ciSeeds if it is not set.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	first, count, found := strings.Cut(os.Getenv(seedsVariable), ":")
	if !found {
		return ciSeeds
	}
	start, startErr := strconv.ParseUint(first, 10, 64)
	size, sizeErr := strconv.ParseUint(count, 10, 64)
	if startErr != nil || sizeErr != nil {
		t.Fatalf("%s is %q, want FIRST:COUNT", seedsVariable, os.Getenv(seedsVariable))
	}
	list := make([]uint64, 0, size)
	for seed := start; seed < start+size; seed++ {
		list = append(list, seed)
	}
	return list
}

// runSeed runs callers and the faults of a seed against a new testbed and checks the outcome. The number selects the loopback
// addresses of its hosts.
func runSeed(t *testing.T, binary string, seed uint64, number byte) {
	t.Helper()
	tb := newTestbed(t, binary, number)
	tb.awaitReady()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var exchanges []exchange
	var running sync.WaitGroup
	for caller := range callerCount {
		running.Go(func() {
			for _, ex := range tb.runCaller(ctx, rand.New(rand.NewPCG(seed, uint64(caller+10))), caller) {
				mu.Lock()
				exchanges = append(exchanges, ex)
				mu.Unlock()
			}
		})
	}
	tb.injectFaults(rand.New(rand.NewPCG(seed, 1)))
	faultsEnded := time.Now()
	time.Sleep(recoveryTime)
	cancel()
	running.Wait()
	tb.checkAnswers(exchanges)
	tb.checkPlannedStops(exchanges)
	tb.checkKeys(exchanges, faultsEnded.Add(convergenceTime))
	tb.checkRemovedRunners(faultsEnded.Add(convergenceTime))
	tb.checkEvacuations(faultsEnded.Add(convergenceTime))
	tb.checkRecovered()
}

// awaitReady waits until each host serves a call; the test fails after 10 s without an answer from one of them.
func (tb *testbed) awaitReady() {
	tb.t.Helper()
	for _, pr := range tb.hosts {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			ex := tb.send(tb.t.Context(), http.DefaultClient, pr, "stock", "ready-"+pr.address.String(), "k-1", shortBudget)
			if ex.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				tb.t.Fatalf("%s does not serve after 10 s: %+v", pr.address, ex)
			}
		}
	}
}

// kinds are the kinds of calls. A kind that is listed twice is sent twice as often.
var kinds = []string{"order", "order", "stock", "chat", "chat", "once"}

// runCaller sends calls of random kinds to random hosts, one after the other over keep-alive connections, until ctx ends. A
// quarter of them have a revocable key.
func (tb *testbed) runCaller(ctx context.Context, rnd *rand.Rand, caller int) []exchange {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var exchanges []exchange
	for index := 0; ctx.Err() == nil; index++ {
		kind := kinds[rnd.IntN(len(kinds))]
		host, key := rnd.IntN(len(tb.hosts)), "k-1"
		if rnd.IntN(4) == 0 {
			key = revocableKey(rnd.IntN(revocableKeyCount))
		}
		pr := tb.hosts[host]
		incarnation := pr.incarnation.Load()
		ex := tb.send(ctx, client, pr, kind, fmt.Sprintf("c%d-%d", caller, index), key, shortBudget)
		if ex.host = host; pr.incarnation.Load() == incarnation {
			ex.incarnation = incarnation
		}
		exchanges = append(exchanges, ex)
		for try := 0; try < maxResumptions && ex.mayResume() && ctx.Err() == nil; try++ {
			time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
			ex = tb.resume(ctx, client, rnd.IntN(len(tb.hosts)), fmt.Sprintf("c%d-%d-%d", caller, index, try), &ex)
			exchanges = append(exchanges, ex)
		}
		time.Sleep(time.Duration(rnd.IntN(30)) * time.Millisecond)
	}
	return exchanges
}

// maxResumptions is the number of times that a caller tries to resume a stream.
const maxResumptions = 4

// events returns the complete events of the stream that the caller has so far.
func (ex *exchange) events() string {
	text := strings.ReplaceAll(ex.earlier+ex.body, standin.Comment, "")
	if ex.status != http.StatusOK {
		text = ex.earlier
	}
	return text[:strings.LastIndex("\n\n"+text, "\n\n")]
}

// mayResume reports whether the call is a stream that broke off after its first event and may be resumed.
func (ex *exchange) mayResume() bool {
	return ex.kind == "chat" && strings.Contains(ex.events(), "id: ") && (ex.err != nil || ex.status != http.StatusOK)
}

// resume continues a stream at a host.
func (tb *testbed) resume(ctx context.Context, client *http.Client, host int, id string, broken *exchange) exchange {
	pr, events, begun := tb.hosts[host], broken.events(), broken.begun
	if begun == "" {
		begun = broken.id
	}
	incarnation := pr.incarnation.Load()
	ex := tb.sendCall(ctx, client, pr, broken.kind, &standin.Call{
		ID: id, Key: broken.key, Budget: shortBudget, LastEvent: strconv.Itoa(strings.Count(events, "id: ")), Resumes: begun,
	})
	if ex.host = host; pr.incarnation.Load() == incarnation {
		ex.incarnation = incarnation
	}
	ex.earlier, ex.begun = events, begun
	return ex
}

// send sends one call to a host and returns it with its answer or error.
func (tb *testbed) send(ctx context.Context, client *http.Client, pr *process, kind, id, key string, budget time.Duration) exchange {
	return tb.sendCall(ctx, client, pr, kind, &standin.Call{ID: id, Key: key, Budget: budget})
}

// sendCall completes a call of a kind, whose body and prefix may be set, and sends it to a host.
func (tb *testbed) sendCall(ctx context.Context, client *http.Client, pr *process, kind string, call *standin.Call) (ex exchange) {
	ex = exchange{id: call.ID, kind: kind, key: call.Key, started: time.Now()}
	defer func() { ex.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call.Method, call.Path = http.MethodPost, "/"+kind+"/x"
	call.Body, call.Prefix = cmp.Or(call.Body, call.ID), cmp.Or(call.Prefix, "a:10,b:20")
	req, err := standin.NewRequest(ctx, fmt.Sprintf("%s:%d", pr.address, callerPort), call)
	if err != nil {
		ex.err = err
		return ex
	}
	// Without GetBody the HTTP client does not retry a call.
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		ex.err = err
		return ex
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	ex.status, ex.body, ex.err = resp.StatusCode, string(body), err
	ex.answeredID = string(platform.Wire{}.ReadAnswer(resp.StatusCode, resp.Header).ID)
	return ex
}

// stopSignals are the signals that may follow a SIGTERM.
var stopSignals = []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}

// injectFaults starts random faults for faultDuration, also while earlier ones last, and waits until all of them have ended.
func (tb *testbed) injectFaults(rnd *rand.Rand) {
	var active sync.WaitGroup
	behaviours := []standin.Behaviour{
		standin.Refuse, standin.FailRun, standin.Cut, standin.ServeTwice, standin.Encode, standin.NoReceipt,
		standin.Unframed, standin.Hang, standin.BusyWithoutNotRun,
		standin.ServeLate, standin.Dribble, standin.EndlessHeader, standin.EndlessBody, standin.EndlessMismatch,
	}
	limits := []string{"2", "20", "0", "many"}
	coldTexts := []string{"-1", "soon", "1e9"}
	storeFaults := []standin.Fault{standin.Busy, standin.Silent, standin.Resets, standin.LosesAnswers, standin.Garbage}
	for end := time.Now().Add(faultDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(100+rnd.IntN(500)) * time.Millisecond)
		pr, runnerProxy := tb.hosts[rnd.IntN(len(tb.hosts))], tb.runnerProxies[rnd.IntN(len(tb.runnerProxies))]
		span := time.Duration(200+rnd.IntN(1300)) * time.Millisecond
		behaviour, fault := behaviours[rnd.IntN(len(behaviours))], storeFaults[rnd.IntN(len(storeFaults))]
		runner, limit := tb.runners[rnd.IntN(len(tb.runners))], limits[rnd.IntN(len(limits))]
		coldText := coldTexts[rnd.IntN(len(coldTexts))]
		plan := standin.RestorePlan{
			BackupAge: time.Duration(300+rnd.IntN(3000)) * time.Millisecond, Downtime: time.Duration(rnd.IntN(400)) * time.Millisecond,
			RewriteTime: time.Duration(rnd.IntN(1200)) * time.Millisecond,
		}
		repeated := make([]syscall.Signal, 1+rnd.IntN(6))
		for index := range repeated {
			repeated[index] = stopSignals[rnd.IntN(len(stopSignals))]
		}
		gap, grace := span/time.Duration(1+rnd.IntN(20)), time.Duration(3000+rnd.IntN(2000))*time.Millisecond
		faults := []func(){
			func() { pr.signal(syscall.SIGKILL, true) },
			func() { pr.signal(syscall.SIGTERM, true) },
			func() { pr.signal(syscall.SIGHUP, false) },
			func() { pr.restartWith(gap, repeated) },
			func() { pr.restartWith(gap, repeated); tb.revoke(); pr.restartWith(0, repeated) },
			func() { pr.setGrace(grace); pr.restartWith(gap, repeated) },
			func() { active.Go(func() { pr.restartWith(gap, repeated) }); pr.setGrace(grace); tb.revoke() },
			func() {
				for _, other := range tb.hosts {
					active.Go(func() { other.restartWith(gap, repeated) })
					time.Sleep(span / 2)
					tb.revoke()
				}
			},
			func() {
				pr.signal(syscall.SIGSTOP, false)
				time.Sleep(span)
				pr.signal(syscall.SIGCONT, false)
			},
			func() {
				runnerProxy.setFaults(50*time.Millisecond, false)
				time.Sleep(span)
				runnerProxy.setFaults(0, false)
			},
			func() {
				runnerProxy.setFaults(0, true)
				time.Sleep(span)
				runnerProxy.setFaults(0, false)
				runnerProxy.reset()
			},
			runnerProxy.reset,
			pr.storeProxy.reset,
			func() {
				pr.storeProxy.setFaults(0, true)
				time.Sleep(span)
				pr.storeProxy.setFaults(0, false)
				pr.storeProxy.reset()
			},
			tb.revoke,
			func() { tb.addTemporaryRunner(span, span/2) },
			func() { tb.addSecondVersion(span, span/2) },
			func() { tb.addSecondVersion(4*span, span); tb.addSecondVersion(span, span) },
			func() {
				for _, other := range tb.hosts {
					active.Go(func() { other.signal(syscall.SIGKILL, true) })
				}
			},
			func() { tb.evacuateRunner(span, 0) },
			func() { tb.evacuateRunner(span/2, span) },
			func() { tb.store.Restore(plan) },
			func() { tb.revoke(); tb.store.Restore(plan); tb.store.Restore(plan) },
			func() { active.Go(func() { tb.store.Restore(plan) }); pr.signal(syscall.SIGKILL, true) },
			func() {
				active.Go(func() { tb.addTemporaryRunner(span/4, span/4) })
				time.Sleep(span / 2)
				tb.store.Restore(plan)
			},
			func() { tb.store.SetFault(fault); time.Sleep(span); tb.store.SetFault(standin.Healthy) },
			func() { tb.store.Compact() },
			func() { runner.SetDefault(behaviour); time.Sleep(span); runner.SetDefault(standin.Serve) },
			func() { runner.SetNext(behaviour, behaviour) },
			func() { runner.SetLimit(limit); time.Sleep(span); runner.SetLimit("") },
			func() { runner.SetCold(span) },
			func() { runner.SetInvalidCold(coldText); time.Sleep(span); runner.SetInvalidCold("") },
		}
		inject := faults[rnd.IntN(len(faults))]
		active.Go(inject)
	}
	active.Wait()
	for _, pr := range tb.hosts {
		pr.signal(syscall.SIGCONT, false)
	}
}

// checkAnswers compares the answers that callers got with the calls that the runners ran.
func (tb *testbed) checkAnswers(exchanges []exchange) {
	tb.t.Helper()
	runs := map[string]int{}
	for _, rn := range tb.allRunners {
		for _, run := range rn.Runs() {
			runs[run.ID]++
			if run.Body != run.ID {
				tb.t.Errorf("%s ran with the body %q", run.ID, run.Body)
			}
		}
	}
	served, resumed, continued := 0, 0, 0
	for _, ex := range exchanges {
		if events := ex.events(); strings.Contains(events, firstMark) && strings.Contains(events, secondMark) {
			tb.t.Errorf("%s %s, begun as %q, got events of two software versions: %q", ex.kind, ex.id, ex.begun, events)
		}
		if ex.begun != "" {
			resumed++
		}
		atMostOnce := ex.kind == "order" || ex.kind == "once"
		if atMostOnce && runs[ex.id] > 1 {
			tb.t.Errorf("%s %s ran %d times, want at most once", ex.kind, ex.id, runs[ex.id])
		}
		refused := ex.status == http.StatusServiceUnavailable || ex.status == http.StatusTooManyRequests
		if atMostOnce && refused && runs[ex.id] > 0 {
			tb.t.Errorf("%s %s was refused although it ran", ex.kind, ex.id)
		}
		if ex.err != nil || ex.status != http.StatusOK {
			continue
		}
		served++
		if ex.answeredID != ex.id {
			tb.t.Errorf("%s %s got the answer to %q", ex.kind, ex.id, ex.answeredID)
		}
		complete := strings.HasPrefix(ex.body, "answer of i-")
		if ex.kind == "chat" || ex.kind == "once" {
			// Comments between events are not part of the answer.
			events := strings.ReplaceAll(ex.earlier+ex.body, standin.Comment, "")
			complete = withoutMarks(events) == standin.Events(streamEvents)
		}
		if ex.begun != "" {
			continued++
		}
		if !complete {
			tb.t.Errorf("%s %s got %q as a complete answer", ex.kind, ex.id, ex.body)
		}
	}
	tb.t.Logf("%d calls, %d served; %d streams resumed, %d of them to their end", len(exchanges), served, resumed, continued)
	if served == 0 {
		tb.t.Error("no call was served")
	}
}

// killMargin is the time around a kill of a host in which its connections may end.
const killMargin = 100 * time.Millisecond

// checkPlannedStops requires that each plain call that a runner ran is answered, with a failure at least, unless its host was
// killed. Faults of runners and planned stops excuse nothing, since a host holds a plain answer until it is complete.
func (tb *testbed) checkPlannedStops(exchanges []exchange) {
	tb.t.Helper()
	ran := map[string]bool{}
	for _, rn := range tb.allRunners {
		for _, run := range rn.Runs() {
			ran[run.ID] = true
		}
	}
	for _, ex := range exchanges {
		plain := ex.kind == "order" || ex.kind == "stock"
		gaveUp := errors.Is(ex.err, context.Canceled) || errors.Is(ex.err, context.DeadlineExceeded)
		if !plain || !ran[ex.id] || ex.err == nil || gaveUp || tb.hosts[ex.host].killedDuring(&ex) {
			continue
		}
		tb.t.Errorf("%s %s ran and got no answer from host %d after %s: %v", ex.kind, ex.id, ex.host, ex.ended.Sub(ex.started), ex.err)
	}
}

// killedDuring reports whether the host was killed during the call.
func (pr *process) killedDuring(ex *exchange) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return slices.ContainsFunc(pr.kills, func(at time.Time) bool {
		return at.After(ex.started.Add(-killMargin)) && at.Before(ex.ended.Add(killMargin))
	})
}

// rollbackSlack is the time after the first refusal of a key in which a process may still serve calls with the key that it
// admitted before.
const rollbackSlack = 250 * time.Millisecond

// checkKeys requires that a process that has refused a key does not accept it again, which would mean that it went back to an
// older configuration; that no valid key is refused; and that no call that starts after from is served with a revoked key.
func (tb *testbed) checkKeys(exchanges []exchange, from time.Time) {
	tb.t.Helper()
	type keyUse struct {
		host        int
		incarnation int64
		key         string
	}
	firstRefusals := map[keyUse]time.Time{}
	slices.SortFunc(exchanges, func(a, b exchange) int { return a.ended.Compare(b.ended) })
	for _, ex := range exchanges {
		use := keyUse{ex.host, ex.incarnation, ex.key}
		served := ex.err == nil && ex.status == http.StatusOK
		switch refusedAt, wasRefused := firstRefusals[use]; {
		case ex.status == http.StatusUnauthorized && tb.keys[ex.key]:
			tb.t.Errorf("%s was refused with the valid key %s", ex.id, ex.key)
		case ex.status == http.StatusUnauthorized && !wasRefused && ex.incarnation > 0:
			firstRefusals[use] = ex.ended
		case served && wasRefused && ex.incarnation > 0 && ex.started.After(refusedAt.Add(rollbackSlack)):
			tb.t.Errorf("%s was served with the key %s %s after host %d had refused the key",
				ex.id, ex.key, ex.started.Sub(refusedAt), ex.host)
		}
		if served && !tb.keys[ex.key] && ex.started.After(from) {
			tb.t.Errorf("%s was served by host %d with the revoked key %s", ex.id, ex.host, ex.key)
		}
	}
}

// checkRemovedRunners requires that no request arrives after from at a runner that was removed from the store.
func (tb *testbed) checkRemovedRunners(from time.Time) {
	tb.t.Helper()
	for _, rn := range tb.removedRunners {
		for _, at := range rn.Arrivals() {
			if at.After(from) {
				tb.t.Errorf("%s got a request %s after the last fault had ended", rn.ID, at.Sub(from)+convergenceTime)
			}
		}
	}
}

// checkEvacuations requires that no request arrives after from at a runner in an evacuated data centre, and that each host knows exactly
// the data centres that are evacuated, without those that were taken back.
func (tb *testbed) checkEvacuations(from time.Time) {
	tb.t.Helper()
	for _, rn := range tb.evacuatedRunners {
		for _, at := range rn.Arrivals() {
			if at.After(from) {
				tb.t.Errorf("%s got a request %s after the last fault had ended", rn.ID, at.Sub(from)+convergenceTime)
			}
		}
	}
	want := fmt.Sprintf("\nchestnutroad_data_centres_evacuated %d\n", len(tb.evacuatedRunners))
	for _, pr := range tb.hosts {
		if text := pr.metrics(); !strings.Contains(text, want) {
			tb.t.Errorf("%s does not state%s%s", pr.address, want, text)
		}
	}
	tb.t.Logf("%d data centres stay evacuated, %d were taken back", len(tb.evacuatedRunners), tb.takenBack)
}

// checkRecovered requires that each host serves after the faults, and refuses a key 2 s after its revocation.
func (tb *testbed) checkRecovered() {
	tb.t.Helper()
	tb.awaitReady()
	tb.configure(func(keys map[string]bool) { keys["k-1"] = false })
	time.Sleep(2 * time.Second)
	for _, pr := range tb.hosts {
		if ex := tb.send(
			tb.t.Context(), http.DefaultClient, pr, "stock", "late-"+pr.address.String(), "k-1", shortBudget,
		); ex.status != http.StatusUnauthorized {
			tb.t.Errorf("%s answered %d to a key that was revoked 2 s before, want %d", pr.address, ex.status, http.StatusUnauthorized)
		}
	}
}
