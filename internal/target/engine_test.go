package target_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/engine"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	enginestandin "github.com/chestnutroad/chestnutroad/internal/standin/engine"
	"github.com/chestnutroad/chestnutroad/internal/standin/raw"
)

const (
	tokenEvent = `data: {"choices":[{"index":0,"delta":{"content":" a"}}]}` + "\n\n"
	doneEvent  = "data: [DONE]\n\n"
)

// streamFaults guard against a truncated or malformed stream that is taken for a complete answer, against wrong token counts,
// which would make a resumed stream lose or repeat tokens, and against unbounded memory use by a stream without line ends.
var streamFaults = []struct {
	name string
	text string
	// repeated is sent without end after text, unless it is empty.
	repeated string
	want     chestnutroad.Kind
	tokens   chestnutroad.Tokens
}{
	{"complete", tokenEvent + tokenEvent + doneEvent, "", success, 2},
	{"without the final event", tokenEvent + tokenEvent, "", chestnutroad.StreamBroken, 2},
	{"cut within an event", tokenEvent + tokenEvent[:20], "", chestnutroad.StreamBroken, 1},
	{"empty", "", "", chestnutroad.StreamBroken, 0},
	{"event that is not JSON", tokenEvent + "data: }{\n\n", "", chestnutroad.BadAnswer, 1},
	{"event that is not an object", "data: 7\n\n", "", chestnutroad.BadAnswer, 0},
	{"error event", tokenEvent + `data: {"error":{"message":"out of memory"}}` + "\n\n", "", chestnutroad.StreamBroken, 1},
	{"line that never ends", tokenEvent + "data: ", "aaaaaaaaaaaaaaaa", chestnutroad.BadAnswer, 1},
	{"event that never ends", tokenEvent, "data: 1\n", chestnutroad.BadAnswer, 1},
	{"carriage returns", strings.ReplaceAll(tokenEvent+doneEvent, "\n", "\r\n"), "", success, 1},
	{"comment and padding", ": wait\n\n\n" + tokenEvent + doneEvent, "", success, 1},
	{"data on two lines", "data: {\"choices\":[{\"delta\":\ndata: {\"content\":\"a\"}}]}\n\n" + doneEvent, "", success, 1},
	{"role and usage carry no token", `data: {"choices":[{"delta":{"role":"assistant","content":""}}]}` + "\n\n" +
		`data: {"choices":[{"delta":{"content":null}}]}` + "\n\n" + `data: {"choices":[],"usage":{"a":"\"content\":\"b\""}}` + "\n\n" + doneEvent, "", success, 0},
}

func TestStreamFaults(t *testing.T) {
	t.Parallel()
	for _, test := range streamFaults {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := serve(t, func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
				_, err := rw.Write([]byte(test.text))
				for err == nil && test.repeated != "" {
					_, err = rw.Write([]byte(test.repeated))
				}
			})
			answer := &standin.Recorder{}
			err := engine.New(address, engine.WithEventLimit(1<<16)).Do(t.Context(), chatCall("mark", true, chestnutroad.RepeatAllowed), answer)
			checkOutcome(t, err, test.want, false)
			if answer.Tokens() != test.tokens {
				t.Errorf("%d tokens, want %d", answer.Tokens(), test.tokens)
			}
		})
	}
}

func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	return mustStart(t)(standin.Start("127.0.0.1:0", standin.NewFaultInjector(standin.Faults{}), handler)).Address()
}

// mustStart returns a function that fails the test if a server did not start, and closes the server at the end of the test.
func mustStart(t *testing.T) func(*standin.Server, error) *standin.Server {
	t.Helper()
	return func(server *standin.Server, err error) *standin.Server {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.Close() })
		return server
	}
}

