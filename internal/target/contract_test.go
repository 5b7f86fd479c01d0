package target_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/engine"
	"github.com/chestnutroad/chestnutroad/internal/service"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	enginestandin "github.com/chestnutroad/chestnutroad/internal/standin/engine"
	servicestandin "github.com/chestnutroad/chestnutroad/internal/standin/service"
)

// targetMaker builds one implementation of Target, calls for it, and the text by which its answer to a call is known.
type targetMaker struct {
	name   string
	server func() (*standin.Server, error)
	client func(address string) chestnutroad.Target
	call   func(mark string) *chestnutroad.Call
	expect func(call *chestnutroad.Call) string
}

func startEngine() (*standin.Server, error) {
	return enginestandin.Start("127.0.0.1:0", enginestandin.WithTokenTime(time.Millisecond, 0))
}

func startService() (*standin.Server, error) { return servicestandin.Start("127.0.0.1:0") }

func newEngineClient(address string) chestnutroad.Target { return engine.New(address) }

func newServiceClient(address string) chestnutroad.Target { return service.New(address) }

func chatCall(mark string, stream bool, repeat chestnutroad.Repeat) *chestnutroad.Call {
	body := fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":20,"messages":[{"role":"user","content":"hello %s"}]}`, stream, mark)
	return &chestnutroad.Call{
		Request: chestnutroad.RequestID(mark), Attempt: 1, Method: http.MethodPost, Path: "/v1/chat/completions",
		Header: http.Header{"Chestnutroad-Chat": {"c1"}}, Body: []byte(body), Repeat: repeat,
	}
}

func expectChat(call *chestnutroad.Call) string {
	tokens, _ := enginestandin.Expected(call.Body, 0)
	if bytes.Contains(call.Body, []byte(`"stream":true`)) {
		return `"content":"` + tokens[len(tokens)-1] + `"`
	}
	return strings.Join(tokens, "")
}

var targetMakers = []targetMaker{
	{"engine stream", startEngine, newEngineClient, func(mark string) *chestnutroad.Call {
		return chatCall(mark, true, chestnutroad.RepeatAllowed)
	}, expectChat},
	{"engine whole", startEngine, newEngineClient, func(mark string) *chestnutroad.Call {
		return chatCall(mark, false, chestnutroad.RepeatAllowed)
	}, expectChat},
	{"engine once", startEngine, newEngineClient, func(mark string) *chestnutroad.Call {
		return chatCall(mark, true, chestnutroad.RepeatNever)
	}, expectChat},
	{"service lookup", startService, newServiceClient, func(mark string) *chestnutroad.Call {
		return &chestnutroad.Call{Method: http.MethodGet, Path: "/stock/" + mark, Repeat: chestnutroad.RepeatAllowed}
	}, func(call *chestnutroad.Call) string { return `"` + strings.TrimPrefix(call.Path, "/stock/") + `"` }},
	{"service order", startService, newServiceClient, func(mark string) *chestnutroad.Call {
		call := orderCall(chestnutroad.RepeatNever)
		call.Header.Set("Idempotency-Key", mark)
		return call
	}, func(call *chestnutroad.Call) string { return `"Key":"` + call.Header.Get("Idempotency-Key") + `"` }},
}

var errAnswer = errors.New("the caller is gone")

