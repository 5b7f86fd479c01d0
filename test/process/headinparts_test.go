package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/knownred"
)

// TestHeadInPartsDuringStop guards against a stop that closes a kept connection while the head of a request arrives on it.
func TestHeadInPartsDuringStop(t *testing.T) {
	knownred.Skip(t, "test/process")
	fl := startFleet(t, 1)
	rt := fl.routers[0]
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", rt.caller)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request := "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n"
	exchange := func(rest string) (int, error) {
		if _, err := io.WriteString(conn, rest); err != nil {
			return 0, err
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	if status, err := exchange(request); err != nil {
		t.Fatalf("the first request got status %d, %v", status, err)
	}
	rt.signal(syscall.SIGTERM)
	time.Sleep(800 * time.Millisecond)
	if _, err := io.WriteString(conn, request[:10]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(400 * time.Millisecond)
	if status, err := exchange(request[10:]); err != nil {
		t.Errorf("got status %d, %v", status, err)
	}
}
