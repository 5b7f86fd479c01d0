package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const (
	// beatInterval is the time between two writes of a runner's entry.
	beatInterval = 1200 * time.Millisecond
	// idleTimeout is the time after which a runner closes an idle channel; it states it in Keep-Alive.
	idleTimeout = 10 * time.Second
)

// runnerSpec describes a runner stand-in.
type runnerSpec struct {
	id, service, zone string
	slots             int
	// events is the number of events of a stream; zero answers with a plain body after work.
	events    int
	gap, work time.Duration
	// crashes reports whether the runner crashes when it begins to run a request with the body; nil stands for never.
	crashes func(body string) bool
	// onCrash is called after such a crash.
	onCrash func(rn *runner)
	// storeDown reports whether the store does not take entries now; nil stands for never.
	storeDown func() bool
}

// runner is a stand-in of a runner of the platform. It may crash and start again under its id, at its address.
type runner struct {
	runnerSpec
	store   *standin.Store
	record  *recorder
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	up       bool
	version  string
	born     int64
	sequence int
	running  atomic.Int64
	stop     chan struct{}
}

// newRunner starts a runner with a version of its software and registers it. It has an IP address of its own, so that no outgoing connection
// takes its port while it is down.
func newRunner(store *standin.Store, record *recorder, address, version string, spec runnerSpec) (*runner, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(address, "0")) //nolint:noctx // The listener ends with the runner.
	if err != nil {
		return nil, err
	}
	rn := &runner{
		runnerSpec: spec, store: store, record: record, address: listener.Addr().String(), conns: map[net.Conn]bool{},
		stop: make(chan struct{}),
	}
	rn.begin(listener, version)
	go rn.beat()
	return rn, nil
}

// begin starts a lifetime of the runner.
func (rn *runner) begin(listener net.Listener, version string) {
	rn.mu.Lock()
	rn.listener, rn.up, rn.version, rn.born, rn.sequence = listener, true, version, time.Now().UnixMilli(), 0
	rn.mu.Unlock()
	go rn.accept(listener)
	rn.register()
	rn.record.printf("runner %s up, version %s", rn.id, version)
}

// register writes the runner's entry.
func (rn *runner) register() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if !rn.up {
		return
	}
	if rn.storeDown != nil && rn.storeDown() {
		return
	}
	rn.sequence++
	rn.store.PutTarget(rn.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":"ready",`+
		`"cold_remaining_ms":0,"sequence":%d,"born":%d}`, rn.service, rn.address, rn.zone, rn.version, rn.slots, rn.sequence, rn.born))
}

func (rn *runner) beat() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-rn.stop:
			return
		case <-ticker.C:
			rn.register()
		}
	}
}

// crash ends the lifetime: the listener and all channels are closed at once. It reports whether the runner was up.
func (rn *runner) crash() bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if !rn.up {
		return false
	}
	rn.up = false
	_ = rn.listener.Close()
	for conn := range rn.conns {
		_ = conn.Close()
	}
	rn.conns = map[net.Conn]bool{}
	rn.record.printf("runner %s down", rn.id)
	return true
}

// restart starts the next lifetime, under the same id and at the same address.
func (rn *runner) restart(version string) error {
	listener, err := net.Listen("tcp", rn.address) //nolint:noctx // The listener ends with the runner.
	if err != nil {
		return err
	}
	rn.begin(listener, version)
	return nil
}

func (rn *runner) close() {
	close(rn.stop)
	rn.crash()
}

func (rn *runner) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		rn.mu.Lock()
		if !rn.up {
			rn.mu.Unlock()
			_ = conn.Close()
			return
		}
		rn.conns[conn] = true
		rn.mu.Unlock()
		go func() {
			rn.serve(conn)
			_ = conn.Close()
			rn.mu.Lock()
			delete(rn.conns, conn)
			rn.mu.Unlock()
		}()
	}
}

// serve answers the requests of a channel, one after the other.
func (rn *runner) serve(conn net.Conn) {
	rn.mu.Lock()
	version := rn.version
	rn.mu.Unlock()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !rn.answer(conn, req, string(body), version) {
			return
		}
	}
}

// head returns the status line and the headers of an answer.
func (rn *runner) head(req *http.Request, status, rest string) string {
	return "HTTP/1.1 " + status + "\r\nChestnutroad-Attempt-Id: " + req.Header.Get("Chestnutroad-Attempt-Id") +
		"\r\nChestnutroad-Instance-Id: " + rn.id +
		fmt.Sprintf("\r\nChestnutroad-Instance-Load: %d,0,%d", rn.running.Load(), rn.slots) +
		fmt.Sprintf("\r\nKeep-Alive: timeout=%d\r\n", int(idleTimeout.Seconds())) + rest + "\r\n"
}

// answer runs and answers a request, and reports whether the channel stays open.
func (rn *runner) answer(conn net.Conn, req *http.Request, body, version string) bool {
	if handled, open := rn.describe(conn, req, version); handled {
		return open
	}
	id := req.Header.Get("Chestnutroad-Attempt-Id")
	if expected := req.Header.Get("Chestnutroad-Expect-Instance"); expected != "" && expected != rn.id {
		_, _ = io.WriteString(conn, rn.head(req, "421 Misdirected Request", "Content-Length: 0\r\n"))
		return true
	}
	if rn.running.Load() >= int64(rn.slots) {
		_, _ = io.WriteString(conn, rn.head(req, "503 Service Unavailable", "Chestnutroad-Not-Executed: 1\r\nContent-Length: 0\r\n"))
		return true
	}
	rn.running.Add(1)
	defer rn.running.Add(-1)
	rn.record.ran(rn.id, version, id, req.Header.Get("Last-Event-Id"))
	if rn.crashes != nil && rn.crashes(body) {
		if rn.crash() {
			rn.onCrash(rn)
		}
		return false
	}
	if rn.events > 0 {
		return rn.stream(conn, req, version)
	}
	time.Sleep(rn.work)
	text := "done by " + rn.id
	_, err := io.WriteString(conn, rn.head(req, "200 OK",
		fmt.Sprintf("Chestnutroad-Response-Signature: %s.1\r\nContent-Length: %d\r\n", id, len(text)))+text)
	return err == nil
}

// describe answers the calls in which a runner says something of itself.
func (rn *runner) describe(conn net.Conn, req *http.Request, version string) (handled, open bool) {
	if req.Method != http.MethodGet || req.URL.Path != "/report" && req.URL.Path != "/healthz" {
		return false, true
	}
	rn.mu.Lock()
	text := fmt.Sprintf(`{"phase":"hybrid","version":%q,"busy":false,"queued":0,"active":%d,"born":%d}`, version, rn.running.Load(), rn.born)
	rn.mu.Unlock()
	_, err := io.WriteString(conn, rn.head(req, "200 OK", fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(text)))+text)
	return true, err == nil
}

// stream sends the events after the one in Last-Event-Id; each names the version of the runner's software.
func (rn *runner) stream(conn net.Conn, req *http.Request, version string) bool {
	_, _ = io.WriteString(conn, rn.head(req, "200 OK",
		"Chestnutroad-Response-Signature: s.1\r\nChestnutroad-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
	first, _ := strconv.Atoi(strings.TrimSpace(req.Header.Get("Last-Event-Id")))
	for number := first + 1; number <= rn.events; number++ {
		time.Sleep(rn.gap)
		event := fmt.Sprintf("id: %d\ndata: %s token %d\n\n", number, version, number)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
