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

// Settings of the simulation; a jump of the clock can exceed each of them.
const (
	testRepeatWindow = 10 * time.Minute
	testMaxOrderTime = time.Minute
	testRetention    = 30 * time.Minute
	testLease        = 3 * time.Second
)

// fakeLog is a log whose appends and reads the simulation controls.
type fakeLog struct {
	records []chestnutroad.Record
	oldest  int
	down    bool
	// delayed has appends without a known result that take effect later.
	delayed []delayedAppend
}

type delayedAppend struct {
	host *testHost
	at   time.Time
	data []byte
}

func (lg *fakeLog) add(now time.Time, data []byte) {
	disabled := chestnutroad.Offset(len(lg.records))
	lg.records = append(lg.records, chestnutroad.Record{Offset: disabled, Appended: now, Data: data})
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
	body string
	done bool
}

// testHost is one life of a host.
type testHost struct {
	machine     *Machine
	partitioned bool
	pending     *Append
	// appendedAt is when the append in flight began.
	appendedAt time.Time
	running    []chestnutroad.RequestID
	// delayed has batches that were read and not yet delivered, in any order.
	delayed []chestnutroad.Batch
	// checkedOffset is the offset up to which the state was last compared.
	checkedOffset chestnutroad.Offset
}

// testRequest is one request of a caller.
type testRequest struct {
	key    Key
	host   *testHost
	dedup  bool
	answer Action
}

// cluster is a simulation of several hosts, the log, the target and the callers. The draw function returns a number below
// its argument.
type cluster struct {
	draw        func(int) int
	off         safeguards
	now         time.Time
	incarnation chestnutroad.Incarnation
	log         fakeLog
	hosts       []*testHost
	// requests has the requests; the id of a request is its index.
	requests []*testRequest
	runs     map[Key][]*testRun
	// unreleased has the keys whose claimant may have died before a release.
	unreleased map[Key]bool
	// reference is the state after each record of the log, as a reader that misses nothing derives it.
	reference     *table
	payloads      []string
	savedSnapshot []byte
	violations    []string
	// events has the actions of the hosts, for the report of a breach.
	events []string
}

func newCluster(draw func(int) int, hosts int, off safeguards) *cluster {
	wd := &cluster{
		draw: draw, off: off, now: time.Unix(1_800_000_000, 0), runs: map[Key][]*testRun{}, unreleased: map[Key]bool{},
		reference: newTable(),
	}
	wd.reference.lease = off.lease
	wd.payloads = []string{string(wd.reference.Payload())}
	for index := range hosts {
		wd.hosts = append(wd.hosts, wd.newHost(index))
	}
	return wd
}

func (wd *cluster) newHost(index int) *testHost {
	wd.incarnation++
	name := chestnutroad.HostID(fmt.Sprintf("host-%d", index))
	off := func(st *settings) { st.disabled = wd.off }
	return &testHost{machine: New(
		name, wd.incarnation, WithRepeatWindow(testRepeatWindow), WithMaxOrderTime(testMaxOrderTime), WithRetention(testRetention), off,
	)}
}

func (wd *cluster) violationf(format string, args ...any) {
	wd.violations = append(wd.violations, fmt.Sprintf(format, args...))
}

func (wd *cluster) report() string { return strings.Join(append(wd.violations, wd.events...), "\n") }

func (wd *cluster) request(request chestnutroad.RequestID) *testRequest {
	number, _ := strconv.Atoi(string(request))
	return wd.requests[number]
}

func (wd *cluster) appendRecord(data []byte) {
	wd.log.add(wd.now, data)
	wd.reference.Apply(wd.log.records[len(wd.log.records)-1])
	wd.payloads = append(wd.payloads, string(wd.reference.Payload()))
}

// handle carries out the actions of a host and checks each against the invariants.
func (wd *cluster) handle(host *testHost, actions []Action) {
	for _, action := range actions {
		text := fmt.Sprintf("%s %v at %d: %+v", wd.now.Format("04:05.000"), host.machine.self, host.checkedOffset, action)
		switch ac := action.(type) {
		case Append:
			text += string(ac.Data)
			host.pending = &ac
			host.appendedAt = wd.now
		case Run:
			wd.startRun(host, ac.Request)
		case Reply:
			wd.checkReply(ac)
		case Refuse:
			wd.checkRefuse(host, ac)
		}
		wd.events = append(wd.events, text)
	}
	wd.checkState(host)
}

func (wd *cluster) startRun(host *testHost, request chestnutroad.RequestID) {
	try := wd.request(request)
	if try.answer != nil {
		wd.violationf("refused: request %s runs after its answer %+v", request, try.answer)
	}
	for _, former := range wd.runs[try.key] {
		if !try.dedup && wd.now.Sub(former.at) < testRepeatWindow {
			wd.violationf("twice: key %v runs for %s and %s", try.key, former.body, request)
		}
	}
	host.running = append(host.running, request)
	wd.runs[try.key] = append(wd.runs[try.key], &testRun{at: wd.now, body: string(request)})
}

func (wd *cluster) checkReply(reply Reply) {
	wd.answer(reply.Request, reply)
	for _, run := range wd.runs[wd.request(reply.Request).key] {
		if run.done && run.body == string(reply.Outcome.Body) {
			return
		}
	}
	wd.violationf("answer: request %s got %q, which no run of the key gave", reply.Request, reply.Outcome.Body)
}

