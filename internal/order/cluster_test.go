package order

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Settings of the simulation. The clock can advance by more than each of them in one step.
const (
	testRepeatWindow = 10 * time.Minute
	testMaxOrderTime = time.Minute
	testRetention    = 30 * time.Minute
	testLease        = 3 * time.Second
)

// fakeLog is an in-memory log.
type fakeLog struct {
	records []chestnutroad.Record
	oldest  int
	down    bool
	// delayed has data that is appended later: appends with an unknown result, duplicates and snapshot parts.
	delayed []delayedAppend
}

// delayedAppend is an append by the host at the given time that has not yet taken effect.
type delayedAppend struct {
	host *testHost
	at   time.Time
	data []byte
}

func (lg *fakeLog) add(now time.Time, data []byte) {
	offset := chestnutroad.Offset(len(lg.records))
	lg.records = append(lg.records, chestnutroad.Record{Offset: offset, Appended: now, Data: data})
}

func (lg *fakeLog) read(from chestnutroad.Offset, limit int) chestnutroad.Batch {
	start := min(len(lg.records), max(lg.oldest, int(from)))
	end := min(len(lg.records), start+limit)
	next := chestnutroad.Offset(len(lg.records))
	return chestnutroad.Batch{Oldest: chestnutroad.Offset(lg.oldest), Next: next, Records: lg.records[start:end]}
}

// testRun is one run of an order at the fake target.
type testRun struct {
	at   time.Time
	body string // body of the answer: the id of the request that was run
	done bool
}

// testHost is one incarnation of a host.
type testHost struct {
	machine     *Machine
	partitioned bool
	pending     *Append
	// appendedAt is the start of the append in flight.
	appendedAt time.Time
	running    []chestnutroad.RequestID
	// delayed has batches that were read and not yet delivered to the machine; they may be delivered in any order.
	delayed []chestnutroad.Batch
	// checkedOffset is the offset at which the state was last compared with the reference.
	checkedOffset chestnutroad.Offset
}

// testRequest is one request of a caller.
type testRequest struct {
	key    Key
	host   *testHost
	dedup  bool
	answer Action
}

// cluster simulates several hosts, the log, the target and the callers. The draw function returns a random number below its
// argument.
type cluster struct {
	draw        func(int) int
	disabled    safeguards
	now         time.Time
	incarnation chestnutroad.Incarnation
	log         fakeLog
	hosts       []*testHost
	// requests has the requests; the id of a request is its index.
	requests []*testRequest
	runs     map[Key][]*testRun
	// unreleased has the keys whose claimant may have been killed before it wrote a release.
	unreleased map[Key]bool
	// reference is the state that a reader without gaps derives from the log. payloads has its payload at each offset.
	reference     *table
	payloads      []string
	savedSnapshot []byte
	violations    []string
	// events has the actions of the hosts, for the report of a violation.
	events []string
}

func newCluster(draw func(int) int, hosts int, disabled safeguards) *cluster {
	cl := &cluster{
		draw: draw, disabled: disabled, now: time.Unix(1_800_000_000, 0), runs: map[Key][]*testRun{}, unreleased: map[Key]bool{},
		reference: newTable(),
	}
	cl.reference.lease = disabled.lease
	cl.payloads = []string{string(cl.reference.Payload())}
	for index := range hosts {
		cl.hosts = append(cl.hosts, cl.newHost(index))
	}
	return cl
}

func (cl *cluster) newHost(index int) *testHost {
	cl.incarnation++
	name := chestnutroad.HostID(fmt.Sprintf("host-%d", index))
	disable := func(st *settings) { st.disabled = cl.disabled }
	return &testHost{machine: New(
		name, cl.incarnation, WithRepeatWindow(testRepeatWindow), WithMaxOrderTime(testMaxOrderTime),
		WithRetention(testRetention), disable,
	)}
}

func (cl *cluster) violationf(format string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf(format, args...))
}

func (cl *cluster) report() string { return strings.Join(append(cl.violations, cl.events...), "\n") }

func (cl *cluster) request(request chestnutroad.RequestID) *testRequest {
	number, _ := strconv.Atoi(string(request))
	return cl.requests[number]
}

func (cl *cluster) appendRecord(data []byte) {
	cl.log.add(cl.now, data)
	cl.reference.Apply(cl.log.records[len(cl.log.records)-1])
	cl.payloads = append(cl.payloads, string(cl.reference.Payload()))
}

// handle performs the actions of a host and checks each against the invariants.
func (cl *cluster) handle(host *testHost, actions []Action) {
	for _, action := range actions {
		text := fmt.Sprintf("%s %v at %d: %+v", cl.now.Format("04:05.000"), host.machine.self, host.checkedOffset, action)
		switch ac := action.(type) {
		case Append:
			text += string(ac.Data)
			host.pending = &ac
			host.appendedAt = cl.now
		case Run:
			cl.startRun(host, ac.Request)
		case Reply:
			cl.checkReply(ac)
		case Refuse:
			cl.checkRefuse(host, ac)
		}
		cl.events = append(cl.events, text)
	}
	cl.checkState(host)
}

func (cl *cluster) startRun(host *testHost, request chestnutroad.RequestID) {
	req := cl.request(request)
	if req.answer != nil {
		cl.violationf("refused: request %s runs after its answer %+v", request, req.answer)
	}
	for _, earlierRun := range cl.runs[req.key] {
		if !req.dedup && cl.now.Sub(earlierRun.at) < testRepeatWindow {
			cl.violationf("duplicate run: key %v runs for requests %s and %s", req.key, earlierRun.body, request)
		}
	}
	host.running = append(host.running, request)
	cl.runs[req.key] = append(cl.runs[req.key], &testRun{at: cl.now, body: string(request)})
}

