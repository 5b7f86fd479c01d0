package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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
	link    *proxy
	runners []*standin.Runner
	links   []*proxy
	hosts   []*process
	version int
}

// process is an entry host that is started again when it ends.
type process struct {
	t        *testing.T
	address  netip.Addr
	settings string
	binary   string
	log      string

	// restarting is held from a signal that ends the process to the start of the next one: two of them at once started
	// two processes, of which one was lost sight of and kept the address after the test.
	restarting sync.Mutex
	mu         sync.Mutex
	command    *exec.Cmd
	ended      chan struct{}
}

func newWorld(t *testing.T, binary string, number byte) *world {
	t.Helper()
	wd := &world{t: t, binary: binary, store: standin.NewStore()}
	t.Cleanup(wd.store.Close)
	var err error
	wd.link, err = newProxy(wd.store.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(wd.link.close)
	wd.configure("k-1", "k-2")
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

func (wd *world) configure(keys ...string) {
	wd.version += 3
	wd.store.Configure(wd.version, 2, keys...)
}

func (wd *world) addRunner(id, service string) {
	rn, err := standin.NewRunner(id)
	if err != nil {
		wd.t.Fatal(err)
	}
	wd.t.Cleanup(rn.Close)
	if service == "model" {
		rn.Events, rn.Gap = streamSize, 10*time.Millisecond
	}
	link, err := newProxy(rn.Address())
	if err != nil {
		wd.t.Fatal(err)
	}
	wd.t.Cleanup(link.close)
	entry := strings.Replace(rn.Entry(service, "dc-a", "ready"), rn.Address().String(), link.address().String(), 1)
	wd.store.PutTarget(id, entry)
	wd.runners, wd.links = append(wd.runners, rn), append(wd.links, link)
}

func (wd *world) newProcess(address netip.Addr, index int) *process {
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
`, index, address, callerPort, address, readyPort, peerPort, wd.link.address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		wd.t.Fatal(err)
	}
	return &process{
		t: wd.t, address: address, settings: path, binary: wd.binary, log: filepath.Join(directory, "log"),
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
			text, _ := os.ReadFile(pr.log)
			wd.t.Logf("%s:\n%s", pr.address, text[max(0, len(text)-6000):])
		}
	}
}
