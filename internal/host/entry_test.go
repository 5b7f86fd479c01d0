package host

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// scriptedRouter answers the attempts of requests in order; the last answer repeats.
type scriptedRouter struct {
	answers []error
	// tokens is what an attempt sends before it ends.
	tokens      chestnutroad.Tokens
	count       int
	resumeAt    []chestnutroad.Tokens
	forwardedTo []chestnutroad.DataCentreID
}

func shardIn(centre chestnutroad.DataCentreID) chestnutroad.ShardID {
	return chestnutroad.ShardID{DataCentre: centre}
}

func (sf *scriptedRouter) shards(*chestnutroad.Request) []chestnutroad.ShardID {
	return []chestnutroad.ShardID{shardIn("a"), shardIn("b")}
}

func (sf *scriptedRouter) forward(
	_ context.Context, id chestnutroad.ShardID, _ *chestnutroad.Request, call *chestnutroad.Call,
	answer chestnutroad.Answer, _ int,
) error {
	sf.forwardedTo = append(sf.forwardedTo, id.DataCentre)
	sf.resumeAt = append(sf.resumeAt, call.ResumeAt)
	err := sf.answers[min(sf.count, len(sf.answers)-1)]
	sf.count++
	if sf.tokens > 0 {
		if headErr := answer.Head(http.StatusOK, http.Header{}); headErr != nil {
			return headErr
		}
		if chunkErr := answer.Chunk([]byte("x"), sf.tokens); chunkErr != nil {
			return chunkErr
		}
	}
	return err
}

// discardAnswer is an answer that nobody reads.
type discardAnswer struct{}

func (discardAnswer) Head(int, http.Header) error             { return nil }
func (discardAnswer) Chunk([]byte, chestnutroad.Tokens) error { return nil }

func refused(kind chestnutroad.Kind, notRun bool) error {
	return &chestnutroad.Refusal{Kind: kind, NotRun: notRun}
}

// TestEntryAttempts guards against attempts that go to the wrong shard or start at the wrong token, against a call that
// may have run being sent again, and against redirects without end.
func TestEntryAttempts(t *testing.T) {
	chat := chestnutroad.Request{Chat: 1, Repeat: chestnutroad.RepeatAllowed}
	order := chestnutroad.Request{Repeat: chestnutroad.RepeatNever}
	tests := []struct {
		name    string
		request chestnutroad.Request
		tokens  chestnutroad.Tokens
		answers []error
		asked   []chestnutroad.DataCentreID
		kind    chestnutroad.Kind
	}{
		{"answered", chat, 0, []error{nil}, []chestnutroad.DataCentreID{"a"}, ""},
		{"redirected", chat, 0, []error{&redirect{shardIn("c")}, nil}, []chestnutroad.DataCentreID{"a", "c"}, ""},
		{
			"redirected for ever", chat, 0,
			[]error{&redirect{shardIn("c")}},
			[]chestnutroad.DataCentreID{"a", "c", "c", "c"},
			chestnutroad.Overloaded,
		},
		{"new owner", chat, 0, []error{errNotOwner, nil}, []chestnutroad.DataCentreID{"a", "a"}, ""},
		{
			"no target in the first shard", order, 0,
			[]error{refused(chestnutroad.NoTarget, true), nil},
			[]chestnutroad.DataCentreID{"a", "b"},
			"",
		},
		{
			"no target anywhere", order, 0,
			[]error{refused(chestnutroad.NoTarget, true)},
			[]chestnutroad.DataCentreID{"a", "b"},
			chestnutroad.NoTarget,
		},
		{
			"an order that may have run", order, 0,
			[]error{refused(chestnutroad.OutcomeUnknown, false), nil},
			[]chestnutroad.DataCentreID{"a"},
			chestnutroad.OutcomeUnknown,
		},
		{
			"a broken stream of an order", order, 0,
			[]error{refused(chestnutroad.StreamBroken, false), nil},
			[]chestnutroad.DataCentreID{"a"},
			chestnutroad.StreamBroken,
		},
		{
			"a broken stream of a chat", chat, 5,
			[]error{refused(chestnutroad.StreamBroken, false), nil},
			[]chestnutroad.DataCentreID{"a", "a"},
			"",
		},
		{
			"overloaded", chat, 0,
			[]error{refused(chestnutroad.Overloaded, true), nil},
			[]chestnutroad.DataCentreID{"a"},
			chestnutroad.Overloaded,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fleet := &scriptedRouter{answers: tt.answers, tokens: tt.tokens}
			request := tt.request
			err := newEntry(fleet, time.Now).Forward(t.Context(), &request, &chestnutroad.Call{Header: http.Header{}}, discardAnswer{})
			kind := chestnutroad.Kind("")
			if err != nil {
				kind = chestnutroad.RefusalOf(err).Kind
			}
			if kind != tt.kind || len(fleet.forwardedTo) != len(tt.asked) {
				t.Fatalf("asked %v and got %v, want %v and %q", fleet.forwardedTo, err, tt.asked, tt.kind)
			}
			for index, centre := range tt.asked {
				if fleet.forwardedTo[index] != centre {
					t.Errorf("asked %v, want %v", fleet.forwardedTo, tt.asked)
				}
				if want := tt.tokens * chestnutroad.Tokens(index); fleet.resumeAt[index] != want {
					t.Errorf("attempt %d starts at token %d, want %d", index, fleet.resumeAt[index], want)
				}
			}
		})
	}
}

// TestRetryBudget guards against retries that multiply an overload: when every target refuses, at most a tenth more
// attempts than requests are made, beyond the floor of one a second.
func TestRetryBudget(t *testing.T) {
	const requests = 1000
	now := time.Unix(1_800_000_000, 0)
	fleet := &scriptedRouter{answers: []error{refused(chestnutroad.TargetRefused, true)}}
	en := newEntry(fleet, func() time.Time { return now })
	for range requests {
		now = now.Add(time.Millisecond)
		request := &chestnutroad.Request{Repeat: chestnutroad.RepeatAllowed}
		if err := en.Forward(t.Context(), request, &chestnutroad.Call{Header: http.Header{}}, discardAnswer{}); err == nil {
			t.Fatal("a refused request was answered")
		}
	}
	limit := requests + requests/10 + int(defaultRetryFloor*defaultRetryWindow.Seconds())
	if fleet.count > limit {
		t.Errorf("%d attempts for %d requests, want at most %d", fleet.count, requests, limit)
	}
	if fleet.count == requests {
		t.Error("the budget allowed no retry at all")
	}
}

// TestRedirectLimitOfTheSettings guards against the key RedirectLimit that is checked and has no effect.
func TestRedirectLimitOfTheSettings(t *testing.T) {
	for _, limit := range []int{0, 1, 5} {
		fleet := &scriptedRouter{answers: []error{&redirect{shardIn("c")}}}
		en := newEntry(fleet, time.Now)
		en.configure(settings.Fleet{RedirectLimit: limit, RetryWindow: time.Second})
		request := chestnutroad.Request{Chat: 1, Repeat: chestnutroad.RepeatAllowed}
		err := en.Forward(t.Context(), &request, &chestnutroad.Call{Header: http.Header{}}, discardAnswer{})
		if chestnutroad.RefusalOf(err).Kind != chestnutroad.Overloaded || fleet.count != limit+1 {
			t.Errorf("with a limit of %d the fleet was asked %d times: %v", limit, fleet.count, err)
		}
	}
}
