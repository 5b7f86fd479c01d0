package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestDrain guards against a stop that cuts off a request, that refuses requests before the balancer has detected that the
// host is not ready, or that does not end.
func TestDrain(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "model")
	rn.Events, rn.Gap = 20, 150*time.Millisecond
	st.runner("i-2", "desk")
	ht := st.start("host-1", true)
	streamed := make(chan reply, 1)
	go func() {
		streamed <- ht.call(t.Context(), standin.Call{
			Method: http.MethodPost, Path: "/once/x", ID: "r-1", Key: "k-1", Body: "b", Prefix: "a:1,b:2",
		})
	}()
	ht.eventually(time.Second, "the stream is running", func() bool { return len(rn.Runs()) == 1 })
	idle := dialHost(t, ht.address)
	started := time.Now()
	ht.stop()
	ht.eventually(500*time.Millisecond, "the host reports not ready", func() bool { return !ht.isReady() })
	if got := stockStatus(ht, "k-1"); got != http.StatusOK {
		t.Errorf("a request during the drain got status %d", got)
	}
	if got := <-streamed; got.err != nil || got.body != standin.Events(20) {
		t.Errorf("the stream ended with %q, %v", got.body, got.err)
	}
	if err := <-ht.ended; err != nil {
		t.Error(err)
	}
	ht.ended <- nil
	if took := time.Since(started); took > ht.settings.Grace {
		t.Errorf("the stop took %s, longer than the grace of %s", took, ht.settings.Grace)
	}
	if _, err := io.ReadAll(idle); err != nil {
		t.Logf("the idle connection ended with %v", err)
	}
}

// TestAnswersDuringDrainClose guards against answers without Connection: close during a drain, after which callers keep their
// connection to a host that stops.
func TestAnswersDuringDrainClose(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		path   string
		status int
		// before is true when the request is sent before the drain begins, and its answer starts in the drain.
		before bool
	}{
		{"request in the drain", "/stock/x", http.StatusOK, false},
		{"request before the drain", "/stock/x", http.StatusOK, true},
		{"stream before the drain", "/chat/x", http.StatusOK, true},
		{"failed request before the drain", "/order/x", http.StatusBadGateway, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			desk, model := st.runner("i-1", "desk"), st.runner("i-2", "model")
			desk.Gap, model.Gap, model.Events = 250*time.Millisecond, 250*time.Millisecond, 2
			if tc.status != http.StatusOK {
				desk.SetNext(standin.Cut)
			}
			ht := st.start("host-1", true)
			conn := dialHost(t, ht.address)
			stop := func() {
				ht.stop()
				ht.eventually(500*time.Millisecond, "the host reports not ready", func() bool { return !ht.isReady() })
			}
			if !tc.before {
				stop()
			}
			req, err := standin.NewRequest(t.Context(), ht.address, &standin.Call{
				Method: http.MethodPost, Path: tc.path, ID: "r-1", Key: "k-1", Body: "b",
			})
			if err != nil {
				t.Fatal(err)
			}
			if err := req.Write(conn); err != nil {
				t.Fatal(err)
			}
			if tc.before {
				ht.eventually(time.Second, "a target runs the request", func() bool { return len(desk.Runs())+len(model.Runs()) == 1 })
				stop()
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			if resp.StatusCode != tc.status || !resp.Close {
				t.Errorf("got status %d, close %t", resp.StatusCode, resp.Close)
			}
		})
	}
}

// TestStopUnderLoad guards against requests that a planned stop cuts off after a target ran them. Callers open new connections
// and reuse kept-alive ones until the host has stopped.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	rn := st.runner("i-1", "desk")
	rn.Gap = 20 * time.Millisecond
	ht := st.start("host-1", true)
	const callers = 24
	var mu sync.Mutex
	answered := map[string]bool{}
	var group sync.WaitGroup
	for index := range callers {
		keepAlive := index%2 == 0
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !keepAlive, DisableCompression: true}}
		group.Go(func() {
			for number := 0; ; number++ {
				id := fmt.Sprintf("r-%d-%d", index, number)
				got := ht.callWith(t.Context(), client, standin.Call{
					Method: http.MethodPost, Path: "/order/x", ID: id, Key: "k-1", Body: "b",
				})
				if got.err != nil && !keepAlive {
					return
				}
				mu.Lock()
				answered[id] = got.err == nil
				mu.Unlock()
				if got.err != nil {
					return
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	ht.stop()
	group.Wait()
	if err := <-ht.ended; err != nil {
		t.Error(err)
	}
	ht.ended <- nil
	runs := rn.Runs()
	for _, run := range runs {
		if !answered[run.ID] {
			t.Errorf("request %s ran but was not answered", run.ID)
		}
	}
	if len(runs) < 100 {
		t.Errorf("only %d requests ran, want at least 100", len(runs))
	}
}

// TestLateRequestDuringDrain guards against a request that is cut off at the end of a planned stop although it arrived long
// after the stop began, also one that may not be repeated. Its connection was kept alive since the previous answer had begun before
// the stop, without Connection: close.
func TestLateRequestDuringDrain(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/x", "/order/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			rn := st.runner("i-1", "model")
			rn.Events, rn.Gap = 20, 140*time.Millisecond
			desk := st.runner("i-2", "desk")
			ht := st.start("host-1", true)
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			call := func(path, id string) reply {
				return ht.callWith(t.Context(), client, standin.Call{Method: http.MethodPost, Path: path, ID: id, Key: "k-1", Body: "b"})
			}
			time.AfterFunc(200*time.Millisecond, ht.stop)
			if got := call("/once/x", "r-1"); got.err != nil || got.body != standin.Events(20) {
				t.Fatalf("the stream ended with %q, %v", got.body, got.err)
			}
			got := call(path, "r-2")
			if got.err == nil && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "") {
				t.Errorf("a request that the stop would cut off got status %d", got.status)
			}
			if len(rn.Runs()) != 1 || len(desk.Runs()) != 0 {
				t.Errorf("the late request ran: %q, %v", got.body, got.err)
			}
		})
	}
}
