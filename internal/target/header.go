package target

import (
	"net/http"
	"strconv"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/hopbyhop"
)

// The headers between the fleet and its targets.
const (
	// HeaderRequest carries the request id; a target that echoes it lets the fleet detect an answer to another request.
	HeaderRequest = "Chestnutroad-Request"
	// HeaderAttempt carries the number of the attempt.
	HeaderAttempt = "Chestnutroad-Attempt"
	// HeaderChat carries the chat id, by which an engine keys its prefix cache.
	HeaderChat = "Chestnutroad-Chat"
	// HeaderResumeAt carries the number of answer tokens already delivered; an engine that resumes echoes it.
	HeaderResumeAt = "Chestnutroad-Resume-At"
	// HeaderNotRun is "true" on a 503 answer of a target that did not start the request.
	HeaderNotRun = "Chestnutroad-Not-Run"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// requestHeader returns the call's header as it is sent to the target.
func requestHeader(call *chestnutroad.Call) http.Header {
	header := Forwardable(call.Header)
	header.Set(HeaderRequest, string(call.Request))
	header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	header.Del(HeaderResumeAt)
	if call.ResumeAt > 0 {
		header.Set(HeaderResumeAt, strconv.FormatInt(int64(call.ResumeAt), 10))
	}
	if header.Get("User-Agent") == "" {
		header["User-Agent"] = nil
	}
	return header
}

// ResponseHeader removes the headers that concern only the connection to the target.
func ResponseHeader(resp *http.Response) http.Header {
	header := Forwardable(resp.Header)
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	return header
}

// Forwardable returns a copy of the header without what concerns one connection only.
func Forwardable(from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = make(http.Header)
	}
	hopbyhop.Remove(header)
	// The body is already at hand, and its length is set from it.
	header.Del("Expect")
	header.Del("Content-Length")
	return header
}

// RefusalFrom returns the refusal that the target's answer states, or nil when the answer is not a refusal before start.
func RefusalFrom(resp *http.Response) *chestnutroad.Refusal {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(HeaderNotRun) != "true" {
		return nil
	}
	refusal := chestnutroad.Refuse(chestnutroad.TargetRefused, "the target refused the request before it started")
	return refusal.After(RetryAfter(resp.Header))
}

// RetryAfter returns the wait that a Retry-After header in seconds asks for, or zero.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
