package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	runnerSlots = 6
	workTime    = 15 * time.Millisecond
)

// run is a request that a runner has run.
type run struct {
	id string
	at time.Time
}

// runner is a sound runner of a plain service. It registers in the store and writes its entry at each heartbeat.
type runner struct {
	id      string
	service string
	zone    string
	server  *http.Server
	address string
	born    int64
	slots   chan struct{}
	rec     *recorder

	mu       sync.Mutex
	sequence int
	state    string
	runs     []run
}

func newRunner(id, service, zone string, rec *recorder) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The close method closes the listener.
	if err != nil {
		return nil, err
	}
	rn := &runner{
		id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		slots: make(chan struct{}, runnerSlots), rec: rec, state: "ready",
	}
	rn.server = &http.Server{Handler: rn, ReadHeaderTimeout: time.Minute}
	go func() { _ = rn.server.Serve(listener) }()
	return rn, nil
}

// entry returns the runner's entry for the store, with the next sequence number.
func (rn *runner) entry() string {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,`+
		`"sequence":%d,"born":%d}`, rn.service, rn.address, rn.zone, runnerSlots, rn.state, rn.sequence, rn.born)
}

func (rn *runner) setState(state string) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.state = state
}

// ServeHTTP runs a request, or states that it does not run it.
func (rn *runner) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Chestnutroad-Attempt-Id")
	header := writer.Header()
	header.Set("Chestnutroad-Attempt-Id", id)
	header.Set("Chestnutroad-Instance-Id", rn.id)
	_, _ = io.Copy(io.Discard, req.Body)
	if expected := req.Header.Get("Chestnutroad-Expect-Instance"); expected != "" && expected != rn.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case rn.slots <- struct{}{}:
	default:
		header.Set("Chestnutroad-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-rn.slots }()
	now := time.Now()
	rn.rec.linef(now, "run      %s at %s", id, rn.id)
	rn.mu.Lock()
	rn.runs = append(rn.runs, run{id: id, at: now})
	rn.mu.Unlock()
	time.Sleep(workTime)
	header.Set("Chestnutroad-Response-Signature", rn.id+"."+id)
	_, _ = io.WriteString(writer, "answer of "+rn.id+" to "+id)
}

func (rn *runner) allRuns() []run {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return append([]run(nil), rn.runs...)
}
