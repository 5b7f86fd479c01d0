package target_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/engine"
	"github.com/chestnutroad/chestnutroad/internal/service"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/raw"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

const success = ""

// serviceFaults guard against a failed call that is reported as not run although the target received it, and against a
// truncated or malformed answer that is taken for a complete one.
var serviceFaults = []struct {
	name   string
	answer raw.Script
	// repeatable and atMostOnce are the kinds expected for a call that may be repeated and for one that must run at most once.
	repeatable chestnutroad.Kind
	atMostOnce chestnutroad.Kind
	notRun     bool
}{
	{"reset before the head", raw.RespondAndReset(""), chestnutroad.OutcomeUnknown, chestnutroad.OutcomeUnknown, false},
	{"closed before the head", raw.RespondAndClose(""), chestnutroad.OutcomeUnknown, chestnutroad.OutcomeUnknown, false},
	{"reset in the head", raw.RespondAndReset("HTTP/1.1 200 OK\r\nContent-Le"), chestnutroad.OutcomeUnknown, chestnutroad.OutcomeUnknown, false},
	{"reset after the head", raw.RespondAndReset("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"), chestnutroad.StreamBroken, chestnutroad.OutcomeUnknown, false},
	{"reset in the body", raw.RespondAndReset("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo"), chestnutroad.StreamBroken, chestnutroad.OutcomeUnknown, false},
	{"closed in the body", raw.RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo"), chestnutroad.StreamBroken, chestnutroad.OutcomeUnknown, false},
	{"closed before the last chunk", raw.RespondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"), chestnutroad.StreamBroken, chestnutroad.OutcomeUnknown, false},
	{"reset after the body", raw.RespondAndReset("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), success, success, false},
	{"closed after the last chunk", raw.RespondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), success, success, false},
	{"body without a length or chunks", raw.RespondAndClose("HTTP/1.1 200 OK\r\n\r\nbody"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"not HTTP", raw.Respond("\x00\x01 not HTTP\r\n\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"malformed chunk", raw.Respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nbody\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"head that never ends", raw.RespondForever("HTTP/1.1 200 OK\r\n", "More: and more\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"header line that never ends", raw.RespondForever("HTTP/1.1 200 OK\r\nMore: ", "and more"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"body over the limit", raw.RespondForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"length over the limit", raw.Respond("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"protocol switch", raw.Respond("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"status 000", raw.Respond("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"status 999", raw.Respond("HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"silent before the head", raw.Respond(""), chestnutroad.OutcomeUnknown, chestnutroad.OutcomeUnknown, false},
	{"silent in the body", raw.Respond("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo"), chestnutroad.StreamBroken, chestnutroad.OutcomeUnknown, false},
	{"refused as not run", raw.Respond("HTTP/1.1 503 Busy\r\nChestnutroad-Not-Run: true\r\nContent-Length: 0\r\n\r\n"), chestnutroad.TargetRefused, chestnutroad.TargetRefused, true},
	{"unavailable without the not-run header", raw.Respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), success, success, false},
	{"redirect", raw.Respond("HTTP/1.1 307 Elsewhere\r\nLocation: /orders\r\nContent-Length: 0\r\n\r\n"), success, success, false},
}

func TestServiceFaults(t *testing.T) {
	t.Parallel()
	for _, test := range serviceFaults {
		for _, repeat := range []chestnutroad.Repeat{chestnutroad.RepeatAllowed, chestnutroad.RepeatNever} {
			t.Run(test.name+"/"+string(repeat), func(t *testing.T) {
				t.Parallel()
				server := startRaw(t, test.answer)
				client := service.New(server.Address(), service.WithHeadTimeout(2*time.Second),
					service.WithBodyTimeout(2*time.Second), service.WithBodyLimit(1<<16))
				defer client.Close()
				err := client.Do(t.Context(), orderCall(repeat), &standin.Recorder{})
				checkOutcome(t, err, kindFor(repeat, test.repeatable, test.atMostOnce), test.notRun)
				if list := server.Requests(); len(list) != 1 {
					t.Errorf("%d requests reached the target: %+v", len(list), list)
				}
			})
		}
	}
}

func orderCall(repeat chestnutroad.Repeat) *chestnutroad.Call {
	header := make(http.Header)
	if repeat == chestnutroad.RepeatNever {
		header.Set("Idempotency-Key", "key-1")
	}
	return &chestnutroad.Call{
		Request: "request-1", Method: http.MethodPost, Path: "/orders", Header: header,
		Body: []byte(`{"Item":"screw"}`), Repeat: repeat,
	}
}

func kindFor(repeat chestnutroad.Repeat, repeatable, atMostOnce chestnutroad.Kind) chestnutroad.Kind {
	if repeat == chestnutroad.RepeatNever {
		return atMostOnce
	}
	return repeatable
}

func checkOutcome(t *testing.T, err error, want chestnutroad.Kind, notRun bool) {
	t.Helper()
	refusal := &chestnutroad.Refusal{Kind: success}
	if err != nil {
		refusal = chestnutroad.RefusalOf(err)
	}
	if refusal.Kind != want || refusal.NotRun != notRun {
		t.Fatalf("want %q, not run %v; got %+v from %v", want, notRun, refusal, err)
	}
}

func startRaw(t *testing.T, script raw.Script) *raw.Server {
	t.Helper()
	return startRawPerConnection(t, countingAddress, func() raw.Script { return script })
}

// Servers that count requests, and servers that stop listening while clients still connect, use loopback addresses of their
// own: a port that one test released may be reused by a server of another test or process, which would then count requests
// that were not meant for it.
const (
	countingAddress = "127.0.0.8:0"
	closingAddress  = "127.0.0.7:0"
)

func startRawPerConnection(t *testing.T, address string, script func() raw.Script) *raw.Server {
	t.Helper()
	server, err := raw.StartPerConnection(address, script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestIdleConnectionClosedAtReuse first shows that net/http on its own sends an order twice when the target closes an idle
// connection just as it is reused, and then guards against the service client doing the same.
func TestIdleConnectionClosedAtReuse(t *testing.T) {
	t.Parallel()
	plain := startRawPerConnection(t, countingAddress, raw.OncePerConnection(raw.Respond(okAnswer)))
	for range 2 {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+plain.Address()+"/orders", strings.NewReader("{}"))
		req.Header.Set("Idempotency-Key", "key-1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if count := len(plain.Requests()); count != 3 {
		t.Errorf("baseline: net/http sent 2 orders in %d requests, want 3 with the second order sent twice", count)
	}
	server := startRawPerConnection(t, countingAddress, raw.OncePerConnection(raw.Respond(okAnswer)))
	client := service.New(server.Address())
	for range 3 {
		checkOutcome(t, client.Do(t.Context(), orderCall(chestnutroad.RepeatNever), &standin.Recorder{}), success, false)
	}
	if count := len(server.Requests()); count != 3 {
		t.Errorf("3 orders were sent in %d requests", count)
	}
}

// TestResentThenRefused guards against reporting a call as not run from the last of several connections alone: the reused
// connection broke after it had taken the request, and the connection for net/http's retry is refused.
func TestResentThenRefused(t *testing.T) {
	t.Parallel()
	var server *raw.Server
	server = startRawPerConnection(t, closingAddress, raw.OncePerConnection(func(connection net.Conn, req *http.Request) {
		server.StopListening()
		raw.Respond(okAnswer)(connection, req)
	}))
	client := service.New(server.Address())
	call := orderCall(chestnutroad.RepeatTargetDeduplicates)
	call.Header.Set("Idempotency-Key", "key-1")
	checkOutcome(t, client.Do(t.Context(), call, &standin.Recorder{}), success, false)
	checkOutcome(t, client.Do(t.Context(), call, &standin.Recorder{}), chestnutroad.OutcomeUnknown, false)
}

// TestNotRunCallNeverArrives cancels calls at random moments around the first write. It guards against a call that is reported
// as not run but reaches the target, even after Do has returned, and against one that must run at most once but arrives
// twice. It keeps the processor busy, so it does not run in parallel with other tests.
func TestNotRunCallNeverArrives(t *testing.T) {
	const calls = 1500
	// maxTimeout is about the time that it takes to connect and write a call on loopback.
	const maxTimeout = 400 * time.Microsecond
	tests := []struct {
		name   string
		client func(address string) chestnutroad.Target
		repeat chestnutroad.Repeat
	}{
		{"single-use HTTP/1.1", func(address string) chestnutroad.Target { return service.New(address) }, chestnutroad.RepeatNever},
		{"keep-alive HTTP/1.1", func(address string) chestnutroad.Target { return service.New(address) }, chestnutroad.RepeatAllowed},
		{"multiplexed HTTP/2", func(address string) chestnutroad.Target { return engine.New(address) }, chestnutroad.RepeatAllowed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var seen, notRun sync.Map
			client := test.client(serve(t, func(rw http.ResponseWriter, req *http.Request) {
				_, again := seen.LoadOrStore(req.Header.Get(target.HeaderRequest), true)
				if again && test.repeat == chestnutroad.RepeatNever {
					t.Error("a call that must run at most once arrived twice")
				}
				_, _ = rw.Write([]byte("{}"))
			}))
			random := rand.New(rand.NewPCG(1, 2))
			var group sync.WaitGroup
			limit := make(chan struct{}, 16)
			for index := range calls {
				wait := time.Duration(random.Int64N(int64(maxTimeout)))
				limit <- struct{}{}
				group.Go(func() {
					defer func() { <-limit }()
					ctx, cancel := context.WithTimeout(t.Context(), wait)
					defer cancel()
					call := orderCall(test.repeat)
					call.Request = chestnutroad.RequestID(fmt.Sprint(index))
					err := client.Do(ctx, call, &standin.Recorder{})
					if err != nil && chestnutroad.RefusalOf(err).NotRun {
						notRun.Store(string(call.Request), true)
					}
				})
			}
			group.Wait()
			time.Sleep(200 * time.Millisecond)
			refused := 0
			notRun.Range(func(id, _ any) bool {
				refused++
				if _, arrived := seen.Load(id); arrived {
					t.Errorf("call %v was reported as not run but arrived", id)
				}
				return true
			})
			if refused == 0 {
				t.Error("no call was reported as not run, so the test checks nothing")
			}
		})
	}
}
