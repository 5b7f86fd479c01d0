package host

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// scriptedRouter returns the answers in order, one for each attempt; the last one repeats.
type scriptedRouter struct {
	answers []error
	// tokens is the number of tokens that an attempt sends before it ends.
	tokens      chestnutroad.Tokens
	count       int
	resumeAt    []chestnutroad.Tokens
	forwardedTo []chestnutroad.DataCentreID
}

func shardIn(centre chestnutroad.DataCentreID) chestnutroad.ShardID {
	return chestnutroad.ShardID{DataCentre: centre}
}

func (sr *scriptedRouter) shards(*chestnutroad.Request) []chestnutroad.ShardID {
	return []chestnutroad.ShardID{shardIn("a"), shardIn("b")}
}

func (sr *scriptedRouter) forward(
	_ context.Context, id chestnutroad.ShardID, _ *chestnutroad.Request, call *chestnutroad.Call,
	answer chestnutroad.Answer, _ int,
) error {
	sr.forwardedTo = append(sr.forwardedTo, id.DataCentre)
	sr.resumeAt = append(sr.resumeAt, call.ResumeAt)
	err := sr.answers[min(sr.count, len(sr.answers)-1)]
	sr.count++
	if sr.tokens > 0 {
		if headErr := answer.Head(http.StatusOK, http.Header{}); headErr != nil {
			return headErr
		}
		if chunkErr := answer.Chunk([]byte("x"), sr.tokens); chunkErr != nil {
			return chunkErr
		}
	}
	return err
}

// discardAnswer discards the answer.
type discardAnswer struct{}

func (discardAnswer) Head(int, http.Header) error             { return nil }
func (discardAnswer) Chunk([]byte, chestnutroad.Tokens) error { return nil }

func newRefusal(kind chestnutroad.Kind, notRun bool) error {
	return &chestnutroad.Refusal{Kind: kind, NotRun: notRun}
}

// TestEntryAttempts guards against attempts that go to the wrong shard or resume at the wrong token, against a second
// attempt of an order that may have run, and against unlimited redirects.
func TestEntryAttempts(t *testing.T) {
	chat := chestnutroad.Request{Chat: 1, Repeat: chestnutroad.RepeatAllowed}
	order := chestnutroad.Request{Repeat: chestnutroad.RepeatNever}
	tests := []struct {
		name    string
		request chestnutroad.Request
		tokens  chestnutroad.Tokens
		answers []error
		want    []chestnutroad.DataCentreID
		kind    chestnutroad.Kind
	}{
		{"answered", chat, 0, []error{nil}, []chestnutroad.DataCentreID{"a"}, ""},
		{"redirected", chat, 0, []error{&redirect{shardIn("c")}, nil}, []chestnutroad.DataCentreID{"a", "c"}, ""},
		{
			"redirected without end", chat, 0,
			[]error{&redirect{shardIn("c")}},
			[]chestnutroad.DataCentreID{"a", "c", "c", "c"},
			chestnutroad.Overloaded,
		},
		{"new owner", chat, 0, []error{errNotOwner, nil}, []chestnutroad.DataCentreID{"a", "a"}, ""},
		{
			"no target in the first shard", order, 0,
			[]error{newRefusal(chestnutroad.NoTarget, true), nil},
			[]chestnutroad.DataCentreID{"a", "b"},
			"",
		},
		{
			"no target anywhere", order, 0,
			[]error{newRefusal(chestnutroad.NoTarget, true)},
			[]chestnutroad.DataCentreID{"a", "b"},
			chestnutroad.NoTarget,
		},
		{
			"an order that may have run", order, 0,
			[]error{newRefusal(chestnutroad.OutcomeUnknown, false), nil},
			[]chestnutroad.DataCentreID{"a"},
			chestnutroad.OutcomeUnknown,
		},
		{
			"a broken stream of an order", order, 0,
			[]error{newRefusal(chestnutroad.StreamBroken, false), nil},
			[]chestnutroad.DataCentreID{"a"},
			chestnutroad.StreamBroken,
		},
		{
			"a broken stream of a chat", chat, 5,
			[]error{newRefusal(chestnutroad.StreamBroken, false), nil},
			[]chestnutroad.DataCentreID{"a", "a"},
			"",
		},
		{
			"overloaded", chat, 0,
			[]error{newRefusal(chestnutroad.Overloaded, true), nil},
			[]chestnutroad.DataCentreID{"a"},
			chestnutroad.Overloaded,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			router := &scriptedRouter{answers: tt.answers, tokens: tt.tokens}
			request := tt.request
			err := newEntry(router, time.Now).Forward(t.Context(), &request, &chestnutroad.Call{Header: http.Header{}}, discardAnswer{})
			kind := chestnutroad.Kind("")
			if err != nil {
				kind = chestnutroad.RefusalOf(err).Kind
			}
			if kind != tt.kind || len(router.forwardedTo) != len(tt.want) {
				t.Fatalf("forwarded to %v with error %v, want %v and kind %q", router.forwardedTo, err, tt.want, tt.kind)
			}
			for index, centre := range tt.want {
				if router.forwardedTo[index] != centre {
					t.Errorf("forwarded to %v, want %v", router.forwardedTo, tt.want)
				}
				if want := tt.tokens * chestnutroad.Tokens(index); router.resumeAt[index] != want {
					t.Errorf("attempt %d starts at token %d, want %d", index, router.resumeAt[index], want)
				}
			}
		})
	}
}

// TestRetryBudget guards against retries that amplify an overload: when every target refuses, there are at most 10% more
// attempts than requests, beyond the floor of one retry per second.
func TestRetryBudget(t *testing.T) {
	const requests = 1000
	now := time.Unix(1_800_000_000, 0)
	router := &scriptedRouter{answers: []error{newRefusal(chestnutroad.TargetRefused, true)}}
	en := newEntry(router, func() time.Time { return now })
	for range requests {
		now = now.Add(time.Millisecond)
		request := &chestnutroad.Request{Repeat: chestnutroad.RepeatAllowed}
		if err := en.Forward(t.Context(), request, &chestnutroad.Call{Header: http.Header{}}, discardAnswer{}); err == nil {
			t.Fatal("Forward returned no error although every target refuses")
		}
	}
	limit := requests + requests/10 + int(defaultRetryFloor*defaultRetryWindow.Seconds())
	if router.count > limit {
		t.Errorf("%d attempts for %d requests, want at most %d", router.count, requests, limit)
	}
	if router.count == requests {
		t.Error("the budget allowed no retry")
	}
}

// TestRedirectLimit guards against a RedirectLimit in the settings that has no effect.
func TestRedirectLimit(t *testing.T) {
	for _, limit := range []int{0, 1, 5} {
		router := &scriptedRouter{answers: []error{&redirect{shardIn("c")}}}
		en := newEntry(router, time.Now)
		en.configure(settings.Fleet{RedirectLimit: limit, RetryWindow: time.Second})
		request := chestnutroad.Request{Chat: 1, Repeat: chestnutroad.RepeatAllowed}
		err := en.Forward(t.Context(), &request, &chestnutroad.Call{Header: http.Header{}}, discardAnswer{})
		if chestnutroad.RefusalOf(err).Kind != chestnutroad.Overloaded || router.count != limit+1 {
			t.Errorf("redirect limit %d: %d attempts, error %v", limit, router.count, err)
		}
	}
}
