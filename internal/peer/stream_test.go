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

// testKeepAlive is short, so that a silent connection is found within a test, but longer than a busy machine holds up
// a process.
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
	return &peerpb.FetchStateAnswer{State: append([]byte(HostOf(ctx)), request.GetKind()...)}, nil
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

// serve runs a server and returns its address and a function that ends it.
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
	if err := answer.Head(http.StatusOK, http.Header{"From": {string(HostOf(ctx))}, "Id": {head.GetId()}}); err != nil {
		return err
	}
	return answer.Chunk(body, 7)
}

// A request must arrive whole and its answer must come back whole, over connections that are used again.
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
				t.Fatalf("an event of %d bytes came in %d pieces", size, chunks)
			}
			if answer.status != 200 || answer.header.Get("From") != "entry" || answer.header.Get("Id") != "r1" {
				t.Fatalf("answer %d %v", answer.status, answer.header)
			}
			if !bytes.Equal(answer.body.Bytes(), body) || answer.tokens != 7 {
				t.Fatalf("%d bytes and %d tokens came back of %d", answer.body.Len(), answer.tokens, size)
			}
			time.Sleep(time.Millisecond)
		}
	}
	if dialled := client.counters.dialled.Get(); dialled > 5 {
		t.Errorf("%d connections for 100 calls in sequence", dialled)
	}
}

// Each way to answer must come out as its own type, or the entry host would take the wrong next step.
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
		t.Errorf("redirect came back as %v", err)
	}
	var notOwner *NotOwner
	result = &NotOwner{Epoch: chestnutroad.Epoch{Millis: 5, Host: "other"}}
	if err := call(nil); !errors.As(err, &notOwner) || notOwner.Epoch.Millis != 5 || notOwner.Epoch.Host != "other" {
		t.Errorf("not-owner came back as %v", err)
	}
	result = chestnutroad.Refuse(chestnutroad.Overloaded, "full").WithRetryAfter(3 * time.Second)
	if got := chestnutroad.RefusalOf(call(nil)); got.Kind != chestnutroad.Overloaded || !got.NotRun || got.RetryAfter != 3*time.Second {
		t.Errorf("refusal came back as %+v", got)
	}
	result = errors.New("broken handler")
	if got := chestnutroad.RefusalOf(call(nil)); got.Kind != chestnutroad.Internal || got.NotRun {
		t.Errorf("an unknown error came back as %+v", got)
	}
	result = nil
	if got := chestnutroad.RefusalOf(call(make([]byte, 10*chunkSize))); got.Kind != chestnutroad.TooLarge || !got.NotRun {
		t.Errorf("a body over the limit came back as %+v", got)
	}
	if err := call(nil); err != nil {
		t.Errorf("after all that a call fails: %v", err)
	}
}

// "Not run" must be true only if nothing can have run: the host was never reached.
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
		t.Errorf("a host that died inside a stream gave %+v", got)
	}
	err := client.Forward(t.Context(), address, &peerpb.RequestHead{}, nil, &recordedAnswer{})
	if got := chestnutroad.RefusalOf(err); !got.NotRun || got.Kind != chestnutroad.NoTarget {
		t.Errorf("a host that does not listen gave %+v", got)
	}
	stranger, _ := NewClient("stranger", []byte("another key of at least 16 bytes"), nil)
	defer stranger.Close()
	other, _ := serve(t, echo)
	err = stranger.Forward(t.Context(), other, &peerpb.RequestHead{}, nil, &recordedAnswer{})
	if got := chestnutroad.RefusalOf(err); !got.NotRun {
		t.Errorf("a host with another key gave %+v", got)
	}
}

// A caller that goes away must end the work at the owner.
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
		t.Errorf("a cancelled call returned %v", err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the handler was not told")
	}
}

// silentProxy passes connections on until it is told to go silent: it then keeps the connections open but passes
// nothing, while new connections work.
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

// A connection that goes silent must be found and replaced, while a stream that is merely slow goes on. Without
// keep-alive frames nothing tells the two apart, and the silent stream hangs.
func TestSilentConnection(t *testing.T) {
	slow := func(ctx context.Context, _ *peerpb.RequestHead, _ []byte, answer chestnutroad.Answer) error {
		select {
		case <-time.After(2 * missedKeepAlives * testKeepAlive):
		case <-ctx.Done():
		}
		return answer.Head(http.StatusOK, nil)
	}
	// One interval passes before the connection goes silent, and one is for a busy machine.
	const limit = (missedKeepAlives + 2) * testKeepAlive
	run := func(t *testing.T, opts ...Option) (found, replaced bool) {
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
			t.Errorf("a slow stream was broken: %v", err)
		}
		time.AfterFunc(testKeepAlive, func() { proxy.generation.Add(1) })
		took, err := call()
		t.Logf("the silent connection gave %v after %v", err, took)
		found = chestnutroad.RefusalOf(err).Kind == chestnutroad.StreamBroken && took < limit
		_, err = call()
		return found, err == nil
	}
	t.Run("keep-alive", func(t *testing.T) {
		if found, replaced := run(t); !found || !replaced {
			t.Errorf("the silent connection was found in time: %v, and replaced: %v", found, replaced)
		}
	})
	t.Run("baseline", func(t *testing.T) {
		if found, _ := run(t, WithoutKeepAlives()); found {
			t.Error("the silent connection was found without keep-alive frames, so the test proves nothing")
		}
	})
}

// A slow caller must hold back the target instead of filling the memory of two hosts, and must not be taken for a
// silent connection.
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
	// What is under way sits in the buffers of the two sockets, which the system bounds.
	held := sent.Load()
	t.Logf("%d bytes were taken from the target", held)
	if held > 16<<20 || held == 0 {
		t.Errorf("%d bytes were taken from the target for a caller that reads nothing", held)
	}
	close(released)
	if err := <-result; err != nil || answer.body.Len() != piece*pieces || answer.tokens != pieces {
		t.Errorf("%d bytes, %d tokens, %v; want %d", answer.body.Len(), answer.tokens, err, piece*pieces)
	}
}

// State is far larger than a frame on a stream; the calls must carry it and name the caller.
func TestStateCalls(t *testing.T) {
	address, _ := serve(t, echo)
	client := connect(t)
	state, err := client.FetchState(t.Context(), address, &peerpb.FetchStateRequest{Kind: "Shard"})
	if err != nil || string(state.GetState()) != "entryShard" {
		t.Errorf("fetched %q, %v", state.GetState(), err)
	}
	taken, err := client.HandOver(t.Context(), address, &peerpb.HandOverRequest{State: make([]byte, 10<<20)})
	if err != nil || !taken.GetTaken() {
		t.Errorf("handed over %v, %v", taken.GetTaken(), err)
	}
}
