package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// withoutRetries sets an empty retry budget.
func withoutRetries(set *settings.Entry) { set.RetryRatio, set.RetrySlack = 0, 0 }

// TestStallEndsAreLogged guards against stalled requests in whose log line nothing tells a lack of retries from a lack of
// targets.
func TestStallEndsAreLogged(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// others is the number of targets beside the one that hangs.
		others int
		opts   []func(*settings.Entry)
		want   string
	}{
		{"another target", 1, nil, `"Stalls":["Retried"]`},
		{"no retry left", 1, []func(*settings.Entry){withoutRetries}, `"Stalls":["NoBudget"]`},
		{"no other target", 0, nil, `"Stalls":["NoTarget"]`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			runners := []*standin.Runner{st.runner("i-1", "desk")}
			for range tc.others {
				runners = append(runners, st.runner("i-2", "desk"))
			}
			for _, rn := range runners {
				rn.SetDefault(standin.Hang)
			}
			ht := st.start("host-1", true, tc.opts...)
			ht.call(t.Context(), standin.Call{
				Method: http.MethodGet, Path: "/stock/x", ID: "r-1", Key: "k-1", Budget: time.Second,
			})
			if line := ht.log.line(`"Message":"request"`); !strings.Contains(line, tc.want) {
				t.Errorf("got line %q, want it to contain %s", line, tc.want)
			}
		})
	}
}

// slowKind is a kind of request whose target makes no progress for longer than the host waits before it looks for another.
type slowKind struct {
	name, service string
	call          standin.Call
	// events and gap are those of the targets.
	events int
	gap    time.Duration
}

// slowKinds have events before the stall, a late first event, and a late answer.
var slowKinds = []slowKind{
	{"stream that has begun", standin.ModelService, standin.Call{Method: http.MethodPost, Path: standin.ChatPath + "x", Body: "b"}, 3, 900 * time.Millisecond},
	{"stream that has not begun", standin.ModelService, standin.Call{Method: http.MethodPost, Path: standin.ChatPath + "x", Body: "b"}, 1, 1500 * time.Millisecond},
	{"plain request", standin.DeskService, standin.Call{Method: http.MethodGet, Path: standin.StockPath + "x"}, 0, 600 * time.Millisecond},
}

// runners starts a number of targets that serve the kind of request slowly.
func (sk *slowKind) runners(st *site, count int) []*standin.Runner {
	runners := make([]*standin.Runner, 0, count)
	for index := range count {
		rn := st.runner(fmt.Sprintf("i-%d", index+1), sk.service)
		rn.Events, rn.Gap = sk.events, sk.gap
		runners = append(runners, rn)
	}
	return runners
}

// served reports whether the reply is a complete answer to the kind of request.
func (sk *slowKind) served(got *reply) bool {
	if got.err != nil || got.status != http.StatusOK {
		return false
	}
	if sk.events == 0 {
		return strings.HasPrefix(got.body, "answer of i-")
	}
	return got.body == standin.Events(sk.events)
}

// TestSlowRunWithoutReplacementIsServed guards against a run at a slow target that is cancelled although the request can't be
// sent to another target, so that a stream breaks off or an answer is lost.
func TestSlowRunWithoutReplacementIsServed(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// targets is the number of targets, prepare changes the second one before the request.
		targets int
		prepare func(st *site, ht *host, sk *slowKind, runners []*standin.Runner)
		opts    []func(*settings.Entry)
	}{
		{"no retry left", 2, nil, []func(*settings.Entry){withoutRetries}},
		{"one target", 1, nil, nil},
		{"the other target is leaving", 2, func(st *site, ht *host, sk *slowKind, runners []*standin.Runner) {
			st.store.PutTarget("i-2", runners[1].Entry(sk.service, "dc-a", "draining"))
			ht.eventually(2*time.Second, "the target is leaving", func() bool { return ht.log.line(`"Leaving":true`) != "" })
		}, nil},
		{"the other target can't be reached", 2, func(_ *site, _ *host, _ *slowKind, runners []*standin.Runner) {
			runners[1].Close()
		}, nil},
		{"the other target refuses requests for a time", 2, func(_ *site, ht *host, sk *slowKind, runners []*standin.Runner) {
			runners[1].RetryAfter = 10 * time.Second
			runners[1].SetDefault(standin.Refuse)
			for index := 0; ht.log.line("target wants no requests") == "" && index < 50; index++ {
				call := sk.call
				call.ID, call.Key = fmt.Sprintf("w-%d", index), "k-1"
				ctx, cancel := context.WithTimeout(ht.t.Context(), 100*time.Millisecond)
				ht.call(ctx, call)
				cancel()
			}
		}, nil},
	}
	for _, tc := range cases {
		for _, sk := range slowKinds {
			t.Run(tc.name+", "+sk.name, func(t *testing.T) {
				t.Parallel()
				st := newSite(t)
				st.store.Configure(3, 1, "k-1", "k-2")
				runners := sk.runners(st, tc.targets)
				ht := st.start("host-1", true, tc.opts...)
				if tc.prepare != nil {
					tc.prepare(st, ht, &sk, runners)
				}
				call := sk.call
				call.ID, call.Key = "r-1", "k-1"
				got := ht.call(t.Context(), call)
				if !sk.served(&got) {
					t.Errorf("got status %d, body %q, error %v, want the complete answer\n%s", got.status, got.body, got.err, ht.log.line(`"Request":"r-1"`))
				}
			})
		}
	}
}

