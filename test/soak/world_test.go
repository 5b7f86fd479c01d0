package soak

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
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
	hostCount  = 3
	callerPort = 28227
	readyPort  = 28220
	peerPort   = 27340
	streamSize = 8
)

// world is a store, runners behind proxies, and entry hosts as processes.
type world struct {
	t       *testing.T
	binary  string
	store   *standin.Store
	runners []*standin.Runner
	links   []*proxy
	hosts   []*process

	mu      sync.Mutex
	version int
	// keys are the team's keys by whether they are valid.
	keys map[string]bool
	// all are the runners that ever were, retired those that have left; joined counts those that joined later.
	all, retired []*standin.Runner
	joined       int
}

// process is an entry host that is started again when it ends.
type process struct {
	t        *testing.T
	address  netip.Addr
	settings string
	binary   string
	log      string
	// link is the way to the store.
	link *proxy
	// lives counts the processes that were started.
	lives atomic.Int64

	// restarting is held from a signal that ends the process to the start of the next one: two of them at once started
	// two processes, of which one was lost sight of and kept the address after the test.
	restarting sync.Mutex
	mu         sync.Mutex
	command    *exec.Cmd
	ended      chan struct{}
}

func newWorld(t *testing.T, binary string, number byte) *world {
	t.Helper()
	wd := &world{t: t, binary: binary, store: standin.NewStore(), keys: map[string]bool{"k-1": true, "k-2": true}}
	t.Cleanup(wd.store.Close)
	for index := range revocable {
		wd.keys[revocableKey(index)] = true
	}
	wd.configure(func(map[string]bool) {})
	for index, service := range []string{"desk", "desk", "model", "model"} {
		wd.addRunner(fmt.Sprintf("i-%d", index), service)
	}
	for index := range hostCount {
		wd.hosts = append(wd.hosts, wd.newProcess(standin.Loopback(number, byte(index+1)), index))
	}
	for _, pr := range wd.hosts {
		pr.start()
	}
	t.Cleanup(wd.stop)
	return wd
}

// configure writes a configuration with the keys that are valid after the change.
func (wd *world) configure(change func(keys map[string]bool)) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	change(wd.keys)
	var valid []string
	for _, key := range slices.Sorted(maps.Keys(wd.keys)) {
		if wd.keys[key] {
			valid = append(valid, key)
		}
	}
	wd.version += 3
	wd.store.Configure(wd.version, 2, valid...)
}

// revocable is the number of keys that are taken away one after the other.
const revocable = 6

func revocableKey(index int) string { return fmt.Sprintf("r-%d", index) }

// revoke takes the next key away.
func (wd *world) revoke() {
	wd.configure(func(keys map[string]bool) {
		for index := range revocable {
			if key := revocableKey(index); keys[key] {
				keys[key] = false
				return
			}
		}
	})
}

// replace has a further runner of the plain service join, and leave some time later.
func (wd *world) replace(stay, drain time.Duration) {
	wd.mu.Lock()
	id := fmt.Sprintf("i-joined-%d", wd.joined)
	wd.joined++
	wd.mu.Unlock()
	rn, _, write, err := wd.newRunner(id, "desk")
	if err != nil {
		wd.t.Error(err)
		return
	}
	write("ready")
	time.Sleep(stay)
	write("draining")
	time.Sleep(drain)
	wd.store.PutTarget(id, "")
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.retired = append(wd.retired, rn)
}

// newRunner starts a runner behind a proxy and returns it with what it writes in the store for a state.
func (wd *world) newRunner(id, service string) (*standin.Runner, *proxy, func(state string), error) {
	rn, err := standin.NewRunner(id)
	if err != nil {
		return nil, nil, nil, err
	}
	wd.t.Cleanup(rn.Close)
	if service == "model" {
		rn.Events, rn.Gap = streamSize, 10*time.Millisecond
	}
	link, err := newProxy(rn.Address())
	if err != nil {
		return nil, nil, nil, err
	}
	wd.t.Cleanup(link.close)
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.all = append(wd.all, rn)
	write := func(state string) {
		entry := rn.Entry(service, "dc-a", state)
		wd.store.PutTarget(id, strings.Replace(entry, rn.Address().String(), link.address().String(), 1))
	}
	return rn, link, write, nil
}

func (wd *world) addRunner(id, service string) {
	rn, link, write, err := wd.newRunner(id, service)
	if err != nil {
		wd.t.Fatal(err)
	}
	write("ready")
	wd.runners, wd.links = append(wd.runners, rn), append(wd.links, link)
}

func (wd *world) newProcess(address netip.Addr, index int) *process {
	link, err := newProxy(wd.store.Address())
	if err != nil {
		wd.t.Fatal(err)
	}
	wd.t.Cleanup(link.close)
	directory := wd.t.TempDir()
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
`, index, address, callerPort, address, readyPort, peerPort, link.address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		wd.t.Fatal(err)
	}
	return &process{
		t: wd.t, address: address, settings: path, binary: wd.binary, log: filepath.Join(directory, "log"), link: link,
	}
}

// start starts the process and starts it again whenever it ends, until stop.
func (pr *process) start() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	file, err := os.OpenFile(pr.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		pr.t.Error(err)
		return
	}
	command := exec.Command(pr.binary, "serve") //nolint:noctx // The process is ended by signals, as on the platform.
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+pr.settings)
	command.Stdout, command.Stderr = file, file
	// A test that is ended itself must not leave processes behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		pr.t.Error(err)
		return
	}
	pr.lives.Add(1)
	ended := make(chan struct{})
	pr.command, pr.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = file.Close()
		close(ended)
	}()
}

// signal sends a signal to the process, and starts it again when the signal ends it.
func (pr *process) signal(sig syscall.Signal, ends bool) {
	if ends {
		pr.restarting.Lock()
		defer pr.restarting.Unlock()
	}
	pr.mu.Lock()
	command, ended := pr.command, pr.ended
	pr.mu.Unlock()
	_ = command.Process.Signal(sig)
	if ends {
		<-ended
		pr.start()
	}
}

func (wd *world) stop() {
	for _, pr := range wd.hosts {
		pr.mu.Lock()
		_ = pr.command.Process.Kill()
		ended := pr.ended
		pr.mu.Unlock()
		<-ended
		if wd.t.Failed() {
			wd.t.Logf("%s:\n%s", pr.address, pr.events())
		}
	}
}

// shownLog is the most bytes of a process's log that are shown.
const shownLog = 30_000

// events returns the end of the process's log without the lines of single requests.
func (pr *process) events() string {
	text, _ := os.ReadFile(pr.log)
	var lines strings.Builder
	for line := range strings.Lines(string(text)) {
		if !strings.Contains(line, `"Message":"request"`) {
			lines.WriteString(line)
		}
	}
	return lines.String()[max(0, lines.Len()-shownLog):]
}
