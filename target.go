package chestnutroad

import (
	"context"
	"net/http"
	"time"
)

// Call is one attempt to run a request on a target.
type Call struct {
	Request RequestID
	Attempt int
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	Repeat  Repeat
	// ResumeAt is the number of answer tokens that the caller has received; only engines support it.
	ResumeAt Tokens
}

// Answer receives a target's answer as a stream; an error from a method cancels the call.
type Answer interface {
	// Head is called once with the status and headers, before any chunk.
	Head(status int, header http.Header) error
	// Chunk is called for each part of the body; for a streamed chat each chunk is one server-sent event with its framing.
	// The data is valid only until Chunk returns.
	Chunk(data []byte, tokens Tokens) error
}

// Target runs calls on an engine or an instance of a plain service.
type Target interface {
	// Do runs the call to its end; the NotRun field of a returned Refusal tells whether it is certain that the target did not
	// run it.
	Do(ctx context.Context, call *Call, answer Answer) error
}

// LoadReport is an engine's report of its load; it arrives with a delay.
type LoadReport struct {
	Target      TargetID
	Incarnation Incarnation
	// Taken is the time of the measurement by the engine's clock.
	Taken   time.Time
	Running int
	Work    WorkUnits
}

// CacheEvent reports that an engine cached or evicted a chat's context; events arrive with a delay, and some are lost.
type CacheEvent struct {
	Target      TargetID
	Incarnation Incarnation
	Sequence    uint64
	Chat        ChatID
	// Cached is the number of prompt tokens that are now cached for the chat; zero means that it was evicted.
	Cached Tokens
}

// EngineOrder instructs an engine to change what it serves; Number is the fencing token of the controller that sends it.
type EngineOrder struct {
	Number  FencingNumber
	Load    string
	Adapter string
	Role    string
}
