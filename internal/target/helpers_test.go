package target_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// recorder keeps an answer; fail, when set, is asked after each chunk.
type recorder struct {
	mu     sync.Mutex
	heads  int
	status int
	header http.Header
	body   []byte
	tokens chestnutroad.Tokens
	fail   func(*recorder) error
}

func (rc *recorder) Head(status int, header http.Header) error {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.heads++
	rc.status, rc.header = status, header
	return nil
}

func (rc *recorder) Chunk(data []byte, tokens chestnutroad.Tokens) error {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.body = append(rc.body, data...)
	rc.tokens += tokens
	if rc.fail != nil {
		return rc.fail(rc)
	}
	return nil
}

// rawServer answers with bytes that net/http would not write.
type rawServer struct {
	listener net.Listener
	// requests counts the requests that arrived whole.
	requests atomic.Int32
}

func (rs *rawServer) address() string { return rs.listener.Addr().String() }

func newRawServer(t *testing.T, answer func(net.Conn, *http.Request)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a listener on loopback does not block
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	rs := &rawServer{listener: listener}
	go rs.serve(answer)
	return rs
}

func (rs *rawServer) serve(answer func(net.Conn, *http.Request)) {
	for {
		raw, err := rs.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = raw.Close() }()
			reader := bufio.NewReader(raw)
			for {
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				rs.requests.Add(1)
				answer(raw, req)
			}
		}()
	}
}

// say answers with the text and keeps the connection open.
func say(text string) func(net.Conn, *http.Request) {
	return func(raw net.Conn, _ *http.Request) { _, _ = io.WriteString(raw, text) }
}

// sayAndClose answers with the text and closes the connection.
func sayAndClose(text string) func(net.Conn, *http.Request) {
	return func(raw net.Conn, _ *http.Request) {
		_, _ = io.WriteString(raw, text)
		_ = raw.Close()
	}
}

// sayAndReset answers with the text, lets it arrive, and resets the connection.
func sayAndReset(text string) func(net.Conn, *http.Request) {
	return func(raw net.Conn, _ *http.Request) {
		_, _ = io.WriteString(raw, text)
		time.Sleep(50 * time.Millisecond)
		if tcp, ok := raw.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = raw.Close()
	}
}

// sayForever answers with the first text and then repeats the second until the client closes.
func sayForever(first, again string) func(net.Conn, *http.Request) {
	return func(raw net.Conn, _ *http.Request) {
		_, err := io.WriteString(raw, first)
		for err == nil {
			_, err = io.WriteString(raw, again)
		}
	}
}

func closedAddress(t *testing.T) string {
	t.Helper()
	rs := newRawServer(t, say(""))
	_ = rs.listener.Close()
	return rs.address()
}
