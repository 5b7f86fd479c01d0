package order

import (
	"fmt"
	"strings"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// Settings of the simulation; a jump of the clock can exceed each of them.
const (
	testWindow    = 10 * time.Minute
	testLimit     = time.Minute
	testRetention = 30 * time.Minute
	testLease     = 3 * time.Second
)

// fakeLog is a log whose appends and reads the simulation controls.
type fakeLog struct {
	records []chestnutroad.Record
	oldest  int
	down    bool
	// late has data that an append with an unknown result adds later.
	late [][]byte
}

func (lg *fakeLog) add(now time.Time, data []byte) {
	lg.records = append(lg.records, chestnutroad.Record{
		Offset: chestnutroad.Offset(len(lg.records)), Appended: now, Data: data,
	})
}

func (lg *fakeLog) expire(now time.Time) {
	for lg.oldest < len(lg.records) && now.Sub(lg.records[lg.oldest].Appended) > testRetention {
		lg.oldest++
	}
}

func (lg *fakeLog) read(from chestnutroad.Offset, limit int) chestnutroad.Batch {
	start := min(len(lg.records), max(lg.oldest, int(from)))
	end := min(len(lg.records), start+limit)
	return chestnutroad.Batch{
		Oldest: chestnutroad.Offset(lg.oldest), Next: chestnutroad.Offset(len(lg.records)),
		Records: lg.records[start:end],
	}
}

// testRun is one run of an order at the fake target.
type testRun struct {
	at      time.Time
	body    string
	request chestnutroad.RequestID
	done    bool
}

// testHost is one life of a host.
type testHost struct {
	machine *Machine
	cut     bool
	pending *Append
	running []chestnutroad.RequestID
	// slow has batches that were read and not yet delivered, in any order.
	slow []chestnutroad.Batch
	// checked is the offset up to which the state was last compared.
	checked chestnutroad.Offset
	// keys has the keys that were submitted to this life.
	keys map[Key]bool
}

// testTry is one request of a caller.
type testTry struct {
	key     Key
	host    *testHost
	dedup   bool
	answer  Action
	notRun  bool
	started bool
}

// world is a simulation of several hosts, the log, the target and the callers. The draw function returns a number below
// its argument.
type world struct {
	draw  func(int) int
	opts  []Option
	now   time.Time
	lives chestnutroad.Incarnation
	log   fakeLog
	hosts []*testHost
	tries map[chestnutroad.RequestID]*testTry
	runs  map[Key][]*testRun
	// orphaned has the keys whose claimant may have died before a release.
	orphaned map[Key]bool
	// reference is the state after each record of the log, as a reader that misses nothing derives it.
	reference *table
	payloads  []string
	breaches  []string
	// events has the actions of the hosts, for the report of a breach.
	events []string
}

func newWorld(draw func(int) int, hosts int, off mechanisms) *world {
	wd := &world{
		draw: draw, now: time.Unix(1_800_000_000, 0),
		tries: map[chestnutroad.RequestID]*testTry{}, runs: map[Key][]*testRun{}, orphaned: map[Key]bool{},
		reference: newTable(),
		opts: []Option{
			WithRepeatWindow(testWindow), WithOrderLimit(testLimit), WithRetention(testRetention),
			func(st *settings) { st.off = off },
		},
	}
	wd.reference.lease = off.lease
	wd.payloads = []string{string(wd.reference.Payload())}
	for index := range hosts {
		wd.hosts = append(wd.hosts, wd.newHost(index))
	}
	return wd
}

func (wd *world) newHost(index int) *testHost {
	wd.lives++
	name := chestnutroad.HostID(fmt.Sprintf("host-%d", index))
	return &testHost{machine: New(name, wd.lives, wd.opts...), keys: map[Key]bool{}}
}

func (wd *world) breachf(format string, args ...any) {
	wd.breaches = append(wd.breaches, fmt.Sprintf(format, args...))
}

func (wd *world) appendRecord(data []byte) {
	wd.log.add(wd.now, data)
	wd.reference.Apply(wd.log.records[len(wd.log.records)-1])
	wd.payloads = append(wd.payloads, string(wd.reference.Payload()))
}

// handle carries out the actions of a host and checks each against the invariants.
func (wd *world) handle(host *testHost, actions []Action) {
	for _, action := range actions {
		wd.note(host, action)
		switch ac := action.(type) {
		case Append:
			if host.pending != nil && wd.now.Sub(host.machine.lastSent) > 0 {
				wd.breachf("a second append is in flight")
			}
			host.pending = &ac
		case Run:
			wd.startRun(host, ac.Request)
		case Reply:
			wd.checkReply(ac)
		case Refuse:
			wd.checkRefuse(host, ac)
		}
	}
	wd.checkState(host)
}

func (wd *world) note(host *testHost, action Action) {
	text := fmt.Sprintf("%T %+v", action, action)
	if ac, ok := action.(Append); ok {
		text = fmt.Sprintf("append %d %s", ac.BatchID, ac.Data)
	}
	wd.events = append(wd.events, fmt.Sprintf(
		"%s %v read %d of %d..%d: %s", wd.now.Format("04:05.000"), host.machine.self, host.machine.From(), wd.log.oldest,
		len(wd.log.records), text,
	))
}

func (wd *world) report() string {
	return strings.Join(append(wd.breaches, wd.events...), "\n")
}

func (wd *world) startRun(host *testHost, request chestnutroad.RequestID) {
	try := wd.tries[request]
	if try.answer != nil {
		wd.breachf("refused: request %s runs after its answer %+v", request, try.answer)
	}
	try.started = true
	host.running = append(host.running, request)
	run := &testRun{at: wd.now, request: request, body: fmt.Sprintf("answer to %s", request)}
	for _, former := range wd.runs[try.key] {
		if !try.dedup && wd.now.Sub(former.at) < testWindow {
			wd.breachf("twice: key %v runs for %s and %s", try.key, former.request, request)
		}
	}
	wd.runs[try.key] = append(wd.runs[try.key], run)
}

func (wd *world) checkReply(reply Reply) {
	try := wd.tries[reply.Request]
	wd.answer(reply.Request, reply)
	for _, run := range wd.runs[try.key] {
		if run.done && run.body == string(reply.Outcome.Body) {
			return
		}
	}
	wd.breachf("answer: request %s got %q, which no run of the key gave", reply.Request, reply.Outcome.Body)
}

func (wd *world) checkRefuse(host *testHost, refuse Refuse) {
	try := wd.tries[refuse.Request]
	wd.answer(refuse.Request, refuse)
	try.notRun = refuse.Refusal.NotRun
	if !try.notRun {
		return
	}
	if refuse.Refusal.Kind.Answer().Retry && refuse.Refusal.RetryAfter <= 0 {
		wd.breachf("retry: request %s isn't told when to come back", refuse.Request)
	}
	for _, request := range host.running {
		if wd.tries[request].key == try.key && refuse.Refusal.Kind != chestnutroad.KeyReused {
			wd.breachf("refused: request %s is not run although %s runs", refuse.Request, request)
		}
	}
}

func (wd *world) answer(request chestnutroad.RequestID, action Action) {
	try := wd.tries[request]
	if try.answer != nil {
		wd.breachf("answers: request %s got %+v after %+v", request, action, try.answer)
	}
	try.answer = action
}

// checkState compares a ready host's state with the one that follows from the log.
func (wd *world) checkState(host *testHost) {
	if !host.machine.Ready() || host.machine.From() == host.checked {
		return
	}
	host.checked = host.machine.From()
	from := int(host.machine.From())
	if got := string(host.machine.table.Payload()); got != wd.payloads[from] {
		wd.breachf("state: %v differs at offset %d:\n%s\n%s", host.machine.self, from, got, wd.payloads[from])
	}
}

func (wd *world) submit(host *testHost, key Key, dedup bool, wait time.Duration) chestnutroad.RequestID {
	request := chestnutroad.RequestID(fmt.Sprintf("request-%d", len(wd.tries)))
	wd.tries[request] = &testTry{key: key, host: host, dedup: dedup}
	repeat := chestnutroad.RepeatNever
	if dedup {
		repeat = chestnutroad.RepeatTargetDeduplicates
	}
	host.keys[key] = true
	wd.handle(host, host.machine.Submit(wd.now, Order{
		Request: request, Team: key.Team, Key: key.Key, Digest: "digest", Deadline: wd.now.Add(wait), Repeat: repeat,
	}))
	return request
}

func (wd *world) read(host *testHost, limit int) {
	if host.cut || wd.log.down {
		wd.handle(host, host.machine.LogDown(wd.now))
		return
	}
	wd.handle(host, host.machine.ReadBatch(wd.now, wd.log.read(host.machine.From(), limit)))
}

// endAppend gives the append in flight one of the fates that the platform's log allows.
func (wd *world) endAppend(host *testHost, fate int) {
	if host.pending == nil {
		return
	}
	pending := host.pending
	host.pending = nil
	result := record.AppendUnknown
	switch {
	case host.cut || wd.log.down || fate == 0:
		result = record.AppendFailed
	case fate == 1:
		wd.appendRecord(pending.Data)
	case fate == 2:
		wd.log.late = append(wd.log.late, pending.Data)
	case fate == 3:
	case fate == 4:
		wd.appendRecord(pending.Data)
		wd.log.late = append(wd.log.late, pending.Data)
		result = record.AppendOK
	default:
		wd.appendRecord(pending.Data)
		result = record.AppendOK
	}
	wd.handle(host, host.machine.AppendResult(wd.now, pending.BatchID, result))
}

func (wd *world) endRun(host *testHost, fate int) {
	if len(host.running) == 0 {
		return
	}
	request := host.running[0]
	host.running = host.running[1:]
	switch fate {
	case 0:
		wd.forgetRun(request)
		wd.handle(host, host.machine.TargetNotRun(wd.now, request, nil))
	case 1:
		wd.handle(host, host.machine.TargetUnknown(wd.now, request))
	default:
		run := wd.runOf(request)
		run.done = true
		wd.handle(host, host.machine.TargetDone(wd.now, request, 200, nil, []byte(run.body)))
	}
}

func (wd *world) runOf(request chestnutroad.RequestID) *testRun {
	for _, run := range wd.runs[wd.tries[request].key] {
		if run.request == request {
			return run
		}
	}
	return nil
}

func (wd *world) forgetRun(request chestnutroad.RequestID) {
	key := wd.tries[request].key
	var kept []*testRun
	for _, run := range wd.runs[key] {
		if run.request != request {
			kept = append(kept, run)
		}
	}
	wd.runs[key] = kept
}

// replace kills a host; another one without state takes its place. Its append may still reach the log.
func (wd *world) replace(index, fate int) {
	host := wd.hosts[index]
	if host.pending != nil && fate == 0 {
		wd.log.late = append(wd.log.late, host.pending.Data)
	}
	for key := range host.keys {
		wd.orphaned[key] = true
	}
	for request, try := range wd.tries {
		if try.host == host && try.answer == nil {
			wd.tries[request].answer = Refuse{Request: request}
		}
	}
	wd.hosts[index] = wd.newHost(index)
}
