package targetconn_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/targetconn"
)

// serveOnce accepts one connection, reads the head and the first bytes of the body, and calls answer with it.
func serveOnce(t *testing.T, answer func(conn *net.TCPConn)) netip.AddrPort {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 1<<10)); err != nil {
			return
		}
		answer(conn.(*net.TCPConn))
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// exchangeOnce sends a request with a body and returns the status, the body that arrived, and the error of the answer.
func exchangeOnce(t *testing.T, address netip.AddrPort, body []byte) (status int, text string, err error) {
	t.Helper()
	an, err := targetconn.NewPool().Exchange(t.Context(), &targetconn.Request{
		Address: address, Method: http.MethodPost, URI: "/", Host: "a", HasBody: true, Body: body,
		Matches: func(int, http.Header) bool { return true },
	})
	if err != nil {
		return 0, "", err
	}
	defer an.Close()
	data, err := io.ReadAll(an.Body)
	return an.Status, string(data), err
}

// TestAnswerResetDuringUpload guards against a part of an answer without a length that looks whole, when its target resets the connection
// while the request is still being written: the write gets the error, and the read an end of the data.
func TestAnswerResetDuringUpload(t *testing.T) {
	t.Parallel()
	upload := bytes.Repeat([]byte("x"), 16<<20)
	for range 50 {
		address := serveOnce(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part")
			// The client has read the part and waits for more, while it still writes.
			time.Sleep(10 * time.Millisecond)
			_ = conn.SetLinger(0)
		})
		if status, text, err := exchangeOnce(t, address, upload); err == nil {
			t.Fatalf("got status %d, body %q as a whole answer", status, text)
		}
	}
}

// TestAnswerWithoutLengthAfterUpload guards against an answer without a length that counts as broken although it is whole.
func TestAnswerWithoutLengthAfterUpload(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 1 << 20} {
		address := serveOnce(t, func(conn *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, conn, int64(max(0, size-1<<10)))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe whole")
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		})
		status, text, err := exchangeOnce(t, address, bytes.Repeat([]byte("x"), size))
		if err != nil || status != http.StatusOK || text != "the whole" {
			t.Errorf("upload of %d bytes: got status %d, body %q, error %v", size, status, text, err)
		}
	}
}

// TestInvalidStatus guards against an answer whose status is no HTTP status and that is passed on, or read as an interim answer.
func TestInvalidStatus(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "001", "099", "-01", "+20", "600", "999"} {
		for _, rest := range []string{
			"Content-Length: 2\r\n\r\nok", "\r\n", "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			"\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		} {
			address := serveOnce(t, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\n"+rest)
			})
			got, text, err := exchangeOnce(t, address, []byte("b"))
			if err == nil {
				t.Errorf("status %s, then %q: got status %d, body %q, error %v", status, rest, got, text, err)
			}
		}
	}
}
