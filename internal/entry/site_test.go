package entry_test

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/entry"
	"github.com/chestnutroad/chestnutroad/internal/logging"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// site is an installation on loopback: a store, runners and entry hosts.
type site struct {
	t     *testing.T
	store *standin.Store
	seeds []netip.AddrPort
}

func newSite(t *testing.T) *site {
	t.Helper()
	st := &site{t: t, store: standin.NewStore()}
	t.Cleanup(st.store.Close)
	return st
}

// runner starts a runner, the stand-in of a target, and registers it for the service.
func (st *site) runner(id, service string) *standin.Runner {
	st.t.Helper()
	rn, err := standin.NewRunner(id)
	if err != nil {
		st.t.Fatal(err)
	}
	st.t.Cleanup(rn.Close)
	st.store.PutTarget(id, rn.Entry(service, "dc-a", "ready"))
	return rn
}

// host is a running entry host.
type host struct {
	t        *testing.T
	address  string
	ready    string
	settings *settings.Entry
	running  *entry.Entry
	stop     func()
	ended    chan error
	log      *logBuffer
}

// logBuffer collects a host's log.
type logBuffer struct {
	mu   sync.Mutex
	text []byte
}

// Write appends data to the log.
func (lb *logBuffer) Write(data []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	lb.text = append(lb.text, data...)
	return len(data), nil
}

func (lb *logBuffer) String() string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return string(lb.text)
}

// line returns the first line that contains the text, or an empty string.
func (lb *logBuffer) line(text string) string {
	for line := range strings.Lines(lb.String()) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

var (
	addressMu sync.Mutex
	// lastAddress is the number of the last address that was reserved, and reserved holds those that are in use.
	lastAddress byte
	reserved    = map[byte]bool{}
)

// reserveAddress returns a loopback address that no other host of the test process uses until the end of the test, so that all can use
// the same ports.
func reserveAddress(t *testing.T) netip.Addr {
	t.Helper()
	addressMu.Lock()
	defer addressMu.Unlock()
	if len(reserved) > math.MaxUint8 {
		t.Fatal("all loopback addresses are in use")
	}
	for lastAddress++; reserved[lastAddress]; {
		lastAddress++
	}
	number := lastAddress
	reserved[number] = true
	t.Cleanup(func() {
		addressMu.Lock()
		defer addressMu.Unlock()
		delete(reserved, number)
	})
	return standin.Loopback(addressGroup, number)
}

// TestAddressesOfRunningHostsDiffer guards against two hosts of the tests that run at once with one address: the second one can't listen
// there, and its test calls the first one.
func TestAddressesOfRunningHostsDiffer(t *testing.T) {
	own := reserveAddress(t)
	for range 2 * math.MaxUint8 {
		t.Run("other host", func(t *testing.T) {
			if other := reserveAddress(t); other == own {
				t.Errorf("%s is in use and was reserved again", own)
			}
		})
	}
}

const (
	// addressGroup separates the addresses of this package from those of other packages.
	addressGroup = 77

	callerPort  = 18227
	readyPort   = 18220
	peerPort    = 17340
	metricsPort = 17355
)

// start starts an entry host and waits until it is ready, unless wait is false.
func (st *site) start(id string, wait bool, opts ...func(*settings.Entry)) *host {
	st.t.Helper()
	address := reserveAddress(st.t)
	set := &settings.Entry{
		ID: chestnutroad.HostID(id), DataCentre: "dc-a",
		CallerAddress: netip.AddrPortFrom(address, callerPort), ReadyAddress: netip.AddrPortFrom(address, readyPort),
		PeerPort: peerPort, MetricsPort: metricsPort, StoreAddress: st.store.Address(), Seeds: st.seeds, Processors: 1,
		Grace: 4 * time.Second, Drain: 2 * time.Second, CapFactor: 2, RetryRatio: 0.2, RetrySlack: 240, RetryWindow: 10 * time.Second,
	}
	for _, opt := range opts {
		opt(set)
	}
	st.seeds = append(st.seeds, netip.AddrPortFrom(address, callerPort))
	buffer := &logBuffer{}
	logger, err := logging.New(buffer, "debug", logging.Fields{Host: set.ID})
	if err != nil {
		st.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ht := &host{
		t: st.t, address: set.CallerAddress.String(), ready: set.ReadyAddress.String(), settings: set, stop: cancel,
		ended: make(chan error, 1), log: buffer,
	}
	store := platform.NewStore(set.StoreAddress.String(), time.Second)
	running := entry.New(set, store, platform.Wire{}, platform.Decoder{}, logger, entry.WithLog(platform.NewLog(store)))
	ht.running = running
	go func() { ht.ended <- running.Run(ctx) }()
	st.t.Cleanup(func() {
		cancel()
		ht.ended <- <-ht.ended
	})
	if wait {
		ht.eventually(5*time.Second, "the host is ready", func() bool {
			ht.checkRunning()
			return ht.isReady()
		})
	}
	return ht
}

// checkRunning fails the test if the host has ended.
func (ht *host) checkRunning() {
	ht.t.Helper()
	select {
	case err := <-ht.ended:
		ht.ended <- err
		ht.t.Fatalf("the host ended: %v", err)
	default:
	}
}

// eventually fails the test unless holds returns true within the limit.
func (ht *host) eventually(limit time.Duration, condition string, holds func() bool) {
	ht.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	ht.t.Fatalf("condition not met within %s: %s\n%s", limit, condition, ht.log)
}

func (ht *host) isReady() bool {
	req, err := http.NewRequestWithContext(ht.t.Context(), http.MethodGet, "http://"+ht.ready+platform.Wire{}.ReadyPath(), http.NoBody)
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

// reply is the answer that a caller got; err is set when it got none or when the answer broke off.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// metadata returns what the answer's headers state.
func (rp *reply) metadata() chestnutroad.AnswerMetadata {
	return platform.Wire{}.ReadAnswer(rp.status, rp.header)
}

// call sends a request on a connection of its own.
func (ht *host) call(ctx context.Context, call standin.Call) reply {
	ht.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return ht.callWith(ctx, client, call)
}

// callWith sends a request with the client.
func (ht *host) callWith(ctx context.Context, client *http.Client, call standin.Call) reply {
	ht.t.Helper()
	req, err := standin.NewRequest(ctx, ht.address, &call)
	if err != nil {
		ht.t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// dialHost opens a connection to a host, on which nothing is sent.
func dialHost(t *testing.T, address string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
