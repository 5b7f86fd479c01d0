package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestStreams guards against events that are lost, duplicated, delayed or merged from two runs, and against a stream that
// looks complete although it broke off.
func TestStreams(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		path  string
		first standin.Behaviour
		// complete is true when the caller gets all events.
		complete bool
		// runs is the number of runs at both targets.
		runs int
	}{
		{"served", "/chat/x", standin.Serve, true, 1},
		{"cut off, resumable", "/chat/x", standin.Cut, true, 2},
		{"cut off, not resumable", "/once/x", standin.Cut, false, 1},
		{"refused", "/chat/x", standin.Refuse, true, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			a, b := st.runner("i-1", "model"), st.runner("i-2", "model")
			for _, rn := range []*standin.Runner{a, b} {
				rn.Events = 6
			}
			ht := st.start("host-1", true)
			call := standin.Call{Method: http.MethodPost, Path: tc.path, ID: "r-1", Key: "k-1", Body: "b", Prefix: "a:10,b:20"}
			// The first call shows which target the prompt part has affinity for.
			if got := ht.call(t.Context(), call); got.body != standin.Events(6) {
				t.Fatalf("got body %q, want all events", got.body)
			}
			first, second := a, b
			if len(b.Runs()) > 0 {
				first, second = b, a
			}
			before := len(first.Runs()) + len(second.Runs())
			first.SetNext(tc.first)
			got := ht.call(t.Context(), call)
			if complete := got.err == nil && got.body == standin.Events(6); complete != tc.complete {
				t.Errorf("got status %d, body %q, error %v\n%s", got.status, got.body, got.err, ht.log)
			}
			if runs := len(first.Runs()) + len(second.Runs()) - before; runs != tc.runs {
				t.Errorf("the targets ran %d requests, want %d", runs, tc.runs)
			}
			if tc.runs == 2 {
				resumed := second.Runs()
				if id := resumed[len(resumed)-1].ResumeAfter; id != "1" {
					t.Errorf("resumed after event %q, want 1", id)
				}
			}
		})
	}
}

// TestUnframedStreams guards against a stream without a length and without chunks that looks complete although it broke off
// before its first event or within its last one.
func TestUnframedStreams(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		path     string
		first    standin.Behaviour
		complete bool
		// runs is the number of runs at both targets.
		runs int
	}{
		{"complete", standin.OncePath, standin.Unframed, true, 1},
		{"no event", standin.OncePath, standin.UnframedEmpty, false, 1},
		{"no event, resumable", standin.ChatPath, standin.UnframedEmpty, true, 2},
		{"end within an event", standin.OncePath, standin.UnframedPartial, false, 1},
		{"end within an event, resumable", standin.ChatPath, standin.UnframedPartial, true, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			a, b := st.runner("i-1", "model"), st.runner("i-2", "model")
			a.Events, b.Events = 3, 3
			ht := st.start("host-1", true)
			call := standin.Call{Method: http.MethodPost, Path: tc.path + "x", ID: "r-1", Key: "k-1", Body: "b", Prefix: "a:10,b:20"}
			// The first call shows which target the prompt part has affinity for.
			ht.call(t.Context(), call)
			first := a
			if len(b.Runs()) > 0 {
				first = b
			}
			first.SetNext(tc.first)
			got := ht.call(t.Context(), call)
			complete := got.err == nil && got.status == http.StatusOK && got.body == standin.Events(3)
			broken := got.err != nil || got.status == http.StatusBadGateway
			if complete != tc.complete || broken == tc.complete {
				t.Errorf("got status %d, body %q, error %v, want it complete: %t", got.status, got.body, got.err, tc.complete)
			}
			if runs := len(a.Runs()) + len(b.Runs()) - 1; runs != tc.runs {
				t.Errorf("the targets ran %d requests, want %d", runs, tc.runs)
			}
		})
	}
}

// TestEventsWithCarriageReturns guards against events that are not forwarded, or a stream that counts as broken off, because
// their lines end with a carriage return and a line feed.
func TestEventsWithCarriageReturns(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "model")
	rn.Events, rn.LineEnd = 3, "\r\n"
	ht := st.start("host-1", true)
	got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: standin.OncePath + "x", ID: "r-1", Key: "k-1", Body: "b"})
	if want := strings.ReplaceAll(standin.Events(3), "\n", "\r\n"); got.err != nil || got.body != want {
		t.Errorf("got status %d, body %q, error %v, want body %q", got.status, got.body, got.err, want)
	}
}

// TestStalledStreamIsResumed guards against a stream that fails with a target that stalls.
func TestStalledStreamIsResumed(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	a, b := st.runner("i-1", "model"), st.runner("i-2", "model")
	a.Events, b.Events = 3, 3
	ht := st.start("host-1", true)
	a.SetDefault(standin.Hang)
	b.SetNext(standin.Hang)
	b.SetDefault(standin.Serve)
	call := standin.Call{Method: http.MethodPost, Path: "/chat/x", ID: "r-1", Key: "k-1", Body: "b", Prefix: "a:10,b:20"}
	got := ht.call(t.Context(), call)
	if len(a.Runs()) > 0 && len(b.Runs()) > 0 && got.status == http.StatusOK {
		t.Error("served although both targets hang")
	}
	b.SetDefault(standin.Serve)
	got = ht.call(t.Context(), call)
	if got.status != http.StatusOK || got.body != standin.Events(3) {
		t.Errorf("got status %d, body %q, want 200 with all events\n%s", got.status, got.body, ht.log)
	}
}

// TestSlowTargetsKeepTheirStreams guards against streams that are moved between targets that are all equally slow, so that
// their prompts are read twice.
func TestSlowTargetsKeepTheirStreams(t *testing.T) {
	t.Parallel()
	const callers = 4
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	runners := []*standin.Runner{st.runner("i-1", "model"), st.runner("i-2", "model")}
	for _, rn := range runners {
		// A stream moves when it has no first event after twice the rule's latency target, which is 1 s.
		rn.Events, rn.Gap = 1, 1200*time.Millisecond
	}
	ht := st.start("host-1", true)
	runs := func() int { return len(runners[0].Runs()) + len(runners[1].Runs()) }
	round := func(name string) {
		var running sync.WaitGroup
		for index := range callers {
			running.Go(func() {
				ht.call(t.Context(), standin.Call{
					Method: http.MethodPost, Path: "/chat/x", ID: fmt.Sprintf("%s-%d", name, index), Key: "k-1", Body: "b",
					Prefix: "a:10,b:20",
				})
			})
		}
		running.Wait()
	}
	round("first")
	before := runs()
	round("second")
	if after := runs() - before; after != callers {
		t.Errorf("%d streams were run %d times once the host knew that its targets are slow\n%s", callers, after, ht.log)
	}
}

// TestCallerDisconnects guards against targets that go on with a request after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	rn.SetDefault(standin.Hang)
	ht := st.start("host-1", true)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	ht.call(ctx, standin.Call{Method: http.MethodPost, Path: "/order/x", ID: "r-1", Key: "k-1", Body: "b"})
	runs := rn.Runs()
	if len(runs) != 1 {
		t.Fatalf("the target ran %d requests, want 1", len(runs))
	}
	select {
	case <-runs[0].Cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the request at the target is not cancelled 500ms after its caller disconnected")
	}
}
