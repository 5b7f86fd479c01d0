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

// tokenRun bounds the tokens of one measurement.
const tokenRun = 64_000

var clusterKey = []byte("a key of this measurement, 32 bytes long")

func measureTokens(uint64) ([]Slope, error) {
	streams := []int{1, 16, 64}
	fromEngine, err := measureStreams("token from an engine, both ends of the connection", streams, engineStreams)
	if err != nil {
		return nil, err
	}
	betweenHosts, err := measureStreams("token between hosts, both ends of the connection", streams, hostStreams)
	return []Slope{fromEngine, betweenHosts}, err
}

// measureStreams runs streams side by side and returns the processor time of each token.
func measureStreams(quantity string, sizes []int, open func(tokens int) (forward func() error, end func(), err error)) (Slope, error) {
	sl := Slope{Quantity: quantity, Unit: "us of processor/token", Against: "streams at once"}
	for _, size := range sizes {
		forward, end, err := open(tokenRun / size)
		if err != nil {
			return sl, err
		}
		began := processorTime()
		err = sideBySide(size, forward)
		spent := processorTime() - began
		end()
		if err != nil {
			return sl, err
		}
		sl.Points = append(sl.Points, Point{size, float64(spent.Nanoseconds()) / 1000 / tokenRun})
	}
	return sl, nil
}

func sideBySide(count int, run func() error) error {
	var group sync.WaitGroup
	failures := make([]error, count)
	for index := range count {
		group.Go(func() { failures[index] = run() })
	}
	group.Wait()
	return errors.Join(failures...)
}

// processorTime is the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// discard is an answer that nobody reads.
type discard struct{}

// Head takes the response head.
func (discard) Head(int, http.Header) error { return nil }

// Chunk takes a part of the body.
func (discard) Chunk([]byte, chestnutroad.Tokens) error { return nil }

var tokenEvent = []byte(`data: {"id":"request-1","object":"chat.completion.chunk","model":"model-1",` +
	`"choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}` + "\n\n")

// engineStreams serves chats of the number of tokens, one event and flush each, and reads them as a host does.
func engineStreams(tokens int) (forward func() error, end func(), err error) {
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
	forward = func() error { return client.Do(context.Background(), call, discard{}) }
	return forward, func() {
		client.Close()
		_ = server.Close()
	}, nil
}

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

// relay answers each forwarded request with a number of tokens.
type relay struct{ tokens int }

// Forward writes the tokens, one chunk each.
func (rl relay) Forward(_ context.Context, _ *peerpb.RequestHead, _ []byte, answer chestnutroad.Answer) error {
	if err := answer.Head(http.StatusOK, nil); err != nil {
		return err
	}
	for range rl.tokens {
		if err := answer.Chunk(tokenEvent, 1); err != nil {
			return err
		}
	}
	return nil
}

// FetchState is not used.
func (relay) FetchState(context.Context, *peerpb.FetchStateRequest) (*peerpb.FetchStateAnswer, error) {
	return nil, errors.New("no state")
}

// HandOver is not used.
func (relay) HandOver(context.Context, *peerpb.HandOverRequest) (*peerpb.HandOverAnswer, error) {
	return nil, errors.New("no shard")
}

func hostStreams(tokens int) (forward func() error, end func(), err error) {
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := peer.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, nil, err
	}
	server, err := peer.NewServer(relay{tokens}, clusterKey, nil)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	client, err := peer.NewClient("host-0", clusterKey, nil)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	go func() { _ = server.Serve(ctx, listener) }()
	address := listener.Addr().String()
	forward = func() error {
		return client.Forward(ctx, address, &peerpb.RequestHead{Id: "request-1"}, []byte("{}"), discard{})
	}
	return forward, func() {
		client.Close()
		cancel()
	}, nil
}