// targetCases guard against implementations of Target that differ in how they hand over answers and end calls.
var targetCases = []struct {
	name  string
	check func(*testing.T, targetMaker, *standin.Server, chestnutroad.Target)
}{
	{"each of many calls gets one head and its own whole answer", func(t *testing.T, maker targetMaker, _ *standin.Server, client chestnutroad.Target) {
		var group sync.WaitGroup
		for index := range 64 {
			group.Go(func() {
				call, answer := maker.call(fmt.Sprintf("mark-%d", index)), &standin.Recorder{}
				err := client.Do(t.Context(), call, answer)
				if err != nil || answer.Heads() != 1 || answer.Status() != http.StatusOK || !strings.Contains(answer.Body(), maker.expect(call)) {
					t.Errorf("error %v, heads %d, status %d, body %s", err, answer.Heads(), answer.Status(), answer.Body())
				}
			})
		}
		group.Wait()
	}},
	{"an error of the answer ends the call", func(t *testing.T, maker targetMaker, _ *standin.Server, client chestnutroad.Target) {
		answer := &standin.Recorder{OnChunk: func(*standin.Recorder) error { return errAnswer }}
		if err := client.Do(t.Context(), maker.call("mark"), answer); !errors.Is(err, errAnswer) {
			t.Errorf("error %v", err)
		}
	}},
	{"a closed port is not run", func(t *testing.T, maker targetMaker, _ *standin.Server, _ chestnutroad.Target) {
		closed := startRawEach(t, closing, nil)
		closed.Close()
		client := maker.client(closed.Address())
		checkOutcome(t, client.Do(t.Context(), maker.call("mark"), &standin.Recorder{}), chestnutroad.NoTarget, true)
	}},
	{"a call that is over before it begins is not run", func(t *testing.T, maker targetMaker, _ *standin.Server, client chestnutroad.Target) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		checkOutcome(t, client.Do(ctx, maker.call("mark"), &standin.Recorder{}), chestnutroad.DeadlineExceeded, true)
	}},
	{"verdicts on failed calls", checkFaults},
	{"a connection that is reset is not called not run", checkDown},
}

// targetFaults guard against implementations of Target that differ in their verdict on a failed call.
var targetFaults = []struct {
	name       string
	faults     standin.Faults
	repeatable chestnutroad.Kind
	once       chestnutroad.Kind
	notRun     bool
	retryAfter time.Duration
}{
	{"refusal by the target", standin.Faults{RefuseNotRun: 1}, chestnutroad.TargetRefused, chestnutroad.TargetRefused, true, time.Second},
	{"passed deadline", standin.Faults{Slow: standin.Duration(time.Minute)}, chestnutroad.DeadlineExceeded, chestnutroad.OutcomeUnknown, false, 0},
	{"garbage", standin.Faults{Garbage: 1}, chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false, 0},
}

var brokenKinds = []chestnutroad.Kind{chestnutroad.OutcomeUnknown, chestnutroad.StreamBroken}

func checkDown(t *testing.T, maker targetMaker, server *standin.Server, client chestnutroad.Target) {
	t.Helper()
	server.Switches().Set(standin.Faults{Down: true})
	refusal := chestnutroad.RefusalOf(client.Do(t.Context(), maker.call("mark"), &standin.Recorder{}))
	if !slices.Contains(brokenKinds, refusal.Kind) || refusal.NotRun {
		t.Errorf("%+v", refusal)
	}
}

func checkFaults(t *testing.T, maker targetMaker, server *standin.Server, client chestnutroad.Target) {
	t.Helper()
	for _, test := range targetFaults {
		server.Switches().Set(test.faults)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		call, answer := maker.call("mark"), &standin.Recorder{}
		err := client.Do(ctx, call, answer)
		cancel()
		t.Log(test.name)
		checkOutcome(t, err, kindFor(call.Repeat, test.repeatable, test.once), test.notRun)
		if chestnutroad.RefusalOf(err).RetryAfter != test.retryAfter || answer.Heads() != 0 {
			t.Errorf("%s: %v after %d heads", test.name, err, answer.Heads())
		}
		if test.faults.Slow > 0 && !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%s: %v hides its cause", test.name, err)
		}
	}
}

func TestTargetContract(t *testing.T) {
	t.Parallel()
	for _, maker := range targetMakers {
		for _, test := range targetCases {
			t.Run(maker.name+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				server := started(t)(maker.server())
				test.check(t, maker, server, maker.client(server.Address()))
			})
		}
	}
}
