package host

import (
	"net/http"
	"testing"

	"github.com/chestnutroad/chestnutroad"
)

// recordedAnswer keeps what an answer forwards.
type recordedAnswer struct{ text string }

// Head ignores the head.
func (*recordedAnswer) Head(int, http.Header) error { return nil }

// Chunk appends the chunk.
func (ra *recordedAnswer) Chunk(data []byte, _ chestnutroad.Tokens) error {
	ra.text += string(data)
	return nil
}

// TestSecondHead guards against the error of a second engine in the middle of a stream whose first engine broke off before its
// first token.
func TestSecondHead(t *testing.T) {
	t.Parallel()
	stream, document := http.Header{"Content-Type": {"text/event-stream"}}, http.Header{"Content-Type": {"application/json"}}
	cases := []struct {
		name      string
		status    int
		header    http.Header
		continues bool
	}{
		{"stream", http.StatusOK, stream, true},
		{"stream with parameters", http.StatusOK, http.Header{"Content-Type": {"text/event-stream; charset=utf-8"}}, true},
		{"document", http.StatusOK, document, false},
		{"error", http.StatusInternalServerError, document, false},
		{"error as a stream", http.StatusInternalServerError, stream, false},
	}
	for _, tc := range cases {
		answer := &recordedAnswer{}
		pg := &progress{answer: answer}
		if err := pg.Head(http.StatusOK, stream); err != nil {
			t.Fatal(err)
		}
		err := pg.Head(tc.status, tc.header)
		if err == nil {
			_ = pg.Chunk([]byte("x"), 0)
		}
		if continues := answer.text != ""; continues != tc.continues {
			t.Errorf("%s: forwarded %q, error %v", tc.name, answer.text, err)
		}
		if !pg.retryable(&chestnutroad.Request{Chat: 1, Repeat: chestnutroad.RepeatAllowed}) {
			t.Errorf("%s: no other engine can continue the stream", tc.name)
		}
	}
}
