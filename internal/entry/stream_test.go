package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestStreams guards against events that are missing, doubled, joined from two runs or held back, and against a stream
// that looks complete although it broke off.
func TestStreams(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		path  string
		first standin.Behaviour
		// whole is true when the caller gets all events.
		whole bool
		runs  int
	}{
		{"served", "/chat/x", standin.Serve, true, 1},
		{"cut, may be resumed", "/chat/x", standin.Cut, true, 2},
		{"cut, may not be resumed", "/once/x", standin.Cut, false, 1},
		{"refused", "/chat/x", standin.Refuse, true, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			one, two := st.runner("i-1", "model"), st.runner("i-2", "model")
			for _, rn := range []*standin.Runner{one, two} {
				rn.Events = 6
			}
			ht := st.start("host-1", true)
			call := standin.Call{Method: http.MethodPost, Path: tc.path, ID: "r-1", Key: "k-1", Body: "b", Prefix: "a:10,b:20"}
			// The first of the two is the one that the prompt's part leads to.
			if got := ht.call(t.Context(), call); got.body != standin.Events(6) {
				t.Fatalf("got %q", got.body)
			}
			first, second := one, two
			if len(two.Runs()) > 0 {
				first, second = two, one
			}
			before := len(first.Runs()) + len(second.Runs())
			first.Then(tc.first)
			got := ht.call(t.Context(), call)
			if whole := got.err == nil && got.body == standin.Events(6); whole != tc.whole {
				t.Errorf("got %d %q, %v\n%s", got.status, got.body, got.err, ht.log)
			}
			if runs := len(first.Runs()) + len(second.Runs()) - before; runs != tc.runs {
				t.Errorf("%d runs, want %d", runs, tc.runs)
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

// TestSilentStreamIsResumed guards against a stream that stops with a target that went silent.
func TestSilentStreamIsResumed(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	one, two := st.runner("i-1", "model"), st.runner("i-2", "model")
	one.Events, two.Events = 3, 3
	ht := st.start("host-1", true)
	one.Always(standin.Hang)
	two.Then(standin.Hang)
	two.Always(standin.Serve)
	call := standin.Call{Method: http.MethodPost, Path: "/chat/x", ID: "r-1", Key: "k-1", Body: "b", Prefix: "a:10,b:20"}
	got := ht.call(t.Context(), call)
	if len(one.Runs()) > 0 && len(two.Runs()) > 0 && got.status == http.StatusOK {
		t.Error("served although both targets hang")
	}
	two.Always(standin.Serve)
	got = ht.call(t.Context(), call)
	if got.status != http.StatusOK || got.body != standin.Events(3) {
		t.Errorf("got %d %q\n%s", got.status, got.body, ht.log)
	}
}

// TestSlowTargetsKeepTheirStreams guards against streams of targets that are all slow, each of which is moved to another one
// that is as slow, so that its prompt is read twice.
func TestSlowTargetsKeepTheirStreams(t *testing.T) {
	t.Parallel()
	const callers = 4
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	runners := []*standin.Runner{st.runner("i-1", "model"), st.runner("i-2", "model")}
	for _, rn := range runners {
		// Twice the latency target of the rule's streams is 1 s.
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
	if again := runs() - before; again != callers {
		t.Errorf("%d streams ran %d times after the host had seen slow targets\n%s", callers, again, ht.log)
	}
}

// TestCallerLeaves guards against targets that work on after their caller has left.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	rn.Always(standin.Hang)
	ht := st.start("host-1", true)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	ht.call(ctx, standin.Call{Method: http.MethodPost, Path: "/order/x", ID: "r-1", Key: "k-1", Body: "b"})
	runs := rn.Runs()
	if len(runs) != 1 {
		t.Fatalf("%d runs", len(runs))
	}
	select {
	case <-runs[0].Cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the target still works on the request half a second after its caller left")
	}
}