func (wd *cluster) checkRefuse(host *testHost, refuse Refuse) {
	wd.answer(refuse.Request, refuse)
	refusal := refuse.Refusal
	if refusal.Kind.Answer().Retry && refusal.RetryAfter <= 0 {
		wd.violationf("retry: request %s isn't told when to come back", refuse.Request)
	}
	for _, running := range host.running {
		if refusal.NotRun && wd.request(running).key == wd.request(refuse.Request).key && refusal.Kind != chestnutroad.KeyReused {
			wd.violationf("refused: request %s is not run although %s runs", refuse.Request, running)
		}
	}
}

func (wd *cluster) answer(request chestnutroad.RequestID, action Action) {
	try := wd.request(request)
	if try.answer != nil {
		wd.violationf("answers: request %s got %+v after %+v", request, action, try.answer)
	}
	try.answer = action
}

// withdraw marks a request that gets no answer.
func (try *testRequest) withdraw() {
	if try.answer == nil {
		try.answer = Refuse{Refusal: &chestnutroad.Refusal{Kind: "-"}}
	}
}

// checkState compares a ready host's state with the one that follows from the log.
func (wd *cluster) checkState(host *testHost) {
	from := host.machine.NextOffset()
	if !host.machine.Ready() || from == host.checkedOffset {
		return
	}
	host.checkedOffset = from
	if got := string(host.machine.table.Payload()); got != wd.payloads[from] {
		wd.violationf("state: %v differs at offset %d:\n%s\n%s", host.machine.self, from, got, wd.payloads[from])
	}
}

// submit sends the order to the host and returns the request.
func (wd *cluster) submit(host *testHost, order Order) *testRequest {
	order.Request = chestnutroad.RequestID(strconv.Itoa(len(wd.requests)))
	order.Team = "team"
	dedup := order.Repeat == chestnutroad.RepeatTargetDeduplicates
	try := &testRequest{key: Key{Team: order.Team, Key: order.Key}, host: host, dedup: dedup}
	wd.requests = append(wd.requests, try)
	wd.handle(host, host.machine.Submit(wd.now, order))
	return try
}

func (wd *cluster) read(host *testHost, limit int) {
	if host.partitioned || wd.log.down {
		wd.handle(host, host.machine.LogDown(wd.now))
		return
	}
	wd.handle(host, host.machine.ReadBatch(wd.now, wd.log.read(host.machine.NextOffset(), limit)))
}

// endAppend gives the append in flight one of the fates that the platform's log allows.
func (wd *cluster) endAppend(host *testHost, fate int) {
	pending := host.pending
	if pending == nil {
		return
	}
	host.pending = nil
	result := record.AppendUnknown
	switch {
	case host.partitioned || wd.log.down || fate == appendResults["failed"]:
		result = record.AppendFailed
	case fate == appendResults["lost"]:
		wd.appendRecord(pending.Data)
	case fate == appendResults["late"]:
		wd.delayAppend(host, host.appendedAt, pending.Data)
	case fate == appendResults["never"]:
	case fate == appendResults["twice"]:
		wd.delayAppend(host, host.appendedAt, pending.Data)
		fallthrough
	default:
		wd.appendRecord(pending.Data)
		result = record.AppendOK
	}
	wd.handle(host, host.machine.AppendResult(wd.now, pending.BatchID, result))
}

func (wd *cluster) delayAppend(host *testHost, at time.Time, data []byte) {
	wd.log.delayed = append(wd.log.delayed, delayedAppend{host: host, at: at, data: data})
}

func (wd *cluster) endRun(host *testHost, fate int) {
	if len(host.running) == 0 {
		return
	}
	request := host.running[0]
	host.running = host.running[1:]
	key := wd.request(request).key
	index := slices.IndexFunc(wd.runs[key], func(run *testRun) bool { return run.body == string(request) })
	switch fate {
	case runResults["notrun"]:
		wd.runs[key] = slices.Delete(wd.runs[key], index, index+1)
		wd.handle(host, host.machine.TargetNotRun(wd.now, request, nil))
	case runResults["unknown"]:
		wd.handle(host, host.machine.TargetUnknown(wd.now, request))
	default:
		wd.runs[key][index].done = true
		wd.handle(host, host.machine.TargetDone(wd.now, request, 200, nil, []byte(request)))
	}
}

// replace kills a host; another one without state takes its place. Its append may still reach the log.
func (wd *cluster) replace(index, fate int) {
	host := wd.hosts[index]
	if host.pending != nil && fate == 0 {
		wd.delayAppend(host, host.appendedAt, host.pending.Data)
	}
	for _, try := range wd.requests {
		mc := host.machine
		en := wd.reference.live(try.key)
		holds := en != nil && mc.isOwn(en.claimant) && !en.answered()
		if holds || mc.flights[try.key] != nil || mc.outcomes[try.key] != nil || mc.releases[try.key] != nil {
			wd.unreleased[try.key] = true
		}
		if try.host == host {
			try.withdraw()
		}
	}
	wd.hosts[index] = wd.newHost(index)
}