func (cl *cluster) checkReply(reply Reply) {
	cl.answer(reply.Request, reply)
	for _, run := range cl.runs[cl.request(reply.Request).key] {
		if run.done && run.body == string(reply.Outcome.Body) {
			return
		}
	}
	cl.violationf("wrong answer: request %s got %q, which no run of the key returned", reply.Request, reply.Outcome.Body)
}

func (cl *cluster) checkRefuse(host *testHost, refuse Refuse) {
	cl.answer(refuse.Request, refuse)
	refusal := refuse.Refusal
	if refusal.Kind.Answer().Retry && refusal.RetryAfter <= 0 {
		cl.violationf("missing retry delay: the refusal of request %s allows a retry but sets no delay", refuse.Request)
	}
	for _, running := range host.running {
		if refusal.NotRun && cl.request(running).key == cl.request(refuse.Request).key && refusal.Kind != chestnutroad.KeyReused {
			cl.violationf("refused: request %s is refused as not run while request %s runs its key", refuse.Request, running)
		}
	}
}

func (cl *cluster) answer(request chestnutroad.RequestID, action Action) {
	req := cl.request(request)
	if req.answer != nil {
		cl.violationf("second answer: request %s got %+v after %+v", request, action, req.answer)
	}
	req.answer = action
}

// withdraw marks a request that is to get no answer.
func (req *testRequest) withdraw() {
	if req.answer == nil {
		req.answer = Refuse{Refusal: &chestnutroad.Refusal{Kind: "-"}}
	}
}

// checkState compares the state of a ready host with the reference at the same offset.
func (cl *cluster) checkState(host *testHost) {
	from := host.machine.NextOffset()
	if !host.machine.Ready() || from == host.checkedOffset {
		return
	}
	host.checkedOffset = from
	if got := string(host.machine.table.Payload()); got != cl.payloads[from] {
		cl.violationf("state: %v differs at offset %d: got\n%s\nwant\n%s", host.machine.self, from, got, cl.payloads[from])
	}
}

// submit sends the order to the host and returns the request.
func (cl *cluster) submit(host *testHost, order Order) *testRequest {
	order.Request = chestnutroad.RequestID(strconv.Itoa(len(cl.requests)))
	order.Team = "team"
	dedup := order.Repeat == chestnutroad.RepeatTargetDeduplicates
	req := &testRequest{key: Key{Team: order.Team, Key: order.Key}, host: host, dedup: dedup}
	cl.requests = append(cl.requests, req)
	cl.handle(host, host.machine.Submit(cl.now, order))
	return req
}

func (cl *cluster) read(host *testHost, limit int) {
	if host.partitioned || cl.log.down {
		cl.handle(host, host.machine.LogDown(cl.now))
		return
	}
	cl.handle(host, host.machine.ReadBatch(cl.now, cl.log.read(host.machine.NextOffset(), limit)))
}

// endAppend ends the append in flight with one of the results that the platform's log allows.
func (cl *cluster) endAppend(host *testHost, code int) {
	pending := host.pending
	if pending == nil {
		return
	}
	host.pending = nil
	result := record.AppendUnknown
	switch {
	case host.partitioned || cl.log.down || code == appendResults["failed"]:
		result = record.AppendFailed
	case code == appendResults["lost"]:
		cl.appendRecord(pending.Data)
	case code == appendResults["late"]:
		cl.delayAppend(host, host.appendedAt, pending.Data)
	case code == appendResults["never"]:
	case code == appendResults["twice"]:
		cl.delayAppend(host, host.appendedAt, pending.Data)
		fallthrough
	default:
		cl.appendRecord(pending.Data)
		result = record.AppendOK
	}
	cl.handle(host, host.machine.AppendResult(cl.now, pending.BatchID, result))
}

func (cl *cluster) delayAppend(host *testHost, at time.Time, data []byte) {
	cl.log.delayed = append(cl.log.delayed, delayedAppend{host: host, at: at, data: data})
}

func (cl *cluster) endRun(host *testHost, code int) {
	if len(host.running) == 0 {
		return
	}
	request := host.running[0]
	host.running = host.running[1:]
	key := cl.request(request).key
	index := slices.IndexFunc(cl.runs[key], func(run *testRun) bool { return run.body == string(request) })
	switch code {
	case runResults["notrun"]:
		cl.runs[key] = slices.Delete(cl.runs[key], index, index+1)
		cl.handle(host, host.machine.TargetNotRun(cl.now, request, nil))
	case runResults["unknown"]:
		cl.handle(host, host.machine.TargetUnknown(cl.now, request))
	default:
		cl.runs[key][index].done = true
		cl.handle(host, host.machine.TargetDone(cl.now, request, 200, nil, []byte(request)))
	}
}

// replace kills a host and starts a new incarnation of it without state. The append in flight reaches the log later if
// code is 0, and never otherwise.
func (cl *cluster) replace(index, code int) {
	host := cl.hosts[index]
	if host.pending != nil && code == 0 {
		cl.delayAppend(host, host.appendedAt, host.pending.Data)
	}
	for _, req := range cl.requests {
		mc := host.machine
		en := cl.reference.live(req.key)
		holds := en != nil && mc.isOwn(en.claimant) && !en.answered()
		if holds || mc.flights[req.key] != nil || mc.outcomes[req.key] != nil || mc.releases[req.key] != nil {
			cl.unreleased[req.key] = true
		}
		if req.host == host {
			req.withdraw()
		}
	}
	cl.hosts[index] = cl.newHost(index)
}
