package capacity

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/engine"
	"github.com/chestnutroad/chestnutroad/internal/peer"
	"github.com/chestnutroad/chestnutroad/internal/peer/peerpb"
)

// tokensPerRun is the number of tokens in a measurement, divided among its streams.
const tokensPerRun = 64_000

// dialTimeout limits the time to connect. A busy machine makes a measurement of processor time slow, but does not end it.
const dialTimeout = time.Minute

var clusterKey = []byte("a key of this measurement, 32 bytes long")

func measureTokens(uint64) ([]Series, error) {
	streams := []int{1, 16, 64}
	fromEngine, err := measureStreams("token from an engine, both ends of the connection", streams, startEngineStreams)
	if err != nil {
		return nil, err
	}
	betweenHosts, err := measureStreams("token between hosts, both ends of the connection", streams, startHostStreams)
	return []Series{fromEngine, betweenHosts}, err
}

// measureStreams runs concurrent streams for each size and measures the processor time per token. start starts a server whose
// responses have the number of tokens; forward reads one response, and end stops the server.
func measureStreams(
	quantity string, sizes []int, start func(tokens int) (forward func() error, end func(), err error),
) (Series, error) {
	sr := Series{Quantity: quantity, Unit: "us of processor/token", Against: "streams at once"}
	for _, size := range sizes {
		forward, end, err := start(tokensPerRun / size)
		if err != nil {
			return sr, err
		}
		cpuBefore := cpuTime()
		err = runConcurrently(size, forward)
		cpuUsed := cpuTime() - cpuBefore
		end()
		if err != nil {
			return sr, err
		}
		sr.Points = append(sr.Points, Point{size, float64(cpuUsed.Nanoseconds()) / 1000 / tokensPerRun})
	}
	return sr, nil
}

// runConcurrently calls run count times concurrently and returns the joined errors.
func runConcurrently(count int, run func() error) error {
	var group sync.WaitGroup
	failures := make([]error, count)
	for index := range count {
		group.Go(func() { failures[index] = run() })
	}
	group.Wait()
	return errors.Join(failures...)
}

// cpuTime returns the processor time that this process has used, or 0 when the system does not report it.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// discardAnswer is a chestnutroad.Answer that discards the response.
type discardAnswer struct{}

// Head discards the response head.
func (discardAnswer) Head(int, http.Header) error { return nil }

// Chunk discards a part of the body.
func (discardAnswer) Chunk([]byte, chestnutroad.Tokens) error { return nil }

var tokenEvent = []byte(`data: {"id":"request-1","object":"chat.completion.chunk","model":"model-1",` +
	`"choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}` + "\n\n")

// startEngineStreams starts a server that streams the number of tokens in each response, one event and one flush a token.
// forward reads a response with the engine client of a host.
func startEngineStreams(tokens int) (forward func() error, end func(), err error) {
	listener, err := listen()
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler:           http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { writeTokens(rw, tokens) }),
		Protocols:         new(http.Protocols),
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	client := engine.New(listener.Addr().String())
	call := &chestnutroad.Call{
		Request: "request-1", Method: http.MethodPost, Path: "/v1/chat/completions",
		Header: http.Header{"Content-Type": {"application/json"}}, Body: []byte(`{"model":"model-1","stream":true}`),
	}
	forward = func() error { return client.Do(context.Background(), call, discardAnswer{}) }
	return forward, func() {
		client.Close()
		_ = server.Close()
	}, nil
}

// writeTokens streams the tokens as server-sent events.
func writeTokens(rw http.ResponseWriter, tokens int) {
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	for range tokens {
		if _, err := rw.Write(tokenEvent); err != nil {
			return
		}
		_ = control.Flush()
	}
	_, _ = rw.Write([]byte("data: [DONE]\n\n"))
}

func listen() (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// tokenForwarder answers each forwarded request with a number of tokens.
type tokenForwarder struct{ tokens int }

// Forward writes the tokens, one chunk each.
func (tf tokenForwarder) Forward(_ context.Context, _ *peerpb.RequestHead, _ []byte, answer chestnutroad.Answer) error {
	if err := answer.Head(http.StatusOK, nil); err != nil {
		return err
	}
	for range tf.tokens {
		if err := answer.Chunk(tokenEvent, 1); err != nil {
			return err
		}
	}
	return nil
}

// FetchState is not supported.
func (tokenForwarder) FetchState(context.Context, *peerpb.FetchStateRequest) (*peerpb.FetchStateAnswer, error) {
	return nil, errors.New("fetching a shard's state is not supported")
}

// HandOver is not supported.
func (tokenForwarder) HandOver(context.Context, *peerpb.HandOverRequest) (*peerpb.HandOverAnswer, error) {
	return nil, errors.New("handing over a shard is not supported")
}

// startHostStreams starts a peer server and a peer client. forward reads a response of the number of tokens, as an entry host
// does from the shard's owner.
func startHostStreams(tokens int) (forward func() error, end func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := peer.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, nil, err
	}
	server, err := peer.NewServer(tokenForwarder{tokens}, clusterKey, nil)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	client, err := peer.NewClient("host-0", clusterKey, nil, peer.WithDialTimeout(dialTimeout))
	if err != nil {
		cancel()
		return nil, nil, err
	}
	go func() { _ = server.Serve(ctx, listener) }()
	address := listener.Addr().String()
	forward = func() error {
		return client.Forward(ctx, address, &peerpb.RequestHead{Id: "request-1"}, []byte("{}"), discardAnswer{})
	}
	return forward, func() {
		client.Close()
		cancel()
	}, nil
}
