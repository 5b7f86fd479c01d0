package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

const benchEvent = `data: {"id":"chatcmpl-9a479361612a9f5e","object":"chat.completion.chunk","created":0,"model":"m",` +
	`"choices":[{"index":0,"delta":{"content":" tai5"},"finish_reason":null}]}` + "\n\n"

// counter counts what it receives.
type counter struct {
	tokens chestnutroad.Tokens
	onHead func()
}

func (co *counter) Head(int, http.Header) error {
	if co.onHead != nil {
		co.onHead()
	}
	return nil
}

func (co *counter) Chunk(_ []byte, tokens chestnutroad.Tokens) error {
	co.tokens += tokens
	return nil
}

func relayRepeated(tb testing.TB, events int) {
	tb.Helper()
	answer := &counter{}
	body := strings.NewReader(strings.Repeat(benchEvent, events) + "data: [DONE]\n\n")
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}
	failure, err := New("127.0.0.1:1").relayEvents(resp, answer)
	if failure != nil || err != nil || answer.tokens != chestnutroad.Tokens(events) {
		tb.Errorf("%d tokens, failure %v, error %v", answer.tokens, failure, err)
	}
}

// TestNoAllocationPerToken guards against allocation that grows with the length of a stream. json.Valid keeps its state in
// a sync.Pool, which drops items at random under the race detector; what json.Valid allocates by itself is therefore
// measured and subtracted. It is nothing in an ordinary build.
func TestNoAllocationPerToken(t *testing.T) {
	const runs, events = 5, 10_000
	data := []byte(benchEvent[len("data: "):])
	validation := testing.AllocsPerRun(runs, func() {
		for range events {
			_ = json.Valid(data)
		}
	})
	short := testing.AllocsPerRun(runs, func() { relayRepeated(t, 10) })
	long := testing.AllocsPerRun(runs, func() { relayRepeated(t, events) })
	t.Logf("%v allocations for 10 tokens, %v for %d, %v by json.Valid", short, long, events, validation)
	// The slack is a tenth of an allocation a token, since the dropped items vary between runs.
	if long > short+validation+events/10 {
		t.Errorf("%v allocations for 10 tokens, %v for %d", short, long, events)
	}
}

// BenchmarkStreamedToken measures the client's work and allocation for one token, without a network.
func BenchmarkStreamedToken(b *testing.B) {
	b.ReportAllocs()
	const events = 1000
	for done := 0; done < b.N; done += events {
		relayRepeated(b, events)
	}
}

// BenchmarkOpenStream measures the memory of an open stream, both ends of the HTTP/2 connection included.
func BenchmarkOpenStream(b *testing.B) {
	release := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		_, _ = rw.Write([]byte(benchEvent))
		_ = http.NewResponseController(rw).Flush()
		<-release
		_, _ = rw.Write([]byte("data: [DONE]\n\n"))
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	client := New(server.Listener.Addr().String())
	before := liveHeap()
	var open, done sync.WaitGroup
	for range b.N {
		open.Add(1)
		done.Go(func() {
			// A call that fails before its head must not keep the benchmark waiting.
			opened := sync.OnceFunc(open.Done)
			defer opened()
			answer := &counter{onHead: opened}
			call := &chestnutroad.Call{Method: http.MethodPost, Path: "/", Body: []byte("{}")}
			if err := client.Do(b.Context(), call, answer); err != nil {
				b.Error(err)
			}
		})
	}
	open.Wait()
	b.ReportMetric(float64(liveHeap()-before)/float64(b.N), "heap-B/stream")
	close(release)
	done.Wait()
}

func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// FuzzCountTokens guards against input on which the token counter panics or loops, since engines may send anything.
func FuzzCountTokens(f *testing.F) {
	seeds := []string{
		benchEvent[len("data: "):], `{}`, `[]`, `{"choices":[]}`, `{"choices":[{"delta":{"content":"\""}}]}`, `"`, `{"a":`, ` `, ``,
		`{"x":{"choices":[1]},"choices" : [ { "delta" : { "content" : "a" } } ] }`, `{"error":null,"choices":null}`,
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = countTokens(bytes.TrimSpace(data))
	})
}
