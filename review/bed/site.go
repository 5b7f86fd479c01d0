package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutroad/chestnutroad/platform"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// The figures of the sites' sheets.
const (
	drainTime   = 2 * time.Second
	applyTime   = 2 * time.Second
	contactTime = 3 * time.Second
	heartbeat   = 1200 * time.Millisecond
	zoneName    = "keflavik"
)

const (
	smallHosts  = 3
	largeHosts  = 4
	runnerCount = 3
	startLimit  = 15 * time.Second
	// startAssistants are the runners of the other service at the start, moreAssistants those that are added.
	startAssistants = 440
	moreAssistants  = 110
)

// host is one entry host, as a process.
type host struct {
	name     string
	caller   string
	ready    string
	settings string
	store    *proxy
	command  *exec.Cmd
	exited   chan struct{}
}

// request is a client's request and its answer.
type request struct {
	id, key string
	host    *host
	sent    time.Time
	status  int
	ended   time.Time
	err     error
}

// store is what the site uses of a stand-in of the platform's store.
type store interface {
	PutConfiguration(text string)
	PutTarget(id, text string)
	Configure(version, orderAttempts int, keys ...string)
	Address() netip.AddrPort
	Close()
}

// site is a small installation.
type site struct {
	rec     *recorder
	store   store
	runners []*runner
	hosts   []*host
	folder  string
	binary  string

	// assistants is the number of runners of the other service.
	assistants int

	mu       sync.Mutex
	requests []*request
}

func newSite(rec *recorder, binary string, large bool) (*site, error) {
	folder, err := os.MkdirTemp("", "review-bed")
	if err != nil {
		return nil, err
	}
	st := &site{rec: rec, store: standin.NewStore(), folder: folder, binary: binary}
	if large {
		st.store.Close()
		if st.store, err = newPagedStore(); err != nil {
			return nil, err
		}
	}
	st.store.Configure(3, 1, "k-1", "k-2")
	for index := range runnerCount {
		rn, err := newRunner(fmt.Sprintf("i-%d", index+1), standin.DeskService, zoneName, rec)
		if err != nil {
			return st, err
		}
		st.runners = append(st.runners, rn)
		st.store.PutTarget(rn.id, rn.entry())
	}
	if large {
		if err := st.addAssistants(startAssistants); err != nil {
			return st, err
		}
	}
	hostCount := smallHosts
	if large {
		hostCount = largeHosts
	}
	ports, err := freePorts(hostCount)
	if err != nil {
		return st, err
	}
	var seeds string
	for index := range hostCount {
		seeds += fmt.Sprintf("%q,", netip.AddrPortFrom(standin.Loopback(201, byte(index+1)), ports[0]))
	}
	for index := range hostCount {
		hs, err := st.newHost(index, ports, seeds)
		if err != nil {
			return st, err
		}
		st.hosts = append(st.hosts, hs)
	}
	return st, nil
}

// addAssistants adds runners of another service, to which no requests are sent.
func (st *site) addAssistants(count int) error {
	for range count {
		st.assistants++
		rn, err := newRunner(fmt.Sprintf("j-%d", st.assistants), standin.ModelService, zoneName, st.rec)
		if err != nil {
			return err
		}
		st.runners = append(st.runners, rn)
		st.store.PutTarget(rn.id, rn.entry())
	}
	return nil
}

