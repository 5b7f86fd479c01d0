package soak

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const (
	hostCount    = 3
	callerPort   = 28227
	readyPort    = 28220
	peerPort     = 27340
	streamEvents = 8
	// dataCentre is that of the hosts and of most runners.
	dataCentre = "dc-a"
)

// testbed holds a store, runners behind proxies, and entry hosts as separate processes.
type testbed struct {
	t             *testing.T
	binary        string
	store         *standin.Store
	runners       []*standin.Runner
	runnerProxies []*proxy
	hosts         []*process

	mu      sync.Mutex
	version int
	// keys holds the team's keys and whether each is valid.
	keys map[string]bool
	// allRunners are all runners that were ever started, removedRunners those that were removed from the store. joinedCount is the
	// number of temporary runners.
	allRunners, removedRunners []*standin.Runner
	joinedCount                int
	// evacuatedRunners are those in data centres that stay evacuated, takenBack is the number of evacuations that were taken back.
	evacuatedRunners []*standin.Runner
	takenBack        int
}

// process is an entry host, as a process that is started again after a signal that ends it.
type process struct {
	t            *testing.T
	address      netip.Addr
	settingsPath string
	binary       string
	logPath      string
	// storeProxy is the proxy for the connections to the store.
	storeProxy *proxy
	// output replaces the log file as the standard output of the next start; nil means the log file.
	output *os.File
	// incarnation is the number of times that the process was started.
	incarnation atomic.Int64

	settingsMu sync.Mutex
	// restarting is held from a signal that ends the process to the start of the next one. Two concurrent restarts once started
	// two processes, of which one was not tracked and kept the address after the test.
	restarting sync.Mutex
	mu         sync.Mutex
	command    *exec.Cmd
	exited     chan struct{}
	// kills holds the times at which the process was sent SIGKILL.
	kills []time.Time
}

// coldSeconds and coldPerSecond are the cold time and the cold rate of the services; the callers send several times as many requests.
const (
	coldSeconds   = 1.0
	coldPerSecond = 10.0
)

// newTestbed starts the store, the runners and the hosts. The number selects the loopback addresses of the hosts.
func newTestbed(t *testing.T, binary string, number byte) *testbed {
	t.Helper()
	tb := &testbed{t: t, binary: binary, store: standin.NewStore(), keys: map[string]bool{"k-1": true, "k-2": true}}
	t.Cleanup(tb.store.Close)
	for index := range revocableKeyCount {
		tb.keys[revocableKey(index)] = true
	}
	tb.configure(func(map[string]bool) {})
	for index, service := range []string{"desk", "desk", "model", "model"} {
		tb.addRunner(fmt.Sprintf("i-%d", index), service)
	}
	for index := range hostCount {
		tb.hosts = append(tb.hosts, tb.newProcess(standin.Loopback(number, byte(index+1)), index))
	}
	for _, pr := range tb.hosts {
		pr.start()
	}
	t.Cleanup(tb.stop)
	return tb
}

// configure applies a change to the keys and publishes a configuration with the valid ones.
func (tb *testbed) configure(change func(keys map[string]bool)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	change(tb.keys)
	var valid []string
	for _, key := range slices.Sorted(maps.Keys(tb.keys)) {
		if tb.keys[key] {
			valid = append(valid, key)
		}
	}
	tb.version += 3
	tb.store.ConfigureCold(tb.version, 2, coldSeconds, coldPerSecond, valid...)
}

// revocableKeyCount is the number of keys that revoke can revoke.
const revocableKeyCount = 6

func revocableKey(index int) string { return fmt.Sprintf("r-%d", index) }

// revoke revokes the next revocable key, if one is left.
func (tb *testbed) revoke() {
	tb.configure(func(keys map[string]bool) {
		for index := range revocableKeyCount {
			if key := revocableKey(index); keys[key] {
				keys[key] = false
				return
			}
		}
	})
}

// The marks of the events of runners of two software versions.
const (
	firstMark  = " of v1"
	secondMark = " of v2"
)

// withoutMarks returns events as a runner without a mark sends them.
func withoutMarks(events string) string {
	return strings.NewReplacer(firstMark, "", secondMark, "").Replace(events)
}

// addTemporaryRunner adds a runner of the plain service to the store. It marks the runner as draining after stay and removes it
// from the store after drain.
func (tb *testbed) addTemporaryRunner(stay, drain time.Duration) {
	tb.addLeavingRunner("desk", func(*standin.Runner) {}, stay, drain)
}

