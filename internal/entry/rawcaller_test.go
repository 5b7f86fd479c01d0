package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// rawHead is the start of a request that a test writes byte by byte, without its last headers and the blank line.
const rawHead = "POST /order/x HTTP/1.1\r\nHost: " + standin.HostName +
	"\r\nAuthorization: Token k-1\r\nChestnutroad-Attempt-Id: r-1\r\n"

// TestRawRequests guards against request smuggling, in which the host and a target read ambiguous framing differently, and
// against heads and bodies that do not end and occupy memory or a connection.
func TestRawRequests(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// send is written once, then repeat again and again until the connection ends, with a pause after each.
		send, repeat string
		pause        time.Duration
		statuses     []int
		// bodies are the bodies that the target gets.
		bodies []string
	}{
		{
			"two lengths", rawHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "", 0,
			[]int{http.StatusBadRequest},
			nil,
		},
		{
			"space in a header name", rawHead + "Content-Length : 1\r\n\r\na", "", 0,
			[]int{http.StatusBadRequest},
			nil,
		},
		{
			"unknown transfer coding", rawHead + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", "", 0,
			[]int{http.StatusNotImplemented, http.StatusBadRequest},
			nil,
		},
		{
			"length and chunked coding", rawHead + "Content-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "", 0,
			[]int{http.StatusOK},
			[]string{"a"},
		},
		{
			"bare line feeds", strings.ReplaceAll(rawHead, "\r\n", "\n") + "Content-Length: 1\n\na", "", 0,
			[]int{http.StatusOK},
			[]string{"a"},
		},
		{
			"two pipelined requests", rawHead + "Content-Length: 1\r\n\r\na" + rawHead + "Content-Length: 1\r\n\r\nb", "", 0,
			[]int{http.StatusOK, http.StatusOK},
			[]string{"a", "b"},
		},
		{
			"invalid chunk size", rawHead + "Transfer-Encoding: chunked\r\n\r\n1x\r\na\r\n0\r\n\r\n", "", 0,
			nil, nil,
		},
		{"endless head", rawHead, "X-Noise: " + strings.Repeat("x", 1000) + "\r\n", 0, nil, nil},
		{
			"endless chunks", rawHead + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n", 0,
			nil, nil,
		},
		{"slow body", rawHead + "Content-Length: 4000\r\n\r\n", "x", 200 * time.Millisecond, nil, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			rn := st.runner("i-1", "desk")
			ht := st.start("host-1", true)
			conn := dialHost(t, ht.address)
			_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
			sent := writeAll(conn, tc.send, tc.repeat, tc.pause)
			reader := bufio.NewReader(conn)
			for index, want := range tc.statuses {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("answer %d: %v\n%s", index, err, ht.log)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != want && (len(tc.bodies) > 0 || resp.StatusCode < http.StatusBadRequest) {
					t.Errorf("answer %d has status %d, want %d", index, resp.StatusCode, want)
				}
				if resp.StatusCode >= http.StatusBadRequest {
					break
				}
			}
			if tc.repeat != "" {
				if count := <-sent; count > 8<<20 {
					t.Errorf("the host read up to %d bytes, want at most %d", count, 8<<20)
				}
			}
			runs := rn.Runs()
			if len(runs) != len(tc.bodies) {
				t.Fatalf("the target ran %+v, want bodies %q", runs, tc.bodies)
			}
			for index, want := range tc.bodies {
				if runs[index].Body != want {
					t.Errorf("the target got body %q, want %q", runs[index].Body, want)
				}
			}
		})
	}
}

// writeAll writes send once and repeat until the connection ends. It returns a channel that receives the number of bytes
// written.
func writeAll(conn net.Conn, send, repeat string, pause time.Duration) <-chan int {
	sent := make(chan int, 1)
	go func() {
		count, err := io.WriteString(conn, send)
		for err == nil && repeat != "" {
			var more int
			more, err = io.WriteString(conn, repeat)
			count += more
			time.Sleep(pause)
		}
		sent <- count
	}()
	return sent
}
