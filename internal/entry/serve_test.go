package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestForward guards against requests that reach a target changed, with the caller's key, or without the headers that the
// host adds for the target, and against answers that are not those of the target.
func TestForward(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	got := ht.call(t.Context(), standin.Call{
		Method: http.MethodPost, Path: "/order/a//b/../c?x=%2F&y", ID: "r-1", Key: "k-2", Body: "GET /smuggled HTTP/1.1\r\n\r\n",
		Budget: 800 * time.Millisecond,
	})
	if got.status != http.StatusOK || got.body != "answer of i-1" || !got.metadata().Receipt {
		t.Fatalf("got %+v\n%s", got, ht.log)
	}
	runs := rn.Runs()
	if len(runs) != 1 {
		t.Fatalf("the target ran %d requests, want 1", len(runs))
	}
	run := runs[0]
	if run.Method != http.MethodPost || run.URI != "/order/a//b/../c?x=%2F&y" || run.Body != "GET /smuggled HTTP/1.1\r\n\r\n" {
		t.Errorf("the target got %s %s %q", run.Method, run.URI, run.Body)
	}
	if run.HasKey || run.Team != standin.TeamName || run.Target != "i-1" || run.ID != "r-1" {
		t.Errorf("the target got %+v", run)
	}
}

// TestRefusals guards against requests that are wrongly accepted or refused by the rules, keys and limits of the
// configuration, and against a refusal of a request that may be retried without a Retry-After.
func TestRefusals(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	cases := []struct {
		name       string
		call       standin.Call
		status     int
		retryAfter bool
	}{
		{"no rule", standin.Call{Method: http.MethodGet, Path: "/none/x", Key: "k-1"}, http.StatusNotFound, false},
		{"unknown key", standin.Call{Method: http.MethodGet, Path: "/stock/x", Key: "k-9"}, http.StatusUnauthorized, false},
		{"no key", standin.Call{Method: http.MethodGet, Path: "/stock/x"}, http.StatusUnauthorized, false},
		{"no key needed", standin.Call{Method: http.MethodGet, Path: "/open/x"}, http.StatusOK, false},
		{
			"body over the limit",
			standin.Call{Method: http.MethodPost, Path: "/order/x", Key: "k-1", Body: strings.Repeat("x", 5000)},
			http.StatusRequestEntityTooLarge, false,
		},
		{"no target", standin.Call{Method: http.MethodPost, Path: "/chat/x", Key: "k-1"}, http.StatusServiceUnavailable, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tc.call.ID = "r-" + tc.name
			got := ht.call(t.Context(), tc.call)
			if got.status != tc.status || (got.header.Get("Retry-After") != "") != tc.retryAfter {
				t.Errorf("got status %d with Retry-After %q, want %d, with Retry-After: %t",
					got.status, got.header.Get("Retry-After"), tc.status, tc.retryAfter)
			}
		})
	}
}

// TestTargetFaults guards, for each way in which a target can fail a request, against a second run of a request that may run
// only once, against a false claim that a request has not run, and against an answer that is incomplete or belongs to
// another request.
func TestTargetFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fault standin.Behaviour
		// order and stock are the statuses of a request that may run only once and of an idempotent one.
		order, stock int
		// orderRuns is the most runs of an order at both targets.
		orderRuns int
	}{
		{"refuses", standin.Refuse, http.StatusOK, http.StatusOK, 1},
		{"fails", standin.FailRun, http.StatusInternalServerError, http.StatusOK, 1},
		{"cuts off its answer", standin.Cut, http.StatusBadGateway, http.StatusOK, 1},
		{"answers twice", standin.ServeTwice, http.StatusOK, http.StatusOK, 1},
		{"encodes its answer", standin.Encode, http.StatusBadGateway, http.StatusOK, 1},
		{"omits the receipt", standin.NoReceipt, http.StatusBadGateway, http.StatusOK, 1},
		{"ends its answer by closing the connection", standin.Unframed, http.StatusOK, http.StatusOK, 1},
		{"is busy without stating that the request has not run", standin.BusyWithoutNotRun, http.StatusBadGateway, http.StatusOK, 1},
		{"hangs", standin.Hang, http.StatusGatewayTimeout, http.StatusOK, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 2, "k-1", "k-2")
			bad, good := st.runner("i-1", "desk"), st.runner("i-2", "desk")
			ht := st.start("host-1", true)
			for kind, want := range map[string]int{"order": tc.order, "stock": tc.stock} {
				for index := range 3 {
					bad.SetNext(tc.fault)
					before := len(bad.Runs()) + len(good.Runs())
					id := kind + "-" + string(rune('a'+index))
					got := ht.call(t.Context(), standin.Call{
						Method: http.MethodPost, Path: "/" + kind + "/x", ID: id, Key: "k-1", Body: "b", Budget: 600 * time.Millisecond,
					})
					runs := len(bad.Runs()) + len(good.Runs()) - before
					if kind == "order" && runs > tc.orderRuns {
						t.Errorf("%s ran %d times", id, runs)
					}
					if got.status == http.StatusOK && !strings.HasPrefix(got.body, "answer of i-") {
						t.Errorf("%s got body %q", id, got.body)
					}
					if got.status != http.StatusOK && got.status != want {
						t.Errorf("%s got status %d, body %q, want %d\n%s", id, got.status, got.body, want, ht.log)
					}
				}
			}
		})
	}
}