// TestSlowStreamWithoutAFreeSlotElsewhereIsServed guards against a stream that breaks off because its slow target is given up
// while all slots of the other target are in use.
func TestSlowStreamWithoutAFreeSlotElsewhereIsServed(t *testing.T) {
	t.Parallel()
	sk := &slowKinds[0]
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	runners := sk.runners(st, 2)
	// The first request goes to the second target, whose only slot it takes.
	st.store.PutTarget("i-1", runners[0].Entry(sk.service, "dc-a", "draining"))
	st.store.PutTarget("i-2", strings.Replace(runners[1].Entry(sk.service, "dc-a", "ready"), `"slots":8`, `"slots":1`, 1))
	runners[1].SetDefault(standin.Hang)
	ht := st.start("host-1", true)
	call := sk.call
	call.ID, call.Key, call.Path = "r-1", "k-1", standin.LongPath+"x"
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go ht.call(ctx, call)
	ht.eventually(2*time.Second, "the slot is in use", func() bool { return len(runners[1].Runs()) == 1 })
	st.store.PutTarget("i-1", runners[0].Entry(sk.service, "dc-a", "ready"))
	ht.eventually(2*time.Second, "the first target is ready", func() bool {
		return strings.Contains(ht.log.String(), `"Message":"target changed"`) &&
			strings.Count(ht.log.String(), `"Target":"i-1"`) > 1
	})
	call.ID, call.Path = "r-2", sk.call.Path
	got := ht.call(t.Context(), call)
	if !sk.served(&got) {
		t.Errorf("got status %d, body %q, error %v, want the complete answer\n%s", got.status, got.body, got.err, ht.log.line(`"Request":"r-2"`))
	}
	if line := ht.log.line(`"Request":"r-2"`); !strings.Contains(line, `"Stalls":["NoTarget"]`) {
		t.Errorf("got line %q, want a stall without a target", line)
	}
}

// TestStalledStreamIsResumedOnceATargetJoins guards against a stream that stays at a target that hangs, since there was no
// other target when its stall was noticed.
func TestStalledStreamIsResumedOnceATargetJoins(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	first := st.runner("i-1", standin.ModelService)
	first.SetDefault(standin.Dribble)
	ht := st.start("host-1", true)
	second, err := standin.NewRunner("i-2")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.Close)
	second.Events = 3
	time.AfterFunc(1500*time.Millisecond, func() {
		st.store.PutTarget(second.ID, second.Entry(standin.ModelService, "dc-a", "ready"))
	})
	got := ht.call(t.Context(), standin.Call{
		Method: http.MethodPost, Path: standin.ChatPath + "x", ID: "r-1", Key: "k-1", Body: "b",
	})
	if got.err != nil || strings.ReplaceAll(got.body, standin.Comment, "") != standin.Events(3) {
		t.Errorf("got status %d, body %q, error %v\n%s", got.status, got.body, got.err, ht.log.line(`"Request":"r-1"`))
	}
	if line := ht.log.line(`"Request":"r-1"`); !strings.Contains(line, `"Stalls":["NoTarget","Retried"]`) {
		t.Errorf("got line %q, want a stall without a target and then a retry", line)
	}
}

