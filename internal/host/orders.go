package host

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/order"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/record"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

const (
	orderReadWait       = time.Second
	orderReadRetry      = 200 * time.Millisecond
	orderReadTimeout    = 5 * time.Second
	orderSendTimeout    = 30 * time.Second
	appendTimeout       = 2 * time.Second
	maxOrderAnswerBytes = 4 << 20
	orderTickInterval   = 20 * time.Millisecond
)

// orders runs calls that may run at most once. Each is claimed in the order log before it is sent to a target.
type orders struct {
	log chestnutroad.Log
	now func() time.Time

	mu sync.Mutex
	// machine is the state machine that decides when an order may run and how a request is answered.
	machine *order.Machine
	calls   map[chestnutroad.RequestID]*orderCall
}

// orderCall is one request that waits for its order: claimed signals that this host may run it, done delivers its result.
type orderCall struct {
	claimed chan struct{}
	done    chan orderResult
}

type orderResult struct {
	outcome *order.Outcome
	refusal *chestnutroad.Refusal
}

func newOrders(log chestnutroad.Log, now func() time.Time, machine *order.Machine) *orders {
	return &orders{log: log, now: now, machine: machine, calls: map[chestnutroad.RequestID]*orderCall{}}
}

// decide calls step under the lock and carries out the actions that it returns.
func (or *orders) decide(step func(now time.Time, machine *order.Machine) []order.Action) {
	or.mu.Lock()
	defer or.mu.Unlock()
	for _, action := range step(or.now(), or.machine) {
		or.carryOut(action)
	}
}

func (or *orders) carryOut(action order.Action) {
	switch act := action.(type) {
	case order.Append:
		go or.append(act)
	case order.Run:
		if call := or.calls[act.Request]; call != nil {
			call.claimed <- struct{}{}
		}
	case order.Reply:
		or.complete(act.Request, orderResult{outcome: &act.Outcome})
	case order.Refuse:
		or.complete(act.Request, orderResult{refusal: act.Refusal})
	}
}

// complete delivers the result of a request, unless its caller has gone, and unregisters it.
func (or *orders) complete(id chestnutroad.RequestID, result orderResult) {
	if call := or.calls[id]; call != nil {
		delete(or.calls, id)
		call.done <- result
	}
}

// append adds the batch to the log and passes the outcome to the machine.
func (or *orders) append(batch order.Append) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err := or.log.Append(ctx, chestnutroad.StreamOrders, batch.Data)
	result := appendOutcome(err)
	or.decide(func(now time.Time, machine *order.Machine) []order.Action {
		return machine.AppendResult(now, batch.BatchID, result)
	})
}

func appendOutcome(err error) record.AppendOutcome {
	switch {
	case err == nil:
		return record.AppendOK
	case platform.NotAppended(err):
		return record.AppendFailed
	default:
		return record.AppendUnknown
	}
}

// Run calls send if this host wins the claim on the order, and answers with the order's recorded outcome.
func (or *orders) Run(
	ctx context.Context, request *chestnutroad.Request, call *chestnutroad.Call, answer chestnutroad.Answer,
	send func(ctx context.Context, answer chestnutroad.Answer) error,
) error {
	waiting := or.submit(request, call)
	sent := make(chan struct{})
	running := false
	for {
		select {
		case <-waiting.claimed:
			running = true
			go func() {
				defer close(sent)
				or.send(ctx, request, send)
			}()
		case result := <-waiting.done:
			return writeOutcome(result, answer)
		case <-ctx.Done():
			or.cancelCall(request.ID)
			if running {
				<-sent
			}
			return ctx.Err()
		}
	}
}

func (or *orders) submit(request *chestnutroad.Request, call *chestnutroad.Call) *orderCall {
	waiting := &orderCall{claimed: make(chan struct{}, 1), done: make(chan orderResult, 1)}
	or.mu.Lock()
	or.calls[request.ID] = waiting
	or.mu.Unlock()
	or.decide(func(now time.Time, machine *order.Machine) []order.Action {
		return machine.Submit(now, order.Order{
			Request:  request.ID,
			Team:     request.Team,
			Key:      request.Key,
			Digest:   callDigest(call),
			Deadline: request.Deadline,
			Repeat:   request.Repeat,
		})
	})
	return waiting
}

// cancelCall unregisters the request of a caller that has gone. An order that is already running continues, so that its
// outcome is recorded.
func (or *orders) cancelCall(id chestnutroad.RequestID) {
	or.mu.Lock()
	delete(or.calls, id)
	or.mu.Unlock()
	or.decide(func(now time.Time, machine *order.Machine) []order.Action { return machine.Cancel(now, id) })
}

