package targetconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutroad/chestnutroad/internal/targetconn"
)

// behaviours are the ways in which the scripted server answers a request.
var behaviours = []string{
	"serve", "twice", "late copy", "half", "close after", "say close", "interim", "other first", "extra bytes", "no length", "reset",
}

// idHeader carries a request's id, which the answer echoes.
const idHeader = "X-Id"

// scriptedServer answers each request with the behaviour named in its path, and sends the ids of the requests to runs.
type scriptedServer struct {
	listener net.Listener
	runs     chan string
}

func newScriptedServer(t *testing.T) *scriptedServer {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ss := &scriptedServer{listener: listener, runs: make(chan string, 1<<16)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				ss.serve(conn)
				_ = conn.Close()
			}()
		}
	}()
	return ss
}

func answerText(id, extra string) string {
	body := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s", idHeader, id, len(body), extra, body)
}

// serve answers the requests on one connection until it ends.
func (ss *scriptedServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	delayed := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(idHeader)
		ss.runs <- id
		_, _ = io.WriteString(conn, delayed)
		delayed = ""
		switch complete := answerText(id, ""); req.URL.Path[1:] {
		case "twice":
			_, _ = io.WriteString(conn, complete+complete)
		case "late copy":
			_, _ = io.WriteString(conn, complete)
			delayed = complete
		case "half":
			_, _ = io.WriteString(conn, complete[:len(complete)-3])
			return
		case "close after":
			_, _ = io.WriteString(conn, complete)
			return
		case "say close":
			_, _ = io.WriteString(conn, answerText(id, "Connection: close\r\n"))
			return
		case "interim":
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n"+complete)
		case "other first":
			_, _ = io.WriteString(conn, answerText("another", "")+complete)
		case "extra bytes":
			_, _ = io.WriteString(conn, complete+"\x00\x01 no answer\r\n\r\n")
		case "no length":
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\n\r\nanswer to "+id)
			return
		case "reset":
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		default:
			_, _ = io.WriteString(conn, complete)
		}
	}
}

// TestReuse sends random requests over reused connections, with random pauses, to a server that misbehaves in each of the
// listed ways. It guards against delivering the answer to an earlier request, taking a part of an answer for the whole, and
// resending a request within the pool: each caller gets its own complete answer or an error, and no request runs twice.
func TestReuse(t *testing.T) {
	t.Parallel()
	server := newScriptedServer(t)
	address := netip.MustParseAddrPort(server.listener.Addr().String())
	number := 0
	rapid.Check(t, func(rt *rapid.T) {
		pool := targetconn.NewPool()
		ran := map[string]int{}
		for range rapid.IntRange(1, 12).Draw(rt, "requests") {
			behaviour := rapid.SampledFrom(behaviours).Draw(rt, "behaviour")
			if rapid.Bool().Draw(rt, "pause") {
				time.Sleep(time.Millisecond)
			}
			number++
			id := fmt.Sprintf("r-%d", number)
			body, err := exchange(t.Context(), pool, address, behaviour, id)
			if err == nil && body != "answer to "+id {
				rt.Fatalf("%s (%s) got %q", id, behaviour, body)
			}
			for len(server.runs) > 0 {
				ran[<-server.runs]++
			}
			if ran[id] > 1 {
				rt.Fatalf("%s ran %d times", id, ran[id])
			}
		}
		pool.CloseIdle(address)
	})
}

func exchange(
	ctx context.Context, pool *targetconn.Pool, address netip.AddrPort, behaviour, id string,
) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	an, err := pool.Exchange(ctx, &targetconn.Request{
		Address: address, Method: http.MethodPost, URI: "/" + url.PathEscape(behaviour), Host: "a.example",
		Header: http.Header{idHeader: {id}}, Body: []byte("b"), HasBody: true,
		Matches: func(_ int, header http.Header) bool { return header.Get(idHeader) == id },
	})
	if err != nil {
		return "", err
	}
	defer an.Close()
	body, err := io.ReadAll(an.Body)
	if err != nil {
		return "", err
	}
	an.Release()
	return string(body), nil
}
