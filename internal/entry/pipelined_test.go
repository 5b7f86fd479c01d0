package entry_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestUnreadBytesAtClose guards against an answer that is lost because the host closes its connection while further bytes of the
// caller are unread, which resets the connection.
func TestUnreadBytesAtClose(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1")
	rn := st.runner("i-1", "model")
	rn.Events, rn.Gap = 10_000, 0
	ht := st.start("host-1", true)
	conn := dialHost(t, ht.address)
	ht.stop()
	ht.eventually(500*time.Millisecond, "the host reports not ready", func() bool { return !ht.isReady() })
	head := strings.Replace(rawHead, "/order/x", "/long/x", 1) + "Content-Length: 1\r\n\r\na"
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	ht.eventually(time.Second, "the stream is running", func() bool { return len(rn.Runs()) == 1 })
	if _, err := io.WriteString(conn, strings.Repeat(head, 500)); err != nil {
		t.Fatal(err)
	}
	// The answer is complete and its connection closed before the caller reads.
	time.Sleep(1500 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != standin.Events(rn.Events) {
		t.Errorf("got %d bytes of the answer, want %d: %v", len(body), len(standin.Events(rn.Events)), err)
	}
	if len(rn.Runs()) != 1 {
		t.Errorf("the target ran %d requests, want 1", len(rn.Runs()))
	}
}
