package target

import (
	"io"
	"net"
	"net/http"
	"testing"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// TestSealedAttemptWritesNothing guards against net/http writing a call after it was reported as not run; the order of
// the two is decided by the scheduler, so that a test over a transport meets it too rarely.
func TestSealedAttemptWritesNothing(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		steps  func(*Attempt, *conn)
		notRun bool
		writes bool
	}{
		{"no attempt owns the connection", func(*Attempt, *conn) {}, true, false},
		{"sealed before the first write", func(at *Attempt, cn *conn) {
			cn.attempt.Store(at)
			at.Seal()
		}, true, false},
		{"written before it is sealed", func(at *Attempt, cn *conn) {
			cn.attempt.Store(at)
			_, _ = cn.Write([]byte("a"))
		}, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			at, cn := NewAttempt(0), newConn(near, false)
			test.steps(at, cn)
			if at.Seal() != test.notRun {
				t.Errorf("not run is %v", !test.notRun)
			}
			if count, err := cn.Write([]byte("b")); (err == nil) != test.writes || (count > 0) != test.writes {
				t.Errorf("wrote %d bytes, error %v", count, err)
			}
		})
	}
}

// TestRequestHeader guards against headers of one connection being forwarded to the next, and against a caller that sets
// the fleet's own headers.
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
