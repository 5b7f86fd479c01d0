package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// The headers of a stream without a length, which ends with its connection, and of a plain text.
const (
	streamHeader = receiptLine + "Content-Type: text/event-stream\r\n"
	plainHeader  = "Content-Type: text/plain\r\n"
)

// TestResumedAtFailingRunner guards against the answer of the next runner in the middle of a stream that broke off, and against
// a stream that ends as if it were complete there.
func TestResumedAtFailingRunner(t *testing.T) {
	t.Parallel()
	const id = "ID"
	sized := func(text string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text) }
	answer := func(status, rest, text string) string {
		return strings.TrimSuffix(answerHead(status, id, rest), "\r\n") + sized(text)
	}
	text := "an error\n\n"
	cases := []struct {
		name, answer string
		// complete is true when the answer continues the stream to its end.
		complete bool
	}{
		{"resumed", answer("200 OK", streamHeader, standin.Event(3)), true},
		{"500 with a receipt", answer("500 Internal Server Error", receiptLine+plainHeader, text), false},
		{"500", answer("500 Internal Server Error", plainHeader, text), false},
		{"502", answer("502 Bad Gateway", plainHeader, text), false},
		{"refused", answer(refusedStatus, notRunHeader, text), false},
		{"busy", answer(refusedStatus, plainHeader, text), false},
		{"400", answer("400 Bad Request", plainHeader, text), false},
		{"404 with a receipt", answer("404 Not Found", receiptLine+plainHeader, text), false},
		{"413", answer("413 Content Too Large", plainHeader, text), false},
		{"redirect", answer("302 Found", receiptLine+"Location: /x\r\n", text), false},
		{"204", answerHead("204 No Content", id, receiptLine), false},
		{"206", answer("206 Partial Content", streamHeader, standin.Event(3)), false},
		{"no receipt", answer("200 OK", "Content-Type: text/event-stream\r\n", standin.Event(3)), false},
		{"encoded", answer("200 OK", streamHeader+"Content-Encoding: gzip\r\n", standin.Event(3)), false},
		{"plain text", answer("200 OK", receiptLine+plainHeader, text), false},
		{"empty plain text", answer("200 OK", receiptLine+plainHeader, ""), false},
		{"starts again", answer("200 OK", streamHeader, standin.Events(3)), false},
		{"repeats the last event", answer("200 OK", streamHeader, standin.Event(2)+standin.Event(3)), false},
		{"goes back", answer("200 OK", streamHeader, standin.Event(4)+standin.Event(3)), false},
		{"error text", answer("200 OK", streamHeader, text), false},
		{"another head", answer("200 OK", streamHeader, "HTTP/1.1 500 Internal Server Error\nContent-Length: 0\n\n"), false},
		{"comment first", answer("200 OK", streamHeader, standin.Comment+standin.Event(3)), true},
		{"cut", answer("200 OK", streamHeader, standin.Event(3))[:len(answer("200 OK", streamHeader, ""))+9], false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			reply := func(_ int, req *http.Request) (string, bool) {
				request := req.Header.Get("Chestnutroad-Attempt-Id")
				if req.Header.Get("Last-Event-Id") == "" {
					// The stream breaks off within its third event.
					return answerHead("200 OK", request, streamHeader) + standin.Events(2) + "id: 3\nda", false
				}
				return strings.ReplaceAll(tc.answer, id, request), false
			}
			runners := []*rawRunner{st.rawRunner("i-1", "model", reply), st.rawRunner("i-2", "model", reply)}
			ht := st.start("host-1", true)
			got := ht.call(t.Context(), standin.Call{
				Method: http.MethodPost, Path: "/chat/x", ID: "r-1", Key: "k-1", Body: "b", Prefix: "a:10,b:20",
			})
			if runners[0].arrivals() != 1 || runners[1].arrivals() != 1 {
				t.Errorf("the runners got %d and %d requests, want 1 and 1", runners[0].arrivals(), runners[1].arrivals())
			}
			if complete := got.err == nil; complete != tc.complete {
				t.Errorf("the stream looks complete: %t, want %t; got %q", complete, tc.complete, got.body)
			}
			if body := strings.ReplaceAll(got.body, standin.Comment, ""); !strings.HasPrefix(standin.Events(3), body) ||
				got.status != http.StatusOK {
				t.Errorf("got status %d, body %q, which is no start of the stream", got.status, got.body)
			}
		})
	}
}

// TestCallerResumedAtFailingRunner guards against events that the caller of a resumed stream already has, from a runner that begins the
// stream anew.
func TestCallerResumedAtFailingRunner(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, events string
		complete     bool
	}{
		{"resumed", standin.Event(3) + standin.Event(4), true},
		{"starts again", standin.Events(4), false},
		{"repeats the last event", standin.Event(2) + standin.Event(3), false},
		{"starts again after a comment", standin.Comment + standin.Events(4), false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			st.rawRunner("i-1", "model", func(_ int, req *http.Request) (string, bool) {
				return answerHead("200 OK", req.Header.Get("Chestnutroad-Attempt-Id"), streamHeader) + tc.events, false
			})
			ht := st.start("host-1", true)
			got := ht.call(t.Context(), standin.Call{
				Method: http.MethodPost, Path: "/chat/x", ID: "r-2", Key: "k-1", Body: "b", LastEvent: "2", Resumes: "r-1",
			})
			if served := got.err == nil && got.status == http.StatusOK; served != tc.complete {
				t.Errorf("the stream looks complete: %t, want %t; got %q", served, tc.complete, got.body)
			}
			if !tc.complete && strings.Contains(got.body, "id: ") {
				t.Errorf("the caller got events that it has: %q", got.body)
			}
		})
	}
}