// TestRefusedReplacementReturnsToTheFirstTarget guards against a request that is lost because the target that replaced a
// stalled one does not run it.
func TestRefusedReplacementReturnsToTheFirstTarget(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name          string
		call          standin.Call
		service       string
		events        int
		stall         standin.Behaviour
		body, resumed string
	}{
		{
			"stream",
			standin.Call{Method: http.MethodPost, Path: standin.ChatPath + "x", Body: "b"},
			standin.ModelService, 3, standin.Dribble, standin.Events(3), "1",
		},
		{
			"plain request",
			standin.Call{Method: http.MethodGet, Path: standin.StockPath + "x"},
			standin.DeskService, 0, standin.Hang, "answer of i-1", "",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			first, second := st.runner("i-1", tc.service), st.runner("i-2", tc.service)
			first.Events, second.Events = tc.events, tc.events
			// The first target is preferred, since it is in the host's data centre.
			st.store.PutTarget(second.ID, second.Entry(tc.service, "dc-b", "ready"))
			ht := st.start("host-1", true)
			first.SetNext(tc.stall)
			second.SetDefault(standin.Refuse)
			tc.call.ID, tc.call.Key = "r-1", "k-1"
			got := ht.call(t.Context(), tc.call)
			if body := strings.ReplaceAll(got.body, standin.Comment, ""); got.err != nil || got.status != http.StatusOK || body != tc.body {
				t.Errorf("got status %d, body %q, error %v\n%s", got.status, got.body, got.err, ht.log.line(`"Request":"r-1"`))
			}
			runs := first.Runs()
			if len(runs) != 2 || runs[1].ResumeAfter != tc.resumed || len(second.Arrivals()) != 1 {
				t.Errorf("the first target ran %+v, and the second got %d requests", runs, len(second.Arrivals()))
			}
		})
	}
}

// TestCallerThatPausesKeepsItsTarget guards against a stream that is moved to another target, and a retry that is used up,
// because its caller does not read for a while.
func TestCallerThatPausesKeepsItsTarget(t *testing.T) {
	t.Parallel()
	// The events exceed the socket buffers, so that the host has to wait for the caller.
	const events, padding = 1000, 8 << 10
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	runners := []*standin.Runner{st.runner("i-1", standin.ModelService), st.runner("i-2", standin.ModelService)}
	for _, rn := range runners {
		rn.Events, rn.EventPadding, rn.Gap = events, padding, 0
	}
	ht := st.start("host-1", true)
	req, err := standin.NewRequest(t.Context(), ht.address, &standin.Call{
		Method: http.MethodPost, Path: standin.PatientChatPath + "x", ID: "r-1", Key: "k-1", Body: "b",
	})
	if err != nil {
		t.Fatal(err)
	}
	conn := dialHost(t, ht.address)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(64 << 10)
	}
	if err := req.Write(conn); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	// A stream is moved after a pause of three times the rule's event gap target, which is 200 ms.
	time.Sleep(1500 * time.Millisecond)
	body, err := io.ReadAll(resp.Body)
	if want := len(standin.Events(events)) + events*padding; err != nil || len(body) != want {
		t.Errorf("got %d bytes, error %v, want %d bytes\n%s", len(body), err, want, ht.log.line(`"Request":"r-1"`))
	}
	if runs := len(runners[0].Runs()) + len(runners[1].Runs()); runs != 1 {
		t.Errorf("the targets ran %d requests, want 1\n%s", runs, ht.log.line(`"Request":"r-1"`))
	}
}

// TestHalfClosedConnectionCancelsTheRequest guards against a target that goes on with a request whose caller has closed its
// side of the connection, which can't be told from a caller that has left.
func TestHalfClosedConnectionCancelsTheRequest(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", standin.DeskService)
	rn.SetDefault(standin.Hang)
	ht := st.start("host-1", true)
	conn := dialHost(t, ht.address)
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, rawHead+"Content-Length: 1\r\n\r\na"); err != nil {
		t.Fatal(err)
	}
	ht.eventually(time.Second, "the target runs the request", func() bool { return len(rn.Runs()) == 1 })
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatal("not a TCP connection")
	}
	_ = tcp.CloseWrite()
	select {
	case <-rn.Runs()[0].Cancelled:
	case <-time.After(500 * time.Millisecond):
		t.Error("the request at the target is not cancelled 500ms after its caller closed its side")
	}
	if answer, err := io.ReadAll(conn); err != nil || len(answer) > 0 {
		t.Errorf("got answer %q, error %v, want the end of the connection", answer, err)
	}
}