// TestStrayAnswer guards against a duplicate answer that is taken for the answer to the next request on its connection.
func TestStrayAnswer(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	rn.SetDefault(standin.ServeTwice)
	ht := st.start("host-1", true)
	for _, id := range []string{"r-1", "r-2", "r-3"} {
		got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: id, Key: "k-1", Body: "b"})
		if got.status != http.StatusOK || got.metadata().ID != chestnutroad.RequestID(id) {
			t.Errorf("%s got status %d with the answer to %s", id, got.status, got.metadata().ID)
		}
	}
}

// TestEarlyAnswer guards against the reuse of a connection on which a target still waits for the rest of a body, since it
// answered before it had read that.
func TestEarlyAnswer(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	rn.SetNext(standin.Early)
	got := ht.call(t.Context(), standin.Call{
		Method: http.MethodPost, Path: "/order/x", ID: "r-1", Key: "k-1", Body: strings.Repeat("b", 4000),
	})
	if got.status != http.StatusRequestEntityTooLarge {
		t.Errorf("got status %d, want 413", got.status)
	}
	got = ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: "r-2", Key: "k-1", Body: "b"})
	if got.status != http.StatusOK || len(rn.Runs()) != 1 || rn.Runs()[0].Body != "b" {
		t.Errorf("got status %d, want 200; the target ran %+v", got.status, rn.Runs())
	}
}

// TestConnectionReuse guards against a new connection for each request, and against the reuse of a connection that the
// target has closed.
func TestConnectionReuse(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	ht := st.start("host-1", true)
	call := standin.Call{Method: http.MethodPost, Path: "/order/x", ID: "r-1", Key: "k-1", Body: "b"}
	for range 5 {
		if got := ht.call(t.Context(), call); got.status != http.StatusOK {
			t.Fatalf("got %d", got.status)
		}
	}
	if opened := rn.Opened(); opened != 1 {
		t.Errorf("five requests opened %d connections, want 1", opened)
	}
	rn.SetNext(standin.Unframed)
	for range 2 {
		if got := ht.call(t.Context(), call); got.status != http.StatusOK {
			t.Errorf("got status %d after the target closed the connection, want 200", got.status)
		}
	}
}

// TestTargetFailureIsForwarded guards against a target's failure answer that is replaced by a refusal of the host when the
// request is retried at a second target and does not succeed there either.
func TestTargetFailureIsForwarded(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		second standin.Behaviour
	}{
		{"second refuses", standin.Refuse},
		{"second cuts off its answer", standin.Cut},
		{"second hangs", standin.Hang},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			first, second := st.runner("i-1", "desk"), st.runner("i-2", "desk")
			ht := st.start("host-1", true)
			first.SetDefault(standin.FailRun)
			second.SetDefault(tc.second)
			for _, id := range []string{"r-1", "r-2", "r-3", "r-4"} {
				got := ht.call(t.Context(), standin.Call{
					Method: http.MethodGet, Path: "/stock/x", ID: id, Key: "k-1", Budget: 600 * time.Millisecond,
				})
				if got.status != http.StatusInternalServerError || !got.metadata().Receipt {
					t.Errorf("%s got status %d, body %q, want status 500 with a receipt\n%s", id, got.status, got.body, ht.log)
				}
			}
		})
	}
}