// addSecondVersion is addTemporaryRunner for a runner of the model whose software has another version.
func (tb *testbed) addSecondVersion(stay, drain time.Duration) {
	tb.addLeavingRunner("model", func(rn *standin.Runner) { rn.Version, rn.Mark = "v2", secondMark }, stay, drain)
}

// addLeavingRunner adds a runner after prepare has changed it, marks it as draining after stay, and removes it after drain.
func (tb *testbed) addLeavingRunner(service string, prepare func(rn *standin.Runner), stay, drain time.Duration) {
	tb.mu.Lock()
	id := fmt.Sprintf("i-joined-%d", tb.joinedCount)
	tb.joinedCount++
	tb.mu.Unlock()
	rn, _, setState, err := tb.newRunner(id, service, dataCentre)
	if err != nil {
		tb.t.Error(err)
		return
	}
	prepare(rn)
	setState("ready")
	time.Sleep(stay)
	setState("draining")
	time.Sleep(drain)
	tb.store.PutTarget(id, "")
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.removedRunners = append(tb.removedRunners, rn)
}

// evacuateRunner adds a runner in a data centre of its own to the store and evacuates the data centre after stay. If back is
// positive, it takes the evacuation back after that time.
func (tb *testbed) evacuateRunner(stay, back time.Duration) {
	tb.mu.Lock()
	id := fmt.Sprintf("i-evacuated-%d", tb.joinedCount)
	tb.joinedCount++
	tb.mu.Unlock()
	rn, _, setState, err := tb.newRunner(id, "desk", "dc-"+id)
	if err != nil {
		tb.t.Error(err)
		return
	}
	setState("ready")
	time.Sleep(stay)
	tb.store.PutOperatorRecord("evacuate/dc-"+id, "{}")
	time.Sleep(back)
	if back > 0 {
		tb.store.PutOperatorRecord("evacuate/dc-"+id, "")
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if back > 0 {
		tb.takenBack++
	} else {
		tb.evacuatedRunners = append(tb.evacuatedRunners, rn)
	}
}

// newRunner starts a runner in a data centre behind a proxy. It returns both, and a function that writes the runner's entry with a state and the
// address of the proxy to the store.
func (tb *testbed) newRunner(id, service, zone string) (*standin.Runner, *proxy, func(state string), error) {
	rn, err := standin.NewRunner(id)
	if err != nil {
		return nil, nil, nil, err
	}
	tb.t.Cleanup(rn.Close)
	if service == "model" {
		rn.Events, rn.Gap, rn.Mark = streamEvents, 25*time.Millisecond, firstMark
	}
	px, err := newProxy(rn.Address())
	if err != nil {
		return nil, nil, nil, err
	}
	tb.t.Cleanup(px.close)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.allRunners = append(tb.allRunners, rn)
	setState := func(state string) {
		entry := rn.Entry(service, zone, state)
		tb.store.PutTarget(id, strings.Replace(entry, rn.Address().String(), px.address().String(), 1))
	}
	return rn, px, setState, nil
}

// addRunner adds a runner to the store that stays for the whole test.
func (tb *testbed) addRunner(id, service string) {
	rn, px, setState, err := tb.newRunner(id, service, dataCentre)
	if err != nil {
		tb.t.Fatal(err)
	}
	setState("ready")
	tb.runners, tb.runnerProxies = append(tb.runners, rn), append(tb.runnerProxies, px)
}

// newProcess writes the settings of a host that reaches the store through a proxy of its own. It does not start the host.
func (tb *testbed) newProcess(address netip.Addr, index int) *process {
	storeProxy, err := newProxy(tb.store.Address())
	if err != nil {
		tb.t.Fatal(err)
	}
	tb.t.Cleanup(storeProxy.close)
	directory := tb.t.TempDir()
	path := filepath.Join(directory, "settings.toml")
	text := fmt.Sprintf(`[Entry]
ID = "host-%d"
DataCentre = "dc-a"
CallerAddress = "%s:%d"
ReadyAddress = "%s:%d"
PeerPort = %d
StoreAddress = "%s"
Grace = "4s"
RetrySlack = 300
`, index, address, callerPort, address, readyPort, peerPort, storeProxy.address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		tb.t.Fatal(err)
	}
	return &process{
		t: tb.t, address: address, settingsPath: path, binary: tb.binary, logPath: filepath.Join(directory, "log"),
		storeProxy: storeProxy,
	}
}

// start starts the process and appends its output to the log file.
func (pr *process) start() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	file, err := os.OpenFile(pr.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		pr.t.Error(err)
		return
	}
	command := exec.Command(pr.binary, "serve") //nolint:noctx // Signals end the process, as on the platform.
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+pr.settingsPath)
	command.Stdout, command.Stderr = file, file
	if pr.output != nil {
		command.Stdout = pr.output
	}
	// The kernel kills the process when the test process is killed and so can't stop it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		pr.t.Error(err)
		return
	}
	pr.incarnation.Add(1)
	exited := make(chan struct{})
	pr.command, pr.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = file.Close()
		close(exited)
	}()
}

