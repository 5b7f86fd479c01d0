package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/peer/peerpb"
)

var testKey = []byte("a cluster key of 32 bytes length")

// testKeepAlive is short, so that a test detects a silent connection quickly, but longer than the scheduling delays of a
// busy machine.
const testKeepAlive = 400 * time.Millisecond

type testHandler struct {
	forward func(ctx context.Context, head *peerpb.RequestHead, body []byte, answer chestnutroad.Answer) error
}

func (th *testHandler) Forward(
	ctx context.Context, head *peerpb.RequestHead, body []byte, answer chestnutroad.Answer,
) error {
	return th.forward(ctx, head, body, answer)
}

func (th *testHandler) FetchState(
	ctx context.Context, request *peerpb.FetchStateRequest,
) (*peerpb.FetchStateAnswer, error) {
	return &peerpb.FetchStateAnswer{State: append([]byte(CallingHost(ctx)), request.GetKind()...)}, nil
}

func (th *testHandler) HandOver(_ context.Context, request *peerpb.HandOverRequest) (*peerpb.HandOverAnswer, error) {
	return &peerpb.HandOverAnswer{Taken: len(request.GetState()) == 10<<20}, nil
}

type recordedAnswer struct {
	status int
	header http.Header
	body   bytes.Buffer
	tokens chestnutroad.Tokens
	chunk  func() error
}

func (ra *recordedAnswer) Head(status int, header http.Header) error {
	ra.status, ra.header = status, header
	return nil
}

func (ra *recordedAnswer) Chunk(data []byte, tokens chestnutroad.Tokens) error {
	ra.body.Write(data)
	ra.tokens += tokens
	if ra.chunk != nil {
		return ra.chunk()
	}
	return nil
}