// freePorts returns ports that are free on the addresses of all hosts: for callers, for readiness checks and between hosts.
func freePorts(hostCount int) ([3]uint16, error) {
	var ports [3]uint16
	for attempt := range 100 {
		base := uint16(21000 + (os.Getpid()*7+attempt*31)%8000)
		free := true
		for index := range hostCount {
			for offset := range ports {
				ports[offset] = base + uint16(offset)
				address := netip.AddrPortFrom(standin.Loopback(201, byte(index+1)), ports[offset]).String()
				listener, err := net.Listen("tcp", address) //nolint:noctx // Closed at once.
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return ports, nil
		}
	}
	return ports, errors.New("no free ports")
}

// newHost writes the settings that deploy/settings.toml.tmpl makes of the platform's fields. It does not start the host.
func (st *site) newHost(index int, ports [3]uint16, seeds string) (*host, error) {
	storeProxy, err := newProxy(st.store.Address().String())
	if err != nil {
		return nil, err
	}
	address := standin.Loopback(201, byte(index+1))
	hs := &host{
		name:   fmt.Sprintf("edge-%s-%d", zoneName, index+1),
		caller: netip.AddrPortFrom(address, ports[0]).String(), ready: netip.AddrPortFrom(address, ports[1]).String(),
		settings: filepath.Join(st.folder, fmt.Sprintf("settings-%d.toml", index+1)), store: storeProxy,
	}
	text := fmt.Sprintf(`[Entry]
ID = %q
DataCentre = %q
CallerAddress = %q
ReadyAddress = %q
PeerPort = %d
MetricsPort = 7355
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
`, hs.name, zoneName, hs.caller, hs.ready, ports[2], storeProxy.listener.Addr(), seeds)
	return hs, os.WriteFile(hs.settings, []byte(text), 0o600)
}

// start starts the process of a host with the command of the deploy file.
func (st *site) start(hs *host) error {
	file, err := os.OpenFile(filepath.Join(st.folder, hs.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(st.binary, "serve") //nolint:noctx // Signals end the process, as on the platform.
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+hs.settings)
	command.Stdout, command.Stderr = file, file
	// The kernel ends the process when this one is killed.
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

// begin starts the hosts, the heartbeats of the runners and the clients, and waits until all hosts are ready.
func (st *site) begin(ctx context.Context) error {
	for _, hs := range st.hosts {
		if err := st.start(hs); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startLimit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, hs := range st.hosts {
			if isReady(ctx, hs) {
				ready++
			}
		}
		if ready == len(st.hosts) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d hosts are ready", ready, len(st.hosts))
		}
	}
	st.beatAll(ctx, 0)
	return nil
}

// beatAll starts the heartbeats of the runners from the index on, spread over one interval.
func (st *site) beatAll(ctx context.Context, first int) {
	for index, rn := range st.runners[first:] {
		go func() {
			time.Sleep(heartbeat * time.Duration(index) / time.Duration(len(st.runners)))
			st.beat(ctx, rn)
		}()
	}
}

func isReady(ctx context.Context, hs *host) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hs.ready+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (st *site) beat(ctx context.Context, rn *runner) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
			st.store.PutTarget(rn.id, rn.entry())
		}
	}
}

// runClients sends lookups to each host, one after the other on kept channels, with both keys in turn, until ctx ends.
func (st *site) runClients(ctx context.Context, wait *sync.WaitGroup) {
	const perHost, pause = 3, 20 * time.Millisecond
	for number, hs := range st.hosts {
		for worker := range perHost {
			wait.Go(func() {
				client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
				for count := 0; ctx.Err() == nil; count++ {
					key := "k-1"
					if count%2 == 1 {
						key = "k-2"
					}
					st.send(client, hs, fmt.Sprintf("r%d-%d-%d", number+1, worker, count), key)
					time.Sleep(pause)
				}
			})
		}
	}
}

// send sends one lookup and records its answer.
func (st *site) send(client *http.Client, hs *host, id, key string) {
	rq := &request{id: id, key: key, host: hs, sent: time.Now()}
	st.rec.linef(rq.sent, "sent     %s to %s with %s", id, hs.name, key)
	req, err := standin.NewRequest(context.Background(), hs.caller, &standin.Call{
		Method: http.MethodGet, Path: standin.StockPath + "lace/" + id, ID: id, Key: key, Budget: 1500 * time.Millisecond,
	})
	if err == nil {
		var resp *http.Response
		if resp, err = client.Do(req); err == nil {
			rq.status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	rq.err, rq.ended = err, time.Now()
	st.rec.linef(rq.ended, "answered %s status %d error %v", id, rq.status, err)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.requests = append(st.requests, rq)
}

// listReader returns the host that alone reads the list of runners from the store, or nil.
func (st *site) listReader() *host {
	var reader *host
	for _, hs := range st.hosts {
		if time.Since(hs.store.lastListRead()) < time.Second {
			if reader != nil {
				return nil
			}
			reader = hs
		}
	}
	return reader
}

// awaitListReader waits until one host alone reads the list of runners.
func (st *site) awaitListReader(limit time.Duration) *host {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if reader := st.listReader(); reader != nil {
			return reader
		}
	}
	return nil
}

// close ends all processes that the site started.
func (st *site) close() {
	for _, hs := range st.hosts {
		if hs.command != nil && hs.command.Process != nil {
			_ = hs.command.Process.Signal(syscall.SIGCONT)
			_ = hs.command.Process.Kill()
			<-hs.exited
		}
		hs.store.close()
	}
	for _, rn := range st.runners {
		_ = rn.server.Close()
	}
	st.store.Close()
	_ = os.RemoveAll(st.folder)
}
