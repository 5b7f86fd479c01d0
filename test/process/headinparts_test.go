package process

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestHeadInPartsDuringStop guards against a stop that closes a connection while the head of a request arrives on it, and against one
// that waits for connections without a request.
func TestHeadInPartsDuringStop(t *testing.T) {
	cases := []struct {
		name string
		// secure is true if callers use TLS, kept if an earlier request was answered on the connection.
		secure, kept bool
	}{
		{"kept connection", false, true},
		{"new connection", false, false},
		{"kept connection with TLS", true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			checkHeadInParts(t, tc.secure, tc.kept)
		})
	}
}

func checkHeadInParts(t *testing.T, secure, kept bool) {
	t.Helper()
	fl := startFleet(t, 1)
	rt := fl.routers[0]
	dial := func() net.Conn {
		var dialer net.Dialer
		conn, err := dialer.DialContext(t.Context(), "tcp", rt.caller)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	if secure {
		pool := addCertificate(t, rt)
		rt.signal(os.Kill)
		<-rt.exited
		rt.start(t)
		fl.awaitReady(t)
		plain := dial
		dial = func() net.Conn {
			host, _, _ := net.SplitHostPort(rt.caller)
			return tls.Client(plain(), &tls.Config{RootCAs: pool, ServerName: host})
		}
	}
	conn, idle := dial(), dial()
	request := "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n"
	for _, opened := range []net.Conn{conn, idle} {
		if kept || opened == idle {
			if status, closes, err := exchangeRaw(opened, request); err != nil || closes {
				t.Fatalf("the first request got status %d, close %t, %v", status, closes, err)
			}
		}
	}
	rt.signal(syscall.SIGTERM)
	time.Sleep(800 * time.Millisecond)
	if _, err := io.WriteString(conn, request[:10]); err != nil {
		t.Fatal(err)
	}
	// The router closes its listener 1 s after the signal, and then connections that are idle for 0.3 s.
	time.Sleep(time.Second)
	_ = idle.SetReadDeadline(time.Now().Add(2 * time.Second))
	if count, err := idle.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // an end that TLS doesn't announce wraps it
		t.Errorf("the idle connection got %d bytes, %v, want its end", count, err)
	}
	if status, closes, err := exchangeRaw(conn, request[10:]); err != nil || !closes {
		t.Errorf("got status %d, close %t, %v, want an answer that closes the connection", status, closes, err)
	}
	select {
	case <-rt.exited:
	case <-time.After(10 * time.Second):
		t.Error("the router did not stop within 10 s after its last answer")
	}
}

// exchangeRaw writes the rest of a request, and returns the status of the answer and whether it closes the connection.
func exchangeRaw(conn net.Conn, rest string) (status int, closes bool, err error) {
	if _, err := io.WriteString(conn, rest); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}
