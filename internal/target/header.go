package target

import (
	"net/http"
	"strconv"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/hopbyhop"
)

// The headers that the fleet and its targets exchange.
const (
	// HeaderRequest carries the request id; an echo of it lets the fleet detect an answer to another request.
	HeaderRequest = "Chestnutroad-Request"
	// HeaderAttempt carries the number of the attempt.
	HeaderAttempt = "Chestnutroad-Attempt"
	// HeaderChat carries the chat id, by which an engine keys its prefix cache.
	HeaderChat = "Chestnutroad-Chat"
	// HeaderResumeAt carries the number of answer tokens that were already delivered; an engine that resumes echoes it.
	HeaderResumeAt = "Chestnutroad-Resume-At"
	// HeaderNotRun is "true" on a 503 answer from a target that did not start the request.
	HeaderNotRun = "Chestnutroad-Not-Run"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// requestHeader returns the header that is sent to the target: the forwardable part of the call's header and the fleet's own.
func requestHeader(call *chestnutroad.Call) http.Header {
	header := Forwardable(call.Header)
	header.Set(HeaderRequest, string(call.Request))
	header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	header.Del(HeaderResumeAt)
	if call.ResumeAt > 0 {
		header.Set(HeaderResumeAt, strconv.FormatInt(int64(call.ResumeAt), 10))
	}
	if header.Get("User-Agent") == "" {
		// A nil entry keeps net/http from sending its own User-Agent.
		header["User-Agent"] = nil
	}
	return header
}

// ResponseHeader returns the forwardable headers of a response, with its Content-Length when that is known.
func ResponseHeader(resp *http.Response) http.Header {
	header := Forwardable(resp.Header)
	if resp.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	return header
}

// Forwardable returns a copy of the header without hop-by-hop headers, Expect and Content-Length.
func Forwardable(from http.Header) http.Header {
	header := from.Clone()
	if header == nil {
		header = make(http.Header)
	}
	hopbyhop.Remove(header)
	// Bodies of requests are already buffered, so there is nothing to expect, and the length is set from the body.
	header.Del("Expect")
	header.Del("Content-Length")
	return header
}

// RefusalFrom returns the refusal of a target that did not start the request (503 with HeaderNotRun), or nil for any other
// answer.
func RefusalFrom(resp *http.Response) *chestnutroad.Refusal {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(HeaderNotRun) != "true" {
		return nil
	}
	refusal := chestnutroad.Refuse(chestnutroad.TargetRefused, "the target refused the request before it started")
	return refusal.WithRetryAfter(RetryAfter(resp.Header))
}

// statusEnd is the end of the five classes of HTTP statuses.
const statusEnd = 600

// ValidStatus reports whether a status has one of the five classes of HTTP; net/http takes any three digits for one.
func ValidStatus(status int) bool { return status >= http.StatusContinue && status < statusEnd }

// RetryAfter returns the delay of a Retry-After header, or zero when it is missing or not a number of seconds.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
