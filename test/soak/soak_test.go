package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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

// ciSeeds are played in CI; a seed that ever failed is added here with a line on its cause.
var ciSeeds = []uint64{1, 2}

const (
	// seedsVariable names the first seed and the number of seeds of a longer soak, as in "100:50".
	seedsVariable = "SOAK_SEEDS"
	playTime      = 6 * time.Second
	// calmTime lets the hosts come back before the last checks.
	calmTime = 6 * time.Second
	// followTime is the time after the last fault in which hosts follow the store, with the entries that operators and targets
	// write again after a drill.
	followTime  = 3500 * time.Millisecond
	callerCount = 6
	callTimeout = 5 * time.Second
)

// exchange is one call with what its caller got.
type exchange struct {
	id, kind string
	status   int
	// answers is the call that the answer states.
	answers string
	body    string
	err     error
	// key is the key that was sent, host the process that was called and life which of its lives; life is zero when it did
	// not last through the call.
	key            string
	host           int
	life           int64
	started, ended time.Time
}

// TestSoak guards against broken promises under faults that come in series and overlap: an order that runs twice, a
// refusal of a call that ran, an answer to another call or a part that looks whole, a key that works after it was taken
// away, and a fleet that does not serve after the faults.
func TestSoak(t *testing.T) {
	t.Parallel()
	binary := filepath.Join(t.TempDir(), "chestnutroad")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/chestnutroad").CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v\n%s", err, output)
	}
	for index, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			play(t, binary, seed, byte(100+index%100))
		})
	}
}

func seeds(t *testing.T) []uint64 {
	t.Helper()
	first, count, found := strings.Cut(os.Getenv(seedsVariable), ":")
	if !found {
		return ciSeeds
	}
	from, err1 := strconv.ParseUint(first, 10, 64)
	number, err2 := strconv.ParseUint(count, 10, 64)
	if err1 != nil || err2 != nil {
		t.Fatalf("%s is not FIRST:COUNT", seedsVariable)
	}
	list := make([]uint64, 0, number)
	for seed := from; seed < from+number; seed++ {
		list = append(list, seed)
	}
	return list
}

func play(t *testing.T, binary string, seed uint64, number byte) {
	t.Helper()
	wd := newWorld(t, binary, number)
	wd.awaitReady()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var exchanges []exchange
	var running sync.WaitGroup
	for caller := range callerCount {
		running.Go(func() {
			for _, ex := range wd.call(ctx, rand.New(rand.NewPCG(seed, uint64(caller+10))), caller) {
				mu.Lock()
				exchanges = append(exchanges, ex)
				mu.Unlock()
			}
		})
	}
	wd.disturb(rand.New(rand.NewPCG(seed, 1)))
	calm := time.Now()
	time.Sleep(calmTime)
	cancel()
	running.Wait()
	wd.check(exchanges)
	wd.checkKeys(exchanges, calm.Add(followTime))
	wd.checkRetired(calm.Add(followTime))
	wd.checkAfterwards()
}

func (wd *world) awaitReady() {
	wd.t.Helper()
	for _, pr := range wd.hosts {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			ex := wd.send(wd.t.Context(), http.DefaultClient, pr, "stock", "ready-"+pr.address.String(), "k-1")
			if ex.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				wd.t.Fatalf("%s does not serve: %+v", pr.address, ex)
			}
		}
	}
}

var kinds = []string{"order", "order", "stock", "chat", "once"}

// call sends calls to the hosts in turn on kept connections until ctx ends.
func (wd *world) call(ctx context.Context, rnd *rand.Rand, caller int) []exchange {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var exchanges []exchange
	for index := 0; ctx.Err() == nil; index++ {
		kind := kinds[rnd.IntN(len(kinds))]
		host, key := rnd.IntN(len(wd.hosts)), "k-1"
		if rnd.IntN(4) == 0 {
			key = revocableKey(rnd.IntN(revocable))
		}
		pr := wd.hosts[host]
		life := pr.lives.Load()
		ex := wd.send(ctx, client, pr, kind, fmt.Sprintf("c%d-%d", caller, index), key)
		if ex.host = host; pr.lives.Load() == life {
			ex.life = life
		}
		exchanges = append(exchanges, ex)
		time.Sleep(time.Duration(rnd.IntN(30)) * time.Millisecond)
	}
	return exchanges
}

