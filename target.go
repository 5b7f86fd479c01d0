package chestnutroad

import (
	"context"
	"net/http"
	"time"
)

// Call is one attempt to have a target run a request.
type Call struct {
	Request RequestID
	Attempt int
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	Repeat  Repeat
	// ResumeAt is the number of answer tokens that the caller already has; only engines honour it.
	ResumeAt Tokens
}

// Answer receives a target's answer piece by piece; a returned error cancels the call.
type Answer interface {
	// Head is called once, before any chunk.
	Head(status int, header http.Header) error
	// Chunk is called for each piece of the body; for a streamed chat each chunk is one server-sent event with its framing.
	// The data is valid during the call only.
	Chunk(data []byte, tokens Tokens) error
}

// Target runs calls on one engine or plain service instance.
type Target interface {
	// Do runs the call to its end; a returned Refusal says whether it is certain that nothing ran.
	Do(ctx context.Context, call *Call, answer Answer) error
}

// LoadReport is what an engine says of itself; it arrives late.
type LoadReport struct {
	Target      TargetID
	Incarnation Incarnation
	// Taken is when the engine measured, by the engine's clock.
	Taken   time.Time
	Running int
	Work    WorkUnits
}

// CacheEvent says that an engine added or evicted a chat's context; events come late and with gaps.
type CacheEvent struct {
	Target      TargetID
	Incarnation Incarnation
	Sequence    uint64
	Chat        ChatID
	// Cached is the number of prompt tokens now cached for the chat; zero means evicted.
	Cached Tokens
}

// EngineOrder asks an engine to change what it serves.
type EngineOrder struct {
	Number  FencingNumber
	Load    string
	Adapter string
	Role    string
}
