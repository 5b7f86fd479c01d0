package host

import (
	"net/http"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// TestForwardedRequest guards against a field that is lost on the way to the owner, and against a deadline that shifts
// because the hosts' clocks differ.
func TestForwardedRequest(t *testing.T) {
	const timeout = 3 * time.Second
	request := &chestnutroad.Request{
		ID: "r1", Team: "desk", Service: "orders", Chat: 7, Priority: chestnutroad.PriorityLookup,
		Repeat: chestnutroad.RepeatNever, Key: "k", Prompt: 11, MaxOutput: 12, Deadline: time.Now().Add(timeout),
	}
	call := &chestnutroad.Call{
		Request: "r1", Attempt: 2, Method: http.MethodPost, Path: "/orders?x=1", Header: http.Header{"Accept": {"a", "b"}},
		Body: []byte("body"), Repeat: chestnutroad.RepeatNever, ResumeAt: 5,
	}
	head := newRequestHead(chestnutroad.ShardID{DataCentre: "konin"}, request, call, 1)
	got := requestFromHead(head)
	if left := time.Until(got.Deadline); left > timeout || left < timeout-time.Second {
		t.Errorf("the owner has %v until the deadline, want about %v", left, timeout)
	}
	got.Deadline, got.Arrived = request.Deadline, request.Arrived
	if *got != *request {
		t.Errorf("got %+v, want %+v", got, request)
	}
	gotCall := callFromHead(head, call.Body)
	if len(gotCall.Header["Accept"]) != 2 || gotCall.Path != call.Path || gotCall.ResumeAt != 5 || gotCall.Attempt != 2 {
		t.Errorf("got %+v, want %+v", gotCall, call)
	}
	if !head.GetStreamed() || head.GetDataCentre() != "konin" || head.GetRedirects() != 1 {
		t.Errorf("wrong streamed flag, data centre or redirects in head %+v", head)
	}
}
