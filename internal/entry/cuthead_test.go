package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestCutHead guards against a caller that gets a success, framed as whole, when its target stopped within the head of its answer, or
// after it.
func TestCutHead(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, service, path, framing string
	}{
		{"order with a length", "desk", "/order/x", "Content-Length: 40\r\n"},
		{"order in chunks", "desk", "/order/x", "Transfer-Encoding: chunked\r\n"},
		{"order without a length", "desk", "/order/x", "Connection: close\r\n"},
		{"stream in chunks", "model", "/once/x", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"},
		{"stream without a length", "model", "/once/x", "Content-Type: text/event-stream\r\nConnection: close\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			st.rawRunner("i-1", tc.service, func(_ int, req *http.Request) (string, bool) {
				id := req.Header.Get("Chestnutroad-Attempt-Id")
				cut, _ := strconv.Atoi(strings.TrimPrefix(id, "r-"))
				return answerHead("200 OK", id, receiptLine+tc.framing)[:cut], false
			})
			ht := st.start("host-1", true)
			head := len(answerHead("200 OK", "r-000", receiptLine+tc.framing))
			for cut := range head + 1 {
				got := ht.call(t.Context(), standin.Call{
					Method: http.MethodPost, Path: tc.path, ID: fmt.Sprintf("r-%03d", cut), Key: "k-1", Body: strconv.Itoa(cut),
				})
				if got.err == nil && got.status < http.StatusMultipleChoices {
					t.Errorf("cut after %d of %d bytes of the head: got status %d, length %q, body %q", cut, head, got.status,
						got.header.Get("Content-Length"), got.body)
				}
			}
		})
	}
}
