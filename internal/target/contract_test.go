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

// targetFactory starts a server and creates one implementation of Target as its client. call returns a call that contains the
// mark, and expect the text that identifies the answer to that call.
type targetFactory struct {
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
	tokens, _ := enginestandin.ExpectedTokens(call.Body, 0)
	if bytes.Contains(call.Body, []byte(`"stream":true`)) {
		return `"content":"` + tokens[len(tokens)-1] + `"`
	}
	return strings.Join(tokens, "")
}

var targetFactories = []targetFactory{
	{"engine stream", startEngine, newEngineClient, func(mark string) *chestnutroad.Call {
		return chatCall(mark, true, chestnutroad.RepeatAllowed)
	}, expectChat},
	{"engine without streaming", startEngine, newEngineClient, func(mark string) *chestnutroad.Call {
		return chatCall(mark, false, chestnutroad.RepeatAllowed)
	}, expectChat},
	{"engine at most once", startEngine, newEngineClient, func(mark string) *chestnutroad.Call {
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

var errCallerGone = errors.New("the caller has disconnected")

// contractTests guard against implementations of Target that differ in how they deliver answers and end calls.
var contractTests = []struct {
	name  string
	check func(*testing.T, targetFactory, *standin.Server, chestnutroad.Target)
}{
	{"each concurrent call gets one head and its own complete answer", func(t *testing.T, factory targetFactory, _ *standin.Server, client chestnutroad.Target) {
		var group sync.WaitGroup
		for index := range 64 {
			group.Go(func() {
				call, answer := factory.call(fmt.Sprintf("mark-%d", index)), &standin.Recorder{}
				err := client.Do(t.Context(), call, answer)
				if err != nil || answer.HeadCount() != 1 || answer.Status() != http.StatusOK || !strings.Contains(answer.Body(), factory.expect(call)) {
					t.Errorf("error %v, heads %d, status %d, body %s", err, answer.HeadCount(), answer.Status(), answer.Body())
				}
			})
		}
		group.Wait()
	}},
	{"an error returned by the Answer ends the call", func(t *testing.T, factory targetFactory, _ *standin.Server, client chestnutroad.Target) {
		answer := &standin.Recorder{OnChunk: func(*standin.Recorder) error { return errCallerGone }}
		if err := client.Do(t.Context(), factory.call("mark"), answer); !errors.Is(err, errCallerGone) {
			t.Errorf("error %v", err)
		}
	}},
	{"a call to a closed port is reported as not run", func(t *testing.T, factory targetFactory, _ *standin.Server, _ chestnutroad.Target) {
		closed := startRawPerConnection(t, closingAddress, nil)
		closed.Close()
		client := factory.client(closed.Address())
		checkOutcome(t, client.Do(t.Context(), factory.call("mark"), &standin.Recorder{}), chestnutroad.NoTarget, true)
	}},
	{"a call cancelled before it starts is reported as not run", func(t *testing.T, factory targetFactory, _ *standin.Server, client chestnutroad.Target) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		checkOutcome(t, client.Do(ctx, factory.call("mark"), &standin.Recorder{}), chestnutroad.DeadlineExceeded, true)
	}},
	{"kinds of failed calls", checkFaults},
	{"a call on a reset connection is not reported as not run", checkReset},
}

// targetFaults guard against implementations of Target that report the same failure as different kinds.
var targetFaults = []struct {
	name       string
	faults     standin.Faults
	repeatable chestnutroad.Kind
	atMostOnce chestnutroad.Kind
	notRun     bool
	retryAfter time.Duration
}{
	{"refusal by the target", standin.Faults{RefuseNotRun: 1}, chestnutroad.TargetRefused, chestnutroad.TargetRefused, true, time.Second},
	{"expired deadline", standin.Faults{Slow: standin.Duration(time.Minute)}, chestnutroad.DeadlineExceeded, chestnutroad.OutcomeUnknown, false, 0},
	{"garbage", standin.Faults{Garbage: 1}, chestnutroad.BadAnswer, chestnutroad.OutcomeUnknown, false, 0},
}

var brokenKinds = []chestnutroad.Kind{chestnutroad.OutcomeUnknown, chestnutroad.StreamBroken}

func checkReset(t *testing.T, factory targetFactory, server *standin.Server, client chestnutroad.Target) {
	t.Helper()
	server.FaultInjector().Set(standin.Faults{Down: true})
	refusal := chestnutroad.RefusalOf(client.Do(t.Context(), factory.call("mark"), &standin.Recorder{}))
	if !slices.Contains(brokenKinds, refusal.Kind) || refusal.NotRun {
		t.Errorf("%+v", refusal)
	}
}

func checkFaults(t *testing.T, factory targetFactory, server *standin.Server, client chestnutroad.Target) {
	t.Helper()
	for _, test := range targetFaults {
		server.FaultInjector().Set(test.faults)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		call, answer := factory.call("mark"), &standin.Recorder{}
		err := client.Do(ctx, call, answer)
		cancel()
		t.Log(test.name)
		checkOutcome(t, err, kindFor(call.Repeat, test.repeatable, test.atMostOnce), test.notRun)
		if chestnutroad.RefusalOf(err).RetryAfter != test.retryAfter || answer.HeadCount() != 0 {
			t.Errorf("%s: %v after %d heads", test.name, err, answer.HeadCount())
		}
		if test.faults.Slow > 0 && !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%s: %v does not wrap the expired deadline", test.name, err)
		}
	}
}

func TestTargetContract(t *testing.T) {
	t.Parallel()
	for _, factory := range targetFactories {
		for _, test := range contractTests {
			t.Run(factory.name+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				server := mustStart(t)(factory.server())
				test.check(t, factory, server, factory.client(server.Address()))
			})
		}
	}
}