func (wd *world) send(ctx context.Context, client *http.Client, pr *process, kind, id, key string) (ex exchange) {
	ex = exchange{id: id, kind: kind, key: key, started: time.Now()}
	defer func() { ex.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := standin.NewRequest(ctx, fmt.Sprintf("%s:%d", pr.address, callerPort), &standin.Call{
		Method: http.MethodPost, Path: "/" + kind + "/x", ID: id, Key: key, Body: id,
		Budget: 1500 * time.Millisecond, Prefix: "a:10,b:20",
	})
	if err != nil {
		ex.err = err
		return ex
	}
	// Without GetBody the client does not send a call again by itself.
	req.GetBody = nil
	resp, err := client.Do(req)
	if err != nil {
		ex.err = err
		return ex
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	ex.status, ex.body, ex.err = resp.StatusCode, string(body), err
	ex.answers = string(platform.Wire{}.ReadAnswer(resp.StatusCode, resp.Header).ID)
	return ex
}

// disturb injects faults for the play time, each while the ones before may still last.
func (wd *world) disturb(rnd *rand.Rand) {
	var lasting sync.WaitGroup
	behaviours := []standin.Behaviour{
		standin.Refuse, standin.FailRun, standin.Cut, standin.ServeTwice, standin.Encode, standin.NoReceipt,
		standin.Unframed, standin.Hang, standin.BusyWithoutNotRun,
		standin.ServeLate, standin.Dribble, standin.EndlessHeader, standin.EndlessBody, standin.EndlessMismatch,
	}
	storeFaults := []standin.Fault{standin.Busy, standin.Silent, standin.Resets, standin.LosesAnswers, standin.Garbage}
	for end := time.Now().Add(playTime); time.Now().Before(end); {
		time.Sleep(time.Duration(100+rnd.IntN(500)) * time.Millisecond)
		pr, link := wd.hosts[rnd.IntN(len(wd.hosts))], wd.links[rnd.IntN(len(wd.links))]
		span := time.Duration(200+rnd.IntN(1300)) * time.Millisecond
		behaviour, fault := behaviours[rnd.IntN(len(behaviours))], storeFaults[rnd.IntN(len(storeFaults))]
		runner := wd.runners[rnd.IntN(len(wd.runners))]
		drill := standin.RestorePlan{
			BackupAge: time.Duration(300+rnd.IntN(3000)) * time.Millisecond, Downtime: time.Duration(rnd.IntN(400)) * time.Millisecond,
			RewriteTime: time.Duration(rnd.IntN(1200)) * time.Millisecond,
		}
		faults := []func(){
			func() { pr.signal(syscall.SIGKILL, true) },
			func() { pr.signal(syscall.SIGTERM, true) },
			func() { pr.signal(syscall.SIGHUP, false) },
			func() {
				pr.signal(syscall.SIGSTOP, false)
				time.Sleep(span)
				pr.signal(syscall.SIGCONT, false)
			},
			func() { link.set(50*time.Millisecond, false); time.Sleep(span); link.set(0, false) },
			func() { link.set(0, true); time.Sleep(span); link.set(0, false); link.reset() },
			link.reset,
			pr.link.reset,
			func() { pr.link.set(0, true); time.Sleep(span); pr.link.set(0, false); pr.link.reset() },
			wd.revoke,
			func() { wd.replace(span, span/2) },
			func() { wd.store.Restore(drill) },
			func() { wd.revoke(); wd.store.Restore(drill); wd.store.Restore(drill) },
			func() { lasting.Go(func() { wd.store.Restore(drill) }); pr.signal(syscall.SIGKILL, true) },
			func() {
				lasting.Go(func() { wd.replace(span/4, span/4) })
				time.Sleep(span / 2)
				wd.store.Restore(drill)
			},
			func() { wd.store.SetFault(fault); time.Sleep(span); wd.store.SetFault(standin.Healthy) },
			func() { wd.store.Compact() },
			func() { runner.SetDefault(behaviour); time.Sleep(span); runner.SetDefault(standin.Serve) },
			func() { runner.SetNext(behaviour, behaviour) },
		}
		inject := faults[rnd.IntN(len(faults))]
		lasting.Go(inject)
	}
	lasting.Wait()
	for _, pr := range wd.hosts {
		pr.signal(syscall.SIGCONT, false)
	}
}

// check holds what callers got against what the targets ran.
func (wd *world) check(exchanges []exchange) {
	wd.t.Helper()
	runs := map[string]int{}
	for _, rn := range wd.all {
		for _, run := range rn.Runs() {
			runs[run.ID]++
			if run.Body != run.ID {
				wd.t.Errorf("%s ran with the body %q", run.ID, run.Body)
			}
		}
	}
	served := 0
	for _, ex := range exchanges {
		once := ex.kind == "order" || ex.kind == "once"
		if once && runs[ex.id] > 1 {
			wd.t.Errorf("%s %s ran %d times", ex.kind, ex.id, runs[ex.id])
		}
		refused := ex.status == http.StatusServiceUnavailable || ex.status == http.StatusTooManyRequests
		if once && refused && runs[ex.id] > 0 {
			wd.t.Errorf("%s %s was refused and ran", ex.kind, ex.id)
		}
		if ex.err != nil || ex.status != http.StatusOK {
			continue
		}
		served++
		if ex.answers != ex.id {
			wd.t.Errorf("%s %s got the answer to %q", ex.kind, ex.id, ex.answers)
		}
		whole := strings.HasPrefix(ex.body, "answer of i-")
		if ex.kind == "chat" || ex.kind == "once" {
			// Comments between events are no part of the answer.
			whole = strings.ReplaceAll(ex.body, standin.Comment, "") == standin.Events(streamSize)
		}
		if !whole {
			wd.t.Errorf("%s %s got %q as a whole answer", ex.kind, ex.id, ex.body)
		}
	}
	wd.t.Logf("%d calls, %d served", len(exchanges), served)
	if served == 0 {
		wd.t.Error("no call was served")
	}
}

// rollbackSlack is how long after it refused a key a process may still have calls that it let in before.
const rollbackSlack = 250 * time.Millisecond

// checkKeys holds processes to never going back to a configuration with a key that they refused, to refusing no key that was
// never taken away, and to refusing all that were from a time on.
func (wd *world) checkKeys(exchanges []exchange, from time.Time) {
	wd.t.Helper()
	type process struct {
		host int
		life int64
		key  string
	}
	refused := map[process]time.Time{}
	slices.SortFunc(exchanges, func(one, two exchange) int { return one.ended.Compare(two.ended) })
	for _, ex := range exchanges {
		pr := process{ex.host, ex.life, ex.key}
		served := ex.err == nil && ex.status == http.StatusOK
		switch first, known := refused[pr]; {
		case ex.status == http.StatusUnauthorized && wd.keys[ex.key]:
			wd.t.Errorf("%s was refused with the valid key %s", ex.id, ex.key)
		case ex.status == http.StatusUnauthorized && !known && ex.life > 0:
			refused[pr] = ex.ended
		case served && known && ex.life > 0 && ex.started.After(first.Add(rollbackSlack)):
			wd.t.Errorf("%s was served with the key %s %s after host %d had refused it", ex.id, ex.key, ex.started.Sub(first), ex.host)
		}
		if served && !wd.keys[ex.key] && ex.started.After(from) {
			wd.t.Errorf("%s was served by host %d with the key %s that was taken away", ex.id, ex.host, ex.key)
		}
	}
}

// checkRetired holds the hosts to sending nothing to runners that have left, from a time on.
func (wd *world) checkRetired(from time.Time) {
	wd.t.Helper()
	for _, rn := range wd.retired {
		for _, at := range rn.Arrivals() {
			if at.After(from) {
				wd.t.Errorf("%s got a request %s after the last fault had ended", rn.ID, at.Sub(from)+followTime)
			}
		}
	}
}

// checkAfterwards holds the calm fleet to serving and to a key that is taken away.
func (wd *world) checkAfterwards() {
	wd.t.Helper()
	wd.awaitReady()
	wd.configure(func(keys map[string]bool) { keys["k-1"] = false })
	time.Sleep(2 * time.Second)
	for _, pr := range wd.hosts {
		if ex := wd.send(wd.t.Context(), http.DefaultClient, pr, "stock", "late-"+pr.address.String(), "k-1"); ex.status != http.StatusUnauthorized {
			wd.t.Errorf("%s gave %d for a key that was taken away 2 s before", pr.address, ex.status)
		}
	}
}
