package targetconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestHeadLines guards against a head with so many short headers that it takes far more memory than its bytes, and against a
// body that is lost or cut because its lines are taken for those of a head.
func TestHeadLines(t *testing.T) {
	t.Parallel()
	const status = "HTTP/1.1 200 OK\r\n"
	fields := func(count int) string {
		var text strings.Builder
		for number := range count {
			fmt.Fprintf(&text, "h%d:\r\n", number)
		}
		return text.String()
	}
	cases := []struct {
		name, text string
		// want is the body, or an empty string if the head must be refused.
		want string
	}{
		{"usual head", status + fields(20) + "Content-Length: 4\r\n\r\nbody", "body"},
		{"as many lines as allowed", status + fields(maxHeadLines-3) + "Content-Length: 4\r\n\r\nbody", "body"},
		{"one line more", status + fields(maxHeadLines-2) + "Content-Length: 4\r\n\r\nbody", ""},
		{"without end", status + fields(20_000), ""},
		{"body of many lines", status + "Content-Length: 9000\r\n\r\n" + strings.Repeat("\n", 9000), strings.Repeat("\n", 9000)},
		{
			"interim answers before a body of many lines",
			strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+fields(200)+"\r\n", 3) + status + "Content-Length: 900\r\n\r\n" + strings.Repeat("\n", 900),
			strings.Repeat("\n", 900),
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			near, far := net.Pipe()
			defer func() { _ = near.Close() }()
			go func() {
				writer := bufio.NewWriterSize(far, readBufferSize)
				_, _ = writer.WriteString(tc.text)
				_ = writer.Flush()
				_ = far.Close()
			}()
			cn := newConn(near)
			var resp *http.Response
			err := error(nil)
			for resp == nil || err == nil && resp.StatusCode < http.StatusOK {
				cn.head.begin()
				resp, err = http.ReadResponse(cn.reader, nil) //nolint:bodyclose // The test closes the connection.
				cn.head.end()
				if err != nil {
					break
				}
			}
			if tc.want == "" {
				if !errors.Is(err, errHeadTooLong) {
					t.Errorf("got error %v, want %v", err, errHeadTooLong)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil || string(body) != tc.want {
				t.Errorf("got a body of %d bytes, want %d: %v", len(body), len(tc.want), err)
			}
			if left := cn.buffered(); left > 0 {
				t.Errorf("%d bytes are left after the answer", left)
			}
		})
	}
}