// signal sends a signal to the process. With restart, it waits until the process has ended and starts it again.
func (pr *process) signal(sig syscall.Signal, restart bool) {
	if restart {
		pr.restarting.Lock()
		defer pr.restarting.Unlock()
	}
	pr.mu.Lock()
	command, exited := pr.command, pr.exited
	if sig == syscall.SIGKILL {
		pr.kills = append(pr.kills, time.Now())
	}
	pr.mu.Unlock()
	_ = command.Process.Signal(sig)
	if restart {
		<-exited
		pr.start()
	}
}

// restartWith sends SIGTERM and then the other signals, with the gap between two of them, waits until the process has ended, and
// starts it again. A process that accepted connections before must end by itself.
func (pr *process) restartWith(gap time.Duration, others []syscall.Signal) {
	pr.restarting.Lock()
	defer pr.restarting.Unlock()
	accepting := pr.isAccepting()
	pr.signal(syscall.SIGTERM, false)
	for _, sig := range others {
		time.Sleep(gap)
		pr.signal(sig, false)
	}
	pr.mu.Lock()
	command, exited := pr.command, pr.exited
	pr.mu.Unlock()
	<-exited
	if accepting && !command.ProcessState.Success() {
		pr.t.Errorf("%s ended with %s after SIGTERM and %v, %s apart", pr.address, command.ProcessState, others, gap)
	}
	pr.start()
}

// isAccepting reports whether the process accepts connections of callers. Before that, a signal may have its default action.
func (pr *process) isAccepting() bool {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", pr.address, callerPort), time.Second) //nolint:noctx // Bounded itself.
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// metrics returns the process's metrics, or the error for which there are none.
func (pr *process) metrics() string {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", pr.address, readyPort)) //nolint:noctx // The test ends it.
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// setGrace changes the grace period in the settings file and sends SIGHUP.
func (pr *process) setGrace(grace time.Duration) {
	pr.settingsMu.Lock()
	defer pr.settingsMu.Unlock()
	text, err := os.ReadFile(pr.settingsPath)
	if err != nil {
		pr.t.Error(err)
		return
	}
	changed := gracePattern.ReplaceAllString(string(text), fmt.Sprintf("Grace = %q", grace))
	temporary := pr.settingsPath + ".new"
	if err := errors.Join(os.WriteFile(temporary, []byte(changed), 0o600), os.Rename(temporary, pr.settingsPath)); err != nil {
		pr.t.Error(err)
	}
	pr.signal(syscall.SIGHUP, false)
}

var gracePattern = regexp.MustCompile(`Grace = "[^"]*"`)

// stop kills the hosts, and logs the end of their logs if the test has failed.
func (tb *testbed) stop() {
	for _, pr := range tb.hosts {
		pr.mu.Lock()
		_ = pr.command.Process.Kill()
		exited := pr.exited
		pr.mu.Unlock()
		<-exited
		if tb.t.Failed() {
			tb.t.Logf("%s:\n%s", pr.address, pr.logTail())
		}
	}
}

// maxLogTailBytes bounds the text that logTail returns.
const maxLogTailBytes = 30_000

// logTail returns the end of the process's log without the lines about single requests.
func (pr *process) logTail() string {
	text, _ := os.ReadFile(pr.logPath)
	var lines strings.Builder
	for line := range strings.Lines(string(text)) {
		if !strings.Contains(line, `"Message":"request"`) {
			lines.WriteString(line)
		}
	}
	return lines.String()[max(0, lines.Len()-maxLogTailBytes):]
}