// TestNotHTTP2 guards against waiting for a peer that does not speak HTTP/2, and against reporting a call to it as not run.
func TestNotHTTP2(t *testing.T) {
	t.Parallel()
	tests := []struct {
		answer raw.Script
		want   chestnutroad.Kind
	}{
		{raw.Respond("HTTP/1.1 400 Bad Request\r\n\r\n"), chestnutroad.BadAnswer},
		{raw.RespondAndClose(""), chestnutroad.StreamBroken},
		{raw.RespondAndReset(""), chestnutroad.StreamBroken},
	}
	for _, test := range tests {
		client := engine.New(startRaw(t, test.answer).Address())
		checkOutcome(t, client.Do(t.Context(), chatCall("mark", true, chestnutroad.RepeatAllowed), &standin.Recorder{}), test.want, false)
	}
}

// resumeFaults guard against tokens that are lost or repeated when a broken stream is resumed.
var resumeFaults = []struct {
	name   string
	faults standin.Faults
	silent bool
}{
	{"cut with a reset", standin.Faults{CutStreams: 1, CutAfter: 7}, false},
	{"cut cleanly", standin.Faults{CutStreams: 1, CutAfter: 7, CutCleanly: true}, false},
	{"cut before the first token", standin.Faults{CutStreams: 1}, false},
	{"silent connection", standin.Faults{SlowTokens: standin.Duration(20 * time.Millisecond)}, true},
}

func TestResumeIsExact(t *testing.T) {
	for _, test := range resumeFaults {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := mustStart(t)(startEngine())
			client := engine.New(server.Address(), engine.WithPings(100*time.Millisecond, 500*time.Millisecond))
			unbroken, broken := &standin.Recorder{}, &standin.Recorder{}
			call := chatCall("mark", true, chestnutroad.RepeatAllowed)
			checkOutcome(t, client.Do(t.Context(), call, unbroken), success, false)
			server.FaultInjector().Set(test.faults)
			broken.OnChunk = func(rc *standin.Recorder) error {
				if test.silent && rc.Tokens() == 5 {
					server.Silence()
				}
				return nil
			}
			checkOutcome(t, client.Do(t.Context(), call, broken), chestnutroad.StreamBroken, false)
			call.ResumeAt = broken.Tokens()
			call.Attempt++
			checkOutcome(t, client.Do(t.Context(), call, broken), success, false)
			if broken.Body() != unbroken.Body() || broken.Tokens() != 20 {
				t.Errorf("resumed at %d:\n%s\nwant:\n%s", call.ResumeAt, broken.Body(), unbroken.Body())
			}
		})
	}
}

// TestWrongStream guards against delivering the answer to another request, or a stream that restarts instead of resuming.
func TestWrongStream(t *testing.T) {
	t.Parallel()
	for _, faults := range []standin.Faults{{Misrouted: 1}, {IgnoreResume: true}} {
		server := mustStart(t)(startEngine())
		server.FaultInjector().Set(faults)
		call, answer := chatCall("mark", true, chestnutroad.RepeatAllowed), &standin.Recorder{}
		call.ResumeAt = 3
		checkOutcome(t, newEngineClient(server.Address()).Do(t.Context(), call, answer), chestnutroad.BadAnswer, false)
		if answer.HeadCount() != 0 {
			t.Errorf("%+v: the answer was delivered", faults)
		}
	}
}

// TestResumedAtFailingEngine guards against an error, or another answer that is no stream, in the middle of a stream that broke
// off at another engine.
func TestResumedAtFailingEngine(t *testing.T) {
	t.Parallel()
	for _, status := range []int{
		http.StatusOK, http.StatusNoContent, http.StatusBadRequest, http.StatusInternalServerError, http.StatusServiceUnavailable,
	} {
		address := serve(t, func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Content-Type", "application/json")
			rw.WriteHeader(status)
			if status != http.StatusNoContent {
				_, _ = rw.Write([]byte(`{"error":{"message":"out of memory"}}`))
			}
		})
		call, answer := chatCall("mark", true, chestnutroad.RepeatAllowed), &standin.Recorder{}
		call.ResumeAt = 3
		checkOutcome(t, newEngineClient(address).Do(t.Context(), call, answer), chestnutroad.BadAnswer, false)
		if answer.HeadCount() != 0 || answer.Body() != "" {
			t.Errorf("status %d: the answer %q was delivered", status, answer.Body())
		}
	}
}

