package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readyTimeout bounds the time from the start of the hosts until they are ready.
	readyTimeout = 15 * time.Second
	hostBinary   = "target/chestnutroad"
)

// zoneName returns the data centre of the host or runner with an index, of count ones, all of one region.
func zoneName(index, count int) string { return fmt.Sprintf("zone-%d", index%count) }

// host is an entry host, which runs as a process.
type host struct {
	name, zone    string
	caller, ready string
	settings      string
	logPath       string

	mu      sync.Mutex
	command *exec.Cmd
	// ended is true when the case has ended; the process isn't started again then.
	ended bool
}

// ports are free ports of the loopback addresses, the same for all hosts.
type ports struct{ caller, ready, peer, metrics int }

// freePorts returns ports that are free at the first address.
func freePorts(address string) (ports, error) {
	var numbers [4]int
	for index := range numbers {
		listener, err := net.Listen("tcp", net.JoinHostPort(address, "0")) //nolint:noctx // Closed at once.
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = listener.Close() }()
		numbers[index] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports{caller: numbers[0], ready: numbers[1], peer: numbers[2], metrics: numbers[3]}, nil
}

// runnerAddresses is the index of the first address of a runner; those of hosts begin with zero.
const runnerAddresses = 100

// loopbackAddress returns the loopback address of this process with an index.
func loopbackAddress(index int) string {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid%250), byte(1 + pid/250%250), byte(1 + index)}).String()
}

// newHosts writes the settings of the hosts, divided among the zones, as the deploy file's template fills them in.
func newHosts(directory string, size *siteSize, store netip.AddrPort) ([]*host, error) {
	free, err := freePorts(loopbackAddress(0))
	if err != nil {
		return nil, err
	}
	var seeds, regions []string
	for index := range min(size.hosts, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(loopbackAddress(index), "8229")))
	}
	for index := range size.zones {
		regions = append(regions, fmt.Sprintf("%q = \"region\"", zoneName(index, size.zones)))
	}
	hosts := make([]*host, 0, size.hosts)
	for index := range size.hosts {
		address := loopbackAddress(index)
		hs := &host{
			name: fmt.Sprintf("edge-%d", index), zone: zoneName(index, size.zones),
			caller: net.JoinHostPort(address, fmt.Sprint(free.caller)), ready: net.JoinHostPort(address, fmt.Sprint(free.ready)),
		}
		hs.settings = filepath.Join(directory, hs.name+".toml")
		hs.logPath = filepath.Join(directory, hs.name+".log")
		text := fmt.Sprintf(`[Entry]
ID = %q
DataCentre = %q
Region = "region"
Regions = { %s }
CallerAddress = %q
ReadyAddress = %q
PeerPort = %d
MetricsPort = %d
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
`, hs.name, hs.zone, strings.Join(regions, ", "), hs.caller, hs.ready, free.peer, free.metrics, store, strings.Join(seeds, ", "))
		if err := os.WriteFile(hs.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		hosts = append(hosts, hs)
	}
	return hosts, nil
}

// start starts the process of the host with the command of the deploy file.
func (hs *host) start() error {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if hs.ended {
		return errors.New("the case has ended")
	}
	file, err := os.OpenFile(hs.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	hs.command = exec.Command(hostBinary, "serve") //nolint:noctx // Ended by stop.
	hs.command.Env = append(os.Environ(), "CHESTNUTROAD_SETTINGS="+hs.settings)
	hs.command.Stdout, hs.command.Stderr = file, file
	hs.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return hs.command.Start()
}

// end kills the process for good.
func (hs *host) end() {
	hs.mu.Lock()
	hs.ended = true
	hs.mu.Unlock()
	hs.stop()
}

// stop kills the process.
func (hs *host) stop() {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if hs.command != nil && hs.command.Process != nil {
		_ = hs.command.Process.Kill()
		_ = hs.command.Wait()
	}
}

// awaitReady waits until the host says that it is ready.
func (hs *host) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + hs.ready + "/readyz") //nolint:noctx // The client has a timeout.
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", hs.name)
}