// send runs the order on the target and passes the outcome to the machine. It is not cancelled with the caller's context.
func (or *orders) send(
	ctx context.Context, request *chestnutroad.Request, send func(ctx context.Context, answer chestnutroad.Answer) error,
) {
	inner, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderSendTimeout)
	defer cancel()
	buffered := &bufferedAnswer{}
	err := send(inner, buffered)
	or.decide(func(now time.Time, machine *order.Machine) []order.Action {
		if err == nil {
			return machine.TargetDone(now, request.ID, buffered.status, buffered.header, buffered.body)
		}
		refusal := chestnutroad.RefusalOf(err)
		if refusal.NotRun {
			return machine.TargetNotRun(now, request.ID, refusal)
		}
		return machine.TargetUnknown(now, request.ID)
	})
}

// writeOutcome writes the order's outcome to the caller's answer, or returns its refusal.
func writeOutcome(result orderResult, answer chestnutroad.Answer) error {
	if result.refusal != nil {
		return result.refusal
	}
	if result.outcome.BodyOmitted {
		return chestnutroad.Refuse(chestnutroad.BadAnswer, "the order ran; its first answer was too long to be kept for repeats")
	}
	if err := answer.Head(result.outcome.Status, result.outcome.Header); err != nil {
		return err
	}
	return answer.Chunk(result.outcome.Body, 0)
}

// pollLog reads the next records of the orders stream. After a failure it tells the machine that the log is down and
// waits for orderReadRetry.
func (or *orders) pollLog(ctx context.Context) {
	if err := or.read(ctx); err != nil {
		or.decide(func(now time.Time, machine *order.Machine) []order.Action { return machine.LogDown(now) })
		pause(ctx, orderReadRetry)
	}
}

func (or *orders) read(ctx context.Context) error {
	or.mu.Lock()
	from := or.machine.NextOffset()
	or.mu.Unlock()
	inner, cancel := context.WithTimeout(ctx, orderReadTimeout)
	defer cancel()
	batch, err := or.log.Read(inner, chestnutroad.StreamOrders, from, orderReadWait)
	if err != nil {
		return err
	}
	or.decide(func(now time.Time, machine *order.Machine) []order.Action { return machine.ReadBatch(now, batch) })
	return nil
}

// tick calls the machine's Tick, for its timeouts and appends, every orderTickInterval until the context ends.
func (or *orders) tick(ctx context.Context) {
	every(ctx, orderTickInterval, func() {
		or.decide(func(now time.Time, machine *order.Machine) []order.Action { return machine.Tick(now) })
	})
}

// snapshot appends a snapshot of the orders if one is due.
func (or *orders) snapshot(ctx context.Context) {
	or.mu.Lock()
	var parts [][]byte
	if now := or.now(); or.machine.SnapshotDue(now) {
		parts = or.machine.Snapshot(now)
	}
	or.mu.Unlock()
	appendParts(ctx, or.log, chestnutroad.StreamOrders, parts)
}

// configure applies the order settings of the configuration in force.
func (or *orders) configure(fleet settings.Fleet) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.machine.Configure(
		order.WithAppendInterval(fleet.AppendInterval),
		order.WithAppendBudget(fleet.AppendBudget),
		order.WithRepeatWindow(fleet.RepeatWindow),
		order.WithRetention(fleet.LogRetention),
	)
}

// setOwners sets the number of hosts that share the append budget.
func (or *orders) setOwners(owners int) {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.machine.SetOwners(owners)
}

// ready reports whether the order log has been read far enough to tell which orders have run.
func (or *orders) ready() bool {
	or.mu.Lock()
	defer or.mu.Unlock()
	return or.machine.Ready()
}

// busy reports whether an order is not answered yet, or a record of one is not in the log yet.
func (or *orders) busy() bool {
	or.mu.Lock()
	defer or.mu.Unlock()
	return or.machine.Busy()
}

// callDigest returns a hash of the call's method, path and body. It exposes two different calls under one idempotency key.
func callDigest(call *chestnutroad.Call) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(call.Method + " " + call.Path + "\n"))
	_, _ = hash.Write(call.Body)
	return base64.RawURLEncoding.EncodeToString(hash.Sum(nil))
}

var errAnswerTooLong = errors.New("the order's answer is over 4 MiB")

// bufferedAnswer holds a whole answer in memory, since repeats of the order get it too.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Head stores the status and the headers that repeats get.
func (an *bufferedAnswer) Head(status int, header http.Header) error {
	an.status = status
	an.header = http.Header{}
	for _, name := range []string{"Content-Type", "Content-Digest", "Location"} {
		if values := header.Values(name); len(values) > 0 {
			an.header[name] = values
		}
	}
	return nil
}

// Chunk appends the data to the body, or fails if the body would exceed maxOrderAnswerBytes.
func (an *bufferedAnswer) Chunk(data []byte, _ chestnutroad.Tokens) error {
	if len(an.body)+len(data) > maxOrderAnswerBytes {
		return errAnswerTooLong
	}
	an.body = append(an.body, data...)
	return nil
}
