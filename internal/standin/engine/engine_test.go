package engine_test

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/engine"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	enginestandin "github.com/chestnutroad/chestnutroad/internal/standin/engine"
)

// start serves an engine and returns it with a client for it.
func start(t *testing.T, options ...enginestandin.Option) (*enginestandin.Engine, *engine.Client) {
	t.Helper()
	options = append([]enginestandin.Option{enginestandin.WithID("e1"), enginestandin.WithTokenTime(0, 0)}, options...)
	standIn := enginestandin.New(options...)
	server, err := standin.Start("127.0.0.1:0", standIn.FaultInjector(), standIn.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return standIn, engine.New(server.Address())
}

// chat runs a chat that generates 4 tokens, and returns the number of prompt tokens that the engine reused, as text.
func chat(t *testing.T, client *engine.Client, id string) string {
	t.Helper()
	answer := &standin.Recorder{}
	err := client.Do(t.Context(), &chestnutroad.Call{
		Request: "r", Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{"Chestnutroad-Chat": {id}},
		Body:   []byte(`{"stream":true,"max_tokens":4,"messages":[{"role":"user","content":"0123456789012345678901"}]}`),
		Repeat: chestnutroad.RepeatAllowed,
	}, answer)
	if err != nil {
		t.Error(err)
	}
	return answer.Header().Get(enginestandin.HeaderReusedTokens)
}

func events(t *testing.T, client *engine.Client, after uint64) []chestnutroad.CacheEvent {
	t.Helper()
	answer, err := client.CacheEvents(t.Context(), after)
	if err != nil {
		t.Error(err)
	}
	return answer.Events
}

// TestCache guards against a stand-in that reuses context beyond the capacity of its cache or reports no evictions. The context
// of each chat has 11 tokens, so that the cache holds two chats.
func TestCache(t *testing.T) {
	t.Parallel()
	_, client := start(t, enginestandin.WithCacheTokens(25))
	for index, step := range []struct{ chat, reused string }{{"a", "0"}, {"b", "0"}, {"a", "7"}, {"c", "0"}, {"b", "0"}, {"c", "7"}} {
		if reused := chat(t, client, step.chat); reused != step.reused {
			t.Errorf("step %d: chat %s reused %s tokens, want %s", index, step.chat, reused, step.reused)
		}
	}
	cached := func(event chestnutroad.CacheEvent) bool { return event.Cached > 0 }
	if evicted := slices.DeleteFunc(events(t, client, 0), cached); len(evicted) != 2 {
		t.Errorf("evictions %+v, want 2", evicted)
	}
}

// TestEventFaults guards against EventDelay and EventGap faults that have no effect.
func TestEventFaults(t *testing.T) {
	t.Parallel()
	standIn, client := start(t)
	chat(t, client, "a")
	chat(t, client, "b")
	chat(t, client, "c")
	tests := []struct {
		faults standin.Faults
		after  uint64
		count  int
	}{
		{standin.Faults{}, 0, 3},
		{standin.Faults{}, 2, 1},
		{standin.Faults{EventGap: 3}, 0, 2},
		{standin.Faults{EventDelay: standin.Duration(time.Minute)}, 0, 0},
	}
	for _, test := range tests {
		standIn.FaultInjector().Set(test.faults)
		if list := events(t, client, test.after); len(list) != test.count {
			t.Errorf("case %+v: events %+v", test, list)
		}
	}
}

// TestLoad guards against load reports without the work of running and waiting chats, a Lag fault that has no effect, and a full
// engine that accepts another chat.
func TestLoad(t *testing.T) {
	t.Parallel()
	standIn, client := start(t, enginestandin.WithTokenTime(100*time.Millisecond, 0), enginestandin.WithBatch(2, 1))
	var group sync.WaitGroup
	for range 3 {
		group.Go(func() { chat(t, client, "a") })
	}
	var present engine.Load
	var err error
	// Each of the 3 chats is 5 units of work, 4 of which are for its tokens; the third waits for a slot.
	for attempt := 0; present.Running != 2 || present.Work <= 10; attempt++ {
		present, err = client.Load(t.Context())
		if err != nil || present.BatchSlots != 2 || present.Target != "e1" || attempt == 1000 {
			t.Fatalf("report %+v, error %v", present, err)
		}
		time.Sleep(time.Millisecond)
	}
	standIn.FaultInjector().Set(standin.Faults{Lag: standin.Duration(time.Minute)})
	past, err := client.Load(t.Context())
	if err != nil || past.Running != 0 || past.Work != 0 || !past.Taken.Before(present.Taken) {
		t.Errorf("load report with lag %+v, error %v", past, err)
	}
	err = client.Do(t.Context(), &chestnutroad.Call{
		Method: http.MethodPost, Path: "/v1/chat/completions",
		Body: []byte(`{"messages":[{}]}`), Repeat: chestnutroad.RepeatAllowed,
	}, &standin.Recorder{})
	if refusal := chestnutroad.RefusalOf(err); err == nil || !refusal.NotRun {
		t.Errorf("a fourth chat was not refused: %v", err)
	}
	group.Wait()
	standIn.FaultInjector().Set(standin.Faults{})
	// The engine removes a chat from its load shortly after it sends the last event.
	for attempt := 0; present.Running != 0 || present.Work != 0; attempt++ {
		present, err = client.Load(t.Context())
		if err != nil || attempt == 1000 {
			t.Fatalf("report %+v of an idle engine, error %v", present, err)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestFencing guards against an engine that accepts an order with an outdated fencing number, and against an IgnoreFencing fault
// that has no effect.
func TestFencing(t *testing.T) {
	t.Parallel()
	standIn, client := start(t)
	tests := []struct {
		number   chestnutroad.FencingNumber
		ignore   bool
		accepted bool
	}{{5, false, true}, {5, false, true}, {4, false, false}, {4, true, true}, {4, false, false}, {6, false, true}}
	for index, test := range tests {
		standIn.FaultInjector().Set(standin.Faults{IgnoreFencing: test.ignore})
		err := client.Order(t.Context(), chestnutroad.EngineOrder{Number: test.number, Load: "m"})
		if (err == nil) != test.accepted || (err != nil && chestnutroad.RefusalOf(err).Kind != chestnutroad.TargetRefused) {
			t.Errorf("step %d: error %v", index, err)
		}
	}
}

// TestPollAfterRestart guards against a client that continues at the sequence number of an engine's previous incarnation, and so
// misses the events after a restart, which are numbered from the beginning.
func TestPollAfterRestart(t *testing.T) {
	t.Parallel()
	var current atomic.Pointer[enginestandin.Engine]
	server, err := standin.Start("127.0.0.1:0", standin.NewFaultInjector(standin.Faults{}),
		http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) { current.Load().Handler().ServeHTTP(rw, req) }))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client := engine.New(server.Address())
	seen := make(chan chestnutroad.CacheEvent, 16)
	for index, id := range []string{"a", "b", "c"} {
		if index != 1 {
			current.Store(enginestandin.New(enginestandin.WithTokenTime(0, 0)))
		}
		chat(t, client, id)
		if index == 0 {
			go client.PollCacheEvents(t.Context(), 10*time.Millisecond, func(list engine.Events, _ error) {
				for _, event := range list.Events {
					seen <- event
				}
			})
		}
		select {
		case event := <-seen:
			if event.Chat.String() != id {
				t.Errorf("event %+v, want chat %v", event, id)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no event of chat %v", id)
		}
	}
}
