package target

import (
	"io"
	"net"
	"net/http"
	"testing"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// TestSealedAttemptWritesNothing guards against net/http writing a call after it was reported as not run. The scheduler
// decides which of the two comes first, so a test that uses a transport would hit this order too rarely.
func TestSealedAttemptWritesNothing(t *testing.T) {
	t.Parallel()
	client, server := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, server) }()
	tests := []struct {
		assigned, written bool
		notRun, wrote     bool
	}{
		{assigned: false, written: false, notRun: true, wrote: false},
		{assigned: true, written: false, notRun: true, wrote: false},
		{assigned: true, written: true, notRun: false, wrote: true},
	}
	for _, test := range tests {
		at, cn := NewAttempt(), newConn(client, false)
		if test.assigned {
			cn.attempt.Store(at)
		}
		if test.written {
			_, _ = cn.Write([]byte("a"))
		}
		notRun := at.Seal()
		count, err := cn.Write([]byte("b"))
		if notRun != test.notRun || (count > 0) != test.wrote || (err == nil) != test.wrote {
			t.Errorf("%+v: not run %v, wrote %d bytes, error %v", test, notRun, count, err)
		}
	}
}

// TestInvalidCall guards against a path that sends the call to another host, and against a malformed call that is reported
// as a failure of the target and so is sent again.
func TestInvalidCall(t *testing.T) {
	t.Parallel()
	for _, call := range []*chestnutroad.Call{
		{Method: "GET", Path: "@127.0.0.2/"},
		{Method: "GET", Path: ""},
		{Method: "G T", Path: "/"},
		{Method: "GET", Path: "/%"},
		{Method: "GET", Path: "/", Header: http.Header{"X-Note": {"a\nb"}}},
	} {
		at := NewAttempt()
		req, err := NewRequest(at.Context(t.Context()), "127.0.0.1:1", call)
		if err == nil {
			_, err = KeepAliveHTTP1(Timeouts{}).RoundTrip(req) //nolint:bodyclose // the request is invalid, so there is no response
			err = Failure{Call: call, Attempt: at, Cause: err}.Err(t.Context())
		}
		if refusal := chestnutroad.RefusalOf(err); refusal.Kind != chestnutroad.BadRequest || !refusal.NotRun {
			t.Errorf("%+v: %v", call, err)
		}
	}
}

// TestRequestHeader guards against forwarding hop-by-hop headers, and against a caller setting the fleet's own headers.
func TestRequestHeader(t *testing.T) {
	t.Parallel()
	call := &chestnutroad.Call{Request: "r", Attempt: 2, Header: http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Expect": {"100-continue"},
		"Content-Length": {"7"}, "Chestnutroad-Resume-At": {"9"}, "Chestnutroad-Request": {"other"}, "X-Kept": {"1"},
	}}
	header := requestHeader(call)
	for _, name := range []string{"Connection", "X-Hop", "Te", "Expect", "Content-Length", HeaderResumeAt} {
		if header.Get(name) != "" {
			t.Errorf("%s is forwarded", name)
		}
	}
	if header.Get(HeaderRequest) != "r" || header.Get(HeaderAttempt) != "2" || header.Get("X-Kept") != "1" {
		t.Errorf("header %v", header)
	}
	if call.Header.Get("X-Hop") != "1" {
		t.Error("the call's own header was changed")
	}
}
