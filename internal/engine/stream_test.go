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

// tokenCounter adds up the tokens of an answer.
type tokenCounter struct {
	tokens chestnutroad.Tokens
	onHead func()
}

func (co *tokenCounter) Head(int, http.Header) error {
	if co.onHead != nil {
		co.onHead()
	}
	return nil
}

func (co *tokenCounter) Chunk(_ []byte, tokens chestnutroad.Tokens) error {
	co.tokens += tokens
	return nil
}

// relayRepeated relays a stream with the given number of token events and checks the number of tokens.
func relayRepeated(tb testing.TB, events int) {
	tb.Helper()
	answer := &tokenCounter{}
	body := strings.NewReader(strings.Repeat(benchEvent, events) + "data: [DONE]\n\n")
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}
	failure, err := New("127.0.0.1:1").relayEvents(resp, answer)
	if failure != nil || err != nil || answer.tokens != chestnutroad.Tokens(events) {
		tb.Errorf("%d tokens, failure %v, error %v", answer.tokens, failure, err)
	}
}

// TestNoAllocationPerToken guards against allocations that grow with the length of a stream. json.Valid keeps its state in a
// sync.Pool, which drops items at random under the race detector, so the test measures the allocations of json.Valid alone and
// subtracts them. Without the race detector there are none.
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
	// The margin is a tenth of an allocation per token, since the number of dropped items varies between runs.
	if long > short+validation+events/10 {
		t.Errorf("%v allocations for 10 tokens, %v for %d", short, long, events)
	}
}

// BenchmarkStreamedToken measures the client's time and allocations per token, without a network.
func BenchmarkStreamedToken(b *testing.B) {
	b.ReportAllocs()
	const events = 1000
	for done := 0; done < b.N; done += events {
		relayRepeated(b, events)
	}
}

// BenchmarkOpenStream measures the heap and stack memory per open stream, for both ends of the HTTP/2 connection.
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
			// A call that fails before its response head must not block the benchmark.
			opened := sync.OnceFunc(open.Done)
			defer opened()
			answer := &tokenCounter{onHead: opened}
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

// FuzzCountTokens guards against event data from a faulty engine on which countTokens panics or does not return.
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
