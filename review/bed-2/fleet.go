package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chestnutroad/chestnutroad/platform"
)

// zones are the data centres of the small deployment.
var zones = []string{"reykjavik-a", "reykjavik-b"}

// fleet is a small deployment of entry hosts, each a process started with the command of the deploy file.
type fleet struct {
	binary, directory string
	log               *record
	hosts             []*host
}

// host is one entry host.
type host struct {
	name, zone, address string
	callerPort          int
	readyPort           int
	settingsPath        string
	logPath             string

	// out is true while the balancer sends no new connections to the host.
	out atomic.Bool

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// startFleet starts count hosts, which reach the store at the addresses, and waits until all are ready.
func startFleet(binary string, log *record, storeAddresses []string) (*fleet, error) {
	directory, err := os.MkdirTemp("", "bed-2-")
	if err != nil {
		return nil, err
	}
	fl := &fleet{binary: binary, directory: directory, log: log}
	group := byte(1 + rand.IntN(250))
	ports, err := freePorts(fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, group), 4)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for index := range min(3, len(storeAddresses)) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.%d.%d.%d:%d", 1+os.Getpid()%250, group, index+1, ports[3])))
	}
	for index, store := range storeAddresses {
		hs := &host{
			name: fmt.Sprintf("edge-%d", index+1), zone: zones[index%len(zones)],
			address:    fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, group, index+1),
			callerPort: ports[0], readyPort: ports[1],
		}
		hs.settingsPath = filepath.Join(directory, hs.name+".toml")
		hs.logPath = filepath.Join(directory, hs.name+".log")
		text := fmt.Sprintf(`[Entry]
ID = %q
DataCentre = %q
Region = "is-sudvestur"
Regions = { "reykjavik-a" = "is-sudvestur", "reykjavik-b" = "is-sudvestur" }
CallerAddress = "%s:%d"
ReadyAddress = "%s:%d"
PeerPort = %d
StoreAddress = %q
Seeds = [%s]
Processors = 0.272
Memory = "206MB"
Drain = "2000ms"
Grace = "8s"
CapFactor = 2
RetryRatio = 0.2
RetrySlack = 104
RetryWindow = "10s"
`, hs.name, hs.zone, hs.address, hs.callerPort, hs.address, hs.readyPort, ports[2], store, strings.Join(seeds, ", "))
		if err := os.WriteFile(hs.settingsPath, []byte(text), 0o600); err != nil {
			return nil, err
		}
		fl.hosts = append(fl.hosts, hs)
	}
	for _, hs := range fl.hosts {
		if err := fl.start(hs); err != nil {
			return fl, err
		}
	}
	return fl, fl.awaitReady(10 * time.Second)
}

// freePorts returns ports that nothing listens on at the address.
func freePorts(address string, count int) ([]int, error) {
	ports := make([]int, 0, count)
	for range count {
		listener, err := net.Listen("tcp", address+":0") //nolint:noctx // The listener is closed below.
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		at, ok := listener.Addr().(*net.TCPAddr)
		if !ok {
			return nil, errors.New("the listener has no TCP address")
		}
		ports = append(ports, at.Port)
	}
	return ports, nil
}

// start starts the process of a host.
func (fl *fleet) start(hs *host) error {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	file, err := os.OpenFile(hs.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(fl.binary, "serve") //nolint:noctx // Signals end the process, as on the platform.
	command.Env = []string{platform.SettingsVariable + "=" + hs.settingsPath, "PATH=" + os.Getenv("PATH")}
	command.Stdout, command.Stderr = file, file
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	hs.command, hs.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = file.Close()
		close(exited)
	}()
	return nil
}

// pick returns a host that the balancer has in rotation, another one than the host of the attempt before, which may be nil. With fewer
// than half of the hosts in rotation it uses all.
func (fl *fleet) pick(before *host) *host {
	var choices, others []*host
	for _, hs := range fl.hosts {
		if hs == before {
			continue
		}
		others = append(others, hs)
		if !hs.out.Load() {
			choices = append(choices, hs)
		}
	}
	if 2*len(choices) < len(others) {
		choices = others
	}
	return choices[rand.IntN(len(choices))]
}

// balance checks each host once a second, and takes those out of rotation that miss two checks, until stop is closed.
func (fl *fleet) balance(stop <-chan struct{}) {
	for _, hs := range fl.hosts {
		go func() {
			for misses := 0; ; {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
				if hs.ready() {
					misses = 0
				} else {
					misses++
				}
				hs.out.Store(misses >= 2)
			}
		}()
	}
}

// signal sends a signal to the process of the host.
func (fl *fleet) signal(hs *host, sig syscall.Signal) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	fl.log.printf("host %s gets %s", hs.name, sig)
	_ = hs.command.Process.Signal(sig)
}

// ready reports whether the host's readiness check answers 200.
func (hs *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", hs.address, hs.readyPort)) //nolint:noctx // The client has a timeout.
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (fl *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, hs := range fl.hosts {
		for !hs.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready", hs.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (fl *fleet) stop() {
	for _, hs := range fl.hosts {
		hs.mu.Lock()
		command, exited := hs.command, hs.exited
		hs.mu.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fl.directory)
	}
}

// restart waits until the process of the host has ended, and starts it again.
func (fl *fleet) restart(hs *host) error {
	hs.mu.Lock()
	exited := hs.exited
	hs.mu.Unlock()
	<-exited
	fl.log.printf("host %s starts again", hs.name)
	return fl.start(hs)
}