// serve runs a server and returns its address and a function that stops it.
func serve(
	t testing.TB, forward func(context.Context, *peerpb.RequestHead, []byte, chestnutroad.Answer) error, opts ...Option,
) (string, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := NewServer(&testHandler{forward}, testKey, nil, append([]Option{WithKeepAlive(testKeepAlive)}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	stop := func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		done <- nil
	}
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

func connect(t testing.TB, opts ...Option) *Client {
	t.Helper()
	client, err := NewClient("entry", testKey, nil, append([]Option{WithKeepAlive(testKeepAlive)}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func echo(ctx context.Context, head *peerpb.RequestHead, body []byte, answer chestnutroad.Answer) error {
	if err := answer.Head(http.StatusOK, http.Header{"From": {string(CallingHost(ctx))}, "Id": {head.GetId()}}); err != nil {
		return err
	}
	return answer.Chunk(body, 7)
}

// TestForward guards against requests or responses that arrive incomplete, events that are split at frame boundaries, and
// connections that are not reused.
func TestForward(t *testing.T) {
	address, _ := serve(t, echo)
	client := connect(t)
	for _, size := range []int{0, 1, chunkSize, 5*chunkSize + 3, maxWholeChunk + 1} {
		for range 20 {
			body := bytes.Repeat([]byte("x"), size)
			chunks := 0
			answer := &recordedAnswer{chunk: func() error {
				chunks++
				return nil
			}}
			head := &peerpb.RequestHead{Id: "r1", Streamed: true}
			if err := client.Forward(t.Context(), address, head, body, answer); err != nil {
				t.Fatal(err)
			}
			if size <= maxWholeChunk && chunks != 1 {
				t.Fatalf("an event of %d bytes was split into %d chunks", size, chunks)
			}
			if answer.status != 200 || answer.header.Get("From") != "entry" || answer.header.Get("Id") != "r1" {
				t.Fatalf("response status %d, header %v; want 200 with the request's id from the host entry", answer.status, answer.header)
			}
			if !bytes.Equal(answer.body.Bytes(), body) || answer.tokens != 7 {
				t.Fatalf("received %d bytes and %d tokens, sent %d bytes", answer.body.Len(), answer.tokens, size)
			}
			time.Sleep(time.Millisecond)
		}
	}
	if dialled := client.counters.dialled.Get(); dialled > 5 {
		t.Errorf("%d connections dialled for 100 sequential calls, want at most 5", dialled)
	}
}

// TestForwardErrors guards against a result that arrives as another error type or loses its fields, on which the entry host
// would take the wrong next step.
func TestForwardErrors(t *testing.T) {
	var result error
	address, _ := serve(t, func(context.Context, *peerpb.RequestHead, []byte, chestnutroad.Answer) error { return result },
		WithMaxBody(100))
	client := connect(t)
	call := func(body []byte) error {
		return client.Forward(t.Context(), address, &peerpb.RequestHead{}, body, &recordedAnswer{})
	}
	var redirect *Redirect
	result = &Redirect{DataCentre: "konin"}
	if err := call(nil); !errors.As(err, &redirect) || redirect.DataCentre != "konin" {
		t.Errorf("redirect arrived as %v", err)
	}
	var notOwner *NotOwner
	result = &NotOwner{Epoch: chestnutroad.Epoch{Millis: 5, Host: "other"}}
	if err := call(nil); !errors.As(err, &notOwner) || notOwner.Epoch.Millis != 5 || notOwner.Epoch.Host != "other" {
		t.Errorf("not-owner arrived as %v", err)
	}
	result = chestnutroad.Refuse(chestnutroad.Overloaded, "full").WithRetryAfter(3 * time.Second)
	if got := chestnutroad.RefusalOf(call(nil)); got.Kind != chestnutroad.Overloaded || !got.NotRun || got.RetryAfter != 3*time.Second {
		t.Errorf("refusal arrived as %+v, want Overloaded with NotRun and a retry after 3 s", got)
	}
	result = errors.New("broken handler")
	if got := chestnutroad.RefusalOf(call(nil)); got.Kind != chestnutroad.Internal || got.NotRun {
		t.Errorf("unknown error arrived as %+v, want Internal without NotRun", got)
	}
	result = nil
	if got := chestnutroad.RefusalOf(call(make([]byte, 10*chunkSize))); got.Kind != chestnutroad.TooLarge || !got.NotRun {
		t.Errorf("refusal of a body over the limit: %+v, want TooLarge with NotRun", got)
	}
	if err := call(nil); err != nil {
		t.Errorf("call after the failed ones: %v", err)
	}
}

// TestNotRun guards against a refusal that claims NotRun although the host may have run the request, and against one that
// does not claim it when the host was never reached.
func TestNotRun(t *testing.T) {
	started := make(chan struct{}, 10)
	address, stop := serve(t, func(ctx context.Context, _ *peerpb.RequestHead, _ []byte, _ chestnutroad.Answer) error {
		started <- struct{}{}
		<-ctx.Done()
		return ctx.Err()
	})
	client := connect(t)
	result := make(chan error, 1)
	go func() {
		result <- client.Forward(context.Background(), address, &peerpb.RequestHead{}, nil, &recordedAnswer{})
	}()
	<-started
	stop()
	if got := chestnutroad.RefusalOf(<-result); got.NotRun || got.Kind != chestnutroad.StreamBroken {
		t.Errorf("refusal after the host stopped during a stream: %+v, want StreamBroken without NotRun", got)
	}
	err := client.Forward(t.Context(), address, &peerpb.RequestHead{}, nil, &recordedAnswer{})
	if got := chestnutroad.RefusalOf(err); !got.NotRun || got.Kind != chestnutroad.NoTarget {
		t.Errorf("refusal for a host that does not listen: %+v, want NoTarget with NotRun", got)
	}
	wrongKeyClient, _ := NewClient("stranger", []byte("another key of at least 16 bytes"), nil)
	defer wrongKeyClient.Close()
	other, _ := serve(t, echo)
	err = wrongKeyClient.Forward(t.Context(), other, &peerpb.RequestHead{}, nil, &recordedAnswer{})
	if got := chestnutroad.RefusalOf(err); !got.NotRun {
		t.Errorf("refusal for a host with another key: %+v, want one with NotRun", got)
	}
}

// TestCancel guards against work that goes on at the owner after its caller cancelled the request.
func TestCancel(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	address, _ := serve(t, func(ctx context.Context, _ *peerpb.RequestHead, _ []byte, _ chestnutroad.Answer) error {
		close(started)
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	err := connect(t).Forward(ctx, address, &peerpb.RequestHead{}, nil, &recordedAnswer{})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled call returned %v, want %v", err, context.Canceled)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the handler's context was not cancelled")
	}
}

// silentProxy forwards connections to a target. When its generation is increased, it keeps the existing connections open
// but discards their data, while new connections work.
type silentProxy struct {
	net.Listener
	generation atomic.Int64
}

func newSilentProxy(t *testing.T, target string) *silentProxy {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &silentProxy{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			generation := proxy.generation.Load()
			go proxy.pass(near, far, generation)
			go proxy.pass(far, near, generation)
		}
	}()
	return proxy
}

// pass copies data in one direction while the connection's generation is the current one.
func (sp *silentProxy) pass(from, to net.Conn, generation int64) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if sp.generation.Load() == generation {
			_, _ = to.Write(buffer[:count])
		}
	}
}

// TestSilentConnection guards against a silent connection that is not detected and replaced, and against a slow stream that
// is taken for one. The baseline without keep-alive frames, where a silent stream hangs, shows that they are what
// detects it.
func TestSilentConnection(t *testing.T) {
	slow := func(ctx context.Context, _ *peerpb.RequestHead, _ []byte, answer chestnutroad.Answer) error {
		select {
		case <-time.After(2 * missedKeepAlives * testKeepAlive):
		case <-ctx.Done():
		}
		return answer.Head(http.StatusOK, nil)
	}
	// One interval passes before the connection goes silent; one more allows for delays on a busy machine.
	const limit = (missedKeepAlives + 2) * testKeepAlive
	run := func(t *testing.T, opts ...Option) (detected, replaced bool) {
		t.Parallel()
		address, _ := serve(t, slow, opts...)
		proxy := newSilentProxy(t, address)
		client := connect(t, opts...)
		call := func() (time.Duration, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*limit)
			defer cancel()
			start := time.Now()
			err := client.Forward(ctx, proxy.Addr().String(), &peerpb.RequestHead{}, nil, &recordedAnswer{})
			return time.Since(start), err
		}
		if _, err := call(); err != nil {
			t.Errorf("slow stream failed: %v", err)
		}
		time.AfterFunc(testKeepAlive, func() { proxy.generation.Add(1) })
		elapsed, err := call()
		t.Logf("the call on the silent connection returned %v after %v", err, elapsed)
		detected = chestnutroad.RefusalOf(err).Kind == chestnutroad.StreamBroken && elapsed < limit
		_, err = call()
		return detected, err == nil
	}
	t.Run("keep-alive", func(t *testing.T) {
		if detected, replaced := run(t); !detected || !replaced {
			t.Errorf("silent connection detected in time: %v, replaced: %v", detected, replaced)
		}
	})
	t.Run("baseline", func(t *testing.T) {
		if detected, _ := run(t, WithoutKeepAlives()); detected {
			t.Error("silent connection detected without keep-alive frames, so the test proves nothing about them")
		}
	})
}

// TestBackPressure guards against a slow caller that doesn't slow down the target, so that the response fills the memory of
// two hosts, and against one that is taken for a silent connection.
func TestBackPressure(t *testing.T) {
	t.Parallel()
	const piece, pieces = 16 << 10, 4000
	var sent atomic.Int64
	address, _ := serve(t, func(_ context.Context, _ *peerpb.RequestHead, _ []byte, answer chestnutroad.Answer) error {
		data := make([]byte, piece)
		for range pieces {
			if err := answer.Chunk(data, 1); err != nil {
				return err
			}
			sent.Add(piece)
		}
		return nil
	})
	released := make(chan struct{})
	first := true
	answer := &recordedAnswer{chunk: func() error {
		if first {
			first = false
			<-released
		}
		return nil
	}}
	result := make(chan error, 1)
	go func() {
		result <- connect(t).Forward(t.Context(), address, &peerpb.RequestHead{}, nil, answer)
	}()
	time.Sleep(2 * missedKeepAlives * testKeepAlive)
	// Data in transit is held in the buffers of the two sockets, whose size the operating system bounds.
	buffered := sent.Load()
	t.Logf("%d bytes read from the target", buffered)
	if buffered > 16<<20 || buffered == 0 {
		t.Errorf("%d bytes read from the target for a caller that reads nothing", buffered)
	}
	close(released)
	if err := <-result; err != nil || answer.body.Len() != piece*pieces || answer.tokens != pieces {
		t.Errorf("received %d bytes, %d tokens, error %v; want %d bytes", answer.body.Len(), answer.tokens, err, piece*pieces)
	}
}

// TestStateCalls guards against state calls that apply the frame limit of streams, which is far below the size of a state,
// or that lose the id of the calling host.
func TestStateCalls(t *testing.T) {
	address, _ := serve(t, echo)
	client := connect(t)
	state, err := client.FetchState(t.Context(), address, &peerpb.FetchStateRequest{Kind: "Shard"})
	if err != nil || string(state.GetState()) != "entryShard" {
		t.Errorf("fetched %q, error %v", state.GetState(), err)
	}
	taken, err := client.HandOver(t.Context(), address, &peerpb.HandOverRequest{State: make([]byte, 10<<20)})
	if err != nil || !taken.GetTaken() {
		t.Errorf("handover taken: %v, error %v", taken.GetTaken(), err)
	}
}
