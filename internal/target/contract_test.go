package target_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
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

func newEngineClient(address string) chestnutroad.Target {
	return engine.New(address, engine.WithPings(100*time.Millisecond, 200*time.Millisecond))
}

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
	{"one head and the whole body", func(t *testing.T, maker targetMaker, _ *standin.Server, client chestnutroad.Target) {
		call, answer := maker.call("mark"), &recorder{}
		err := client.Do(t.Context(), call, answer)
		if err != nil || answer.heads != 1 || answer.status != http.StatusOK || !strings.Contains(string(answer.body), maker.expect(call)) {
			t.Errorf("error %v, heads %d, status %d, body %s", err, answer.heads, answer.status, answer.body)
		}
	}},
	{"each of many calls gets its own answer", func(t *testing.T, maker targetMaker, _ *standin.Server, client chestnutroad.Target) {
		var group sync.WaitGroup
		for index := range 64 {
			group.Go(func() {
				call, answer := maker.call(fmt.Sprintf("mark-%d", index)), &recorder{}
				err := client.Do(t.Context(), call, answer)
				if err != nil || !strings.Contains(string(answer.body), maker.expect(call)) {
					t.Errorf("error %v, body %s", err, answer.body)
				}
			})
		}
		group.Wait()
	}},
	{"an error of the answer ends the call", func(t *testing.T, maker targetMaker, _ *standin.Server, client chestnutroad.Target) {
		answer := &recorder{fail: func(*recorder) error { return errAnswer }}
		if err := client.Do(t.Context(), maker.call("mark"), answer); !errors.Is(err, errAnswer) {
			t.Errorf("error %v", err)
		}
	}},
	{"a refusal by the target is not run", func(t *testing.T, maker targetMaker, server *standin.Server, client chestnutroad.Target) {
		server.Switches().Set(standin.Faults{RefuseNotRun: 1})
		err := client.Do(t.Context(), maker.call("mark"), &recorder{})
		checkOutcome(t, err, chestnutroad.TargetRefused, true)
		if chestnutroad.RefusalOf(err).RetryAfter != time.Second {
			t.Errorf("error %v without the target's time to come back", err)
		}
	}},
	{"a closed port is not run", func(t *testing.T, maker targetMaker, _ *standin.Server, _ chestnutroad.Target) {
		client := maker.client(closedAddress(t))
		checkOutcome(t, client.Do(t.Context(), maker.call("mark"), &recorder{}), chestnutroad.NoTarget, true)
	}},
	{"a call that is over before it begins is not run", func(t *testing.T, maker targetMaker, _ *standin.Server, client chestnutroad.Target) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err := client.Do(ctx, maker.call("mark"), &recorder{})
		checkOutcome(t, err, chestnutroad.DeadlineExceeded, true)
	}},
	{"a passed deadline is not called not run", func(t *testing.T, maker targetMaker, server *standin.Server, client chestnutroad.Target) {
		server.Switches().Set(standin.Faults{Slow: standin.Duration(time.Minute)})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		call := maker.call("mark")
		want := chestnutroad.DeadlineExceeded
		if call.Repeat == chestnutroad.RepeatNever {
			want = chestnutroad.OutcomeUnknown
		}
		err := client.Do(ctx, call, &recorder{})
		checkOutcome(t, err, want, false)
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v hides its cause", err)
		}
	}},
	{"a target that is down is not called not run", func(t *testing.T, maker targetMaker, server *standin.Server, client chestnutroad.Target) {
		server.Switches().Set(standin.Faults{Down: true})
		err := client.Do(t.Context(), maker.call("mark"), &recorder{})
		if err == nil || chestnutroad.RefusalOf(err).NotRun {
			t.Errorf("error %v", err)
		}
	}},
	{"garbage is not an answer", func(t *testing.T, maker targetMaker, server *standin.Server, client chestnutroad.Target) {
		server.Switches().Set(standin.Faults{Garbage: 1})
		call, answer := maker.call("mark"), &recorder{}
		want := chestnutroad.BadAnswer
		if call.Repeat == chestnutroad.RepeatNever {
			want = chestnutroad.OutcomeUnknown
		}
		checkOutcome(t, client.Do(t.Context(), call, answer), want, false)
		if answer.heads != 0 {
			t.Error("the garbage was handed over")
		}
	}},
}

func TestTargetContract(t *testing.T) {
	t.Parallel()
	for _, maker := range targetMakers {
		for _, test := range targetCases {
			t.Run(maker.name+"/"+test.name, func(t *testing.T) {
				t.Parallel()
				server, err := maker.server()
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = server.Close() })
				test.check(t, maker, server, maker.client(server.Address()))
			})
		}
	}
}
