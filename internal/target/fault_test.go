package target_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/service"
)

const success = ""

// serviceFaults guards against a failed call that is called "not run" although the target has it, and against a cut or
// malformed answer that passes for a whole one.
var serviceFaults = []struct {
	name   string
	answer func(net.Conn, *http.Request)
	// repeatable and once are the kinds for a call that may be repeated and for one that must run at most once.
	repeatable chestnutroad.Kind
	once       chestnutroad.Kind
	notRun     bool
}{
	{"reset before the head", sayAndReset(""), chestnutroad.OutcomeUnknown, chestnutroad.OutcomeUnknown, false},
	{"closed before the head", sayAndClose(""), chestnutroad.OutcomeUnknown, chestnutroad.OutcomeUnknown, false},
	{"reset in the head", sayAndReset("HTTP/1.1 200 OK\r\nContent-Le"), chestnutroad.OutcomeUnknown, chestnutroad.OutcomeUnknown, false},
	{"reset after the head", sayAndReset("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"), chestnutroad.StreamBroken, chestnutroad.OutcomeUnknown, false},
	{"reset in the body", sayAndReset("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo"), chestnutroad.StreamBroken, chestnutroad.OutcomeUnknown, false},
	{"closed in the body", sayAndClose("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo"), chestnutroad.StreamBroken, chestnutroad.OutcomeUnknown, false},
	{"closed before the last chunk", sayAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"), chestnutroad.StreamBroken, chestnutroad.OutcomeUnknown, false},
	{"reset after the body", sayAndReset("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), success, success, false},
	{"closed after the last chunk", sayAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), success, success, false},
	{"body without a length or chunks", sayAndClose("HTTP/1.1 200 OK\r\n\r\nbody"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"not HTTP", say("\x00\x01 not HTTP\r\n\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"malformed chunk", say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nbody\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"head that never ends", sayForever("HTTP/1.1 200 OK\r\n", "More: and more\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"header line that never ends", sayForever("HTTP/1.1 200 OK\r\nMore: ", "and more"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"body over the limit", sayForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"length over the limit", say("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"protocol switch", say("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"), chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false},
	{"silent before the head", say(""), chestnutroad.OutcomeUnknown, chestnutroad.OutcomeUnknown, false},
	{"silent in the body", say("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo"), chestnutroad.StreamBroken, chestnutroad.OutcomeUnknown, false},
	{"refused as not run", say("HTTP/1.1 503 Busy\r\nChestnutroad-Not-Run: true\r\nContent-Length: 0\r\n\r\n"), chestnutroad.TargetRefused, chestnutroad.TargetRefused, true},
	{"unavailable without a word on running", say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), success, success, false},
	{"redirect", say("HTTP/1.1 307 Elsewhere\r\nLocation: /orders\r\nContent-Length: 0\r\n\r\n"), success, success, false},
}

func TestServiceFaults(t *testing.T) {
	t.Parallel()
	for _, test := range serviceFaults {
		for _, repeat := range []chestnutroad.Repeat{chestnutroad.RepeatAllowed, chestnutroad.RepeatNever} {
			t.Run(test.name+"/"+string(repeat), func(t *testing.T) {
				t.Parallel()
				server := newRawServer(t, test.answer)
				client := service.New(server.address(), service.WithHeadTimeout(300*time.Millisecond),
					service.WithBodyTimeout(300*time.Millisecond), service.WithBodyLimit(1<<16))
				defer client.Close()
				err := client.Do(t.Context(), orderCall(repeat), &recorder{})
				want := test.repeatable
				if repeat == chestnutroad.RepeatNever {
					want = test.once
				}
				checkOutcome(t, err, want, test.notRun)
				if server.requests.Load() != 1 {
					t.Errorf("%d requests reached the target", server.requests.Load())
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

func checkOutcome(t *testing.T, err error, want chestnutroad.Kind, notRun bool) {
	t.Helper()
	if want == success {
		if err != nil {
			t.Errorf("error %v", err)
		}
		return
	}
	if err == nil {
		t.Fatal("no error")
	}
	refusal := chestnutroad.RefusalOf(err)
	if refusal.Kind != want || refusal.NotRun != notRun {
		t.Errorf("want %v, not run %v; got %+v from %v", want, notRun, refusal, err)
	}
}

// idleCloser answers the first request of each connection; it receives a further one, runs it and closes without an answer.
func idleCloser(t *testing.T, runs func(*http.Request)) *rawServer {
	t.Helper()
	var served sync.Map
	return newRawServer(t, func(raw net.Conn, req *http.Request) {
		runs(req)
		if _, again := served.LoadOrStore(raw, true); again {
			_ = raw.Close()
			return
		}
		say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")(raw, req)
	})
}

// TestIdleConnectionClosedAtReuse first shows that net/http by itself runs an order twice when the target closes an idle
// connection just as it is reused, and guards against our client doing so.
func TestIdleConnectionClosedAtReuse(t *testing.T) {
	t.Parallel()
	runs := make(chan string, 16)
	server := idleCloser(t, func(req *http.Request) { runs <- req.Header.Get("Idempotency-Key") })
	post := func(key string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.address()+"/orders", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	post("plain-1")
	post("plain-2")
	if len(runs) != 3 {
		t.Errorf("baseline: net/http sent %d requests, expected it to send the second one twice", len(runs))
	}
	client := service.New(server.address())
	defer client.Close()
	before := len(runs)
	for _, key := range []string{"ours-1", "ours-2", "ours-3"} {
		call := orderCall(chestnutroad.RepeatNever)
		call.Header.Set("Idempotency-Key", key)
		if err := client.Do(t.Context(), call, &recorder{}); err != nil {
			t.Errorf("%s: %v", key, err)
		}
	}
	if len(runs)-before != 3 {
		t.Errorf("3 orders ran %d times", len(runs)-before)
	}
}

// TestResentThenRefused guards against "not run" being judged by the last of several connections: the reused one took the
// request and broke, and net/http's second try is refused.
func TestResentThenRefused(t *testing.T) {
	t.Parallel()
	var server *rawServer
	count := 0
	server = newRawServer(t, func(raw net.Conn, req *http.Request) {
		count++
		if count == 2 {
			_ = server.listener.Close()
			_ = raw.Close()
			return
		}
		say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")(raw, req)
	})
	client := service.New(server.address())
	defer client.Close()
	call := orderCall(chestnutroad.RepeatTargetDeduplicates)
	call.Header.Set("Idempotency-Key", "key-1")
	checkOutcome(t, client.Do(t.Context(), call, &recorder{}), success, false)
	checkOutcome(t, client.Do(t.Context(), call, &recorder{}), chestnutroad.OutcomeUnknown, false)
}
