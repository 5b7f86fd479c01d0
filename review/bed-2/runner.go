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
	"time"
)

// runner is a stand-in of a model runner that streams events. Each event names the runner and its software version.
type runner struct {
	id, service, zone string
	address           string
	// events is the number of events of a stream, gap the time before each of them.
	events int
	gap    time.Duration
	store  entryStore
	log    *record

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	version  string
	born     int64
	sequence int
	state    string
	running  int
}

// entryStore takes the entries that runners write.
type entryStore interface {
	PutTarget(id, text string)
}

// runnerAddress is the loopback address of the runners. Other processes connect from 127.0.0.1, so that they don't take the port of a runner
// that is down.
const runnerAddress = "127.0.77.1:0"

// newRunner starts a runner at a free port of a loopback address and registers it.
func newRunner(id, service, zone, version string, events int, gap time.Duration, store entryStore, log *record) (*runner, error) {
	rn := &runner{
		id: id, service: service, zone: zone, events: events, gap: gap, store: store, log: log, address: runnerAddress,
		conns: map[net.Conn]bool{},
	}
	return rn, rn.start(version)
}

// start listens, begins a new lifetime with the software version, and registers the runner.
func (rn *runner) start(version string) error {
	listener, err := net.Listen("tcp", rn.address) //nolint:noctx // The listener ends with stop.
	if err != nil {
		return err
	}
	rn.mu.Lock()
	rn.address, rn.listener, rn.version = listener.Addr().String(), listener, version
	rn.born, rn.sequence, rn.state = time.Now().UnixMilli(), 0, "ready"
	rn.mu.Unlock()
	rn.log.printf("runner %s starts with version %s, born %d", rn.id, version, rn.born)
	go rn.accept(listener, version)
	rn.register()
	return nil
}

// register writes the runner's entry.
func (rn *runner) register() {
	rn.mu.Lock()
	rn.sequence++
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":64,"state":%q,"cold_remaining_ms":0,`+
		`"sequence":%d,"born":%d,"phase":"hybrid","model_list":[{"name":"m","version":1,"adapter_list":[]}]}`,
		rn.service, rn.address, rn.zone, rn.version, rn.state, rn.sequence, rn.born)
	rn.mu.Unlock()
	rn.store.PutTarget(rn.id, entry)
}

// drain reports that the runner is leaving and waits until the time has passed and nothing runs on it.
func (rn *runner) drain(wait time.Duration) {
	rn.leave()
	time.Sleep(wait)
	for rn.count() > 0 {
		time.Sleep(20 * time.Millisecond)
	}
}

func (rn *runner) count() int {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.running
}

// crash ends the runner at once: its connections are reset, and its entry stays as it is.
func (rn *runner) crash() {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.log.printf("runner %s of version %s ends with %d requests", rn.id, rn.version, rn.running)
	_ = rn.listener.Close()
	for conn := range rn.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (rn *runner) accept(listener net.Listener, version string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		rn.mu.Lock()
		rn.conns[conn] = true
		rn.mu.Unlock()
		go func() {
			rn.serve(conn, version)
			_ = conn.Close()
			rn.mu.Lock()
			delete(rn.conns, conn)
			rn.mu.Unlock()
		}()
	}
}

func (rn *runner) serve(conn net.Conn, version string) {
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if expected := req.Header.Get("Chestnutroad-Expect-Instance"); expected != "" && expected != rn.id {
			_, _ = io.WriteString(conn, rn.head(req, "421 Misdirected Request", "Content-Length: 0\r\n"))
			continue
		}
		rn.mu.Lock()
		rn.running++
		rn.mu.Unlock()
		ok := rn.stream(conn, req, version)
		rn.mu.Lock()
		rn.running--
		rn.mu.Unlock()
		if !ok {
			return
		}
	}
}

func (rn *runner) head(req *http.Request, status, rest string) string {
	return "HTTP/1.1 " + status + "\r\nChestnutroad-Attempt-Id: " + req.Header.Get("Chestnutroad-Attempt-Id") +
		"\r\nChestnutroad-Instance-Id: " + rn.id + "\r\nChestnutroad-Instance-Load: " + strconv.Itoa(rn.count()) + ",0,64\r\n" + rest + "\r\n"
}

// stream sends the events after Last-Event-Id and reports whether the connection stays open.
func (rn *runner) stream(conn net.Conn, req *http.Request, version string) bool {
	first, _ := strconv.Atoi(strings.TrimSpace(req.Header.Get("Last-Event-Id")))
	rn.log.printf("runner %s of version %s runs %s after event %d", rn.id, version, req.Header.Get("Chestnutroad-Attempt-Id"), first)
	if _, err := io.WriteString(conn, rn.head(req, "200 OK",
		"Chestnutroad-Response-Signature: "+rn.id+".1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
		return false
	}
	for number := first + 1; number <= rn.events; number++ {
		time.Sleep(rn.gap)
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", number, version, rn.id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// leave reports that the runner is leaving; it goes on to serve.
func (rn *runner) leave() {
	rn.mu.Lock()
	rn.state = "draining"
	rn.mu.Unlock()
	rn.log.printf("runner %s is draining", rn.id)
	rn.register()
}