// TestSilentAndSlow guards against a silent connection that blocks a stream until its deadline, and against treating a slow
// engine as a silent one. The case without pings is the baseline. The test does not run in parallel with those that keep
// the processor busy, since a process without CPU time misses the answer to a ping.
func TestSilentAndSlow(t *testing.T) {
	const sendPing, ping = 100 * time.Millisecond, 500 * time.Millisecond
	tests := []struct {
		name   string
		silent bool
		pings  engine.Option
		want   chestnutroad.Kind
		within time.Duration
	}{
		{"silent connection", true, engine.WithPings(sendPing, ping), chestnutroad.StreamBroken, sendPing + ping + time.Second},
		{"silent connection without pings", true, engine.WithPings(0, 0), chestnutroad.DeadlineExceeded, time.Minute},
		{"slow engine", false, engine.WithPings(sendPing, ping), success, time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := mustStart(t)(enginestandin.Start("127.0.0.1:0", enginestandin.WithTokenTime(time.Second, 0), enginestandin.WithDefaultOutput(3)))
			call := chatCall("mark", true, chestnutroad.RepeatAllowed)
			call.Body = []byte(strings.Replace(string(call.Body), `"max_tokens":20,`, "", 1))
			silenced := time.Now()
			answer := &standin.Recorder{OnChunk: func(rc *standin.Recorder) error {
				if test.silent && rc.Tokens() == 1 {
					silenced = time.Now()
					return standin.NewControl(server.Address()).Silence(t.Context())
				}
				return nil
			}}
			ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
			defer cancel()
			err := engine.New(server.Address(), test.pings).Do(ctx, call, answer)
			checkOutcome(t, err, test.want, false)
			if took := time.Since(silenced); took > test.within {
				t.Errorf("took %v, want at most %v", took, test.within)
			}
		})
	}
}

// TestCancelReachesEngine guards against an engine that keeps generating for a caller that has disconnected.
func TestCancelReachesEngine(t *testing.T) {
	standInEngine := enginestandin.New(enginestandin.WithTokenTime(50*time.Millisecond, 0))
	server := mustStart(t)(standin.Start("127.0.0.1:0", standInEngine.FaultInjector(), standInEngine.Handler()))
	for index, repeat := range []chestnutroad.Repeat{chestnutroad.RepeatAllowed, chestnutroad.RepeatNever} {
		answer := &standin.Recorder{OnChunk: func(*standin.Recorder) error { return errCallerGone }}
		call := chatCall(fmt.Sprint(index), true, repeat)
		_ = newEngineClient(server.Address()).Do(t.Context(), call, answer)
		for wait := 0; standInEngine.Statistics().Cancelled != index+1; wait++ {
			if wait == 100 {
				t.Fatalf("%s: the engine saw no cancellation: %+v", repeat, standInEngine.Statistics())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestSlowCaller guards against an engine's output that accumulates in memory while the caller does not read.
func TestSlowCaller(t *testing.T) {
	var sent atomic.Int64
	address := serve(t, func(rw http.ResponseWriter, req *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		for req.Context().Err() == nil {
			count, _ := rw.Write([]byte(tokenEvent))
			sent.Add(int64(count))
		}
	})
	answer := &standin.Recorder{OnChunk: func(*standin.Recorder) error {
		time.Sleep(300 * time.Millisecond)
		return errCallerGone
	}}
	_ = engine.New(address).Do(t.Context(), chatCall("mark", true, chestnutroad.RepeatAllowed), answer)
	if sent.Load() > 64<<10 {
		t.Errorf("the engine sent %d bytes ahead of the caller, want at most 65536", sent.Load())
	}
}

// TestEngineInvalidStatus guards against an answer whose status is none of HTTP and that the caller gets as an answer.
func TestEngineInvalidStatus(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "999"} {
		server := startRaw(t, raw.Respond("HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}"))
		err := engine.New(server.Address()).Do(t.Context(), chatCall("mark", false, chestnutroad.RepeatNever), &standin.Recorder{})
		checkOutcome(t, err, chestnutroad.OutcomeUnknown, false)
	}
}
