package chestnutroad

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// CallMetadata is what a caller's headers say of its request.
type CallMetadata struct {
	ID  RequestID
	Key TeamKey
	// Budget is how long the caller waits; zero when it did not say.
	Budget time.Duration
	Model  string
	Prompt Tokens
	Output Tokens
	// Parts lists the prompt's parts in order; the last belongs to the request or its chat alone.
	Parts []PromptPart
	// LastEvent is the id of the last event that the caller already has of a stream.
	LastEvent string
}

// CallDirectives is what the system tells a target about a call.
type CallDirectives struct {
	Target TargetID
	Team   TeamID
	// Remaining is the time that is left for the call.
	Remaining time.Duration
	Rank      int
	HasRank   bool
	// ResumeAfter is the id of the last event that was delivered; empty for a stream from its start.
	ResumeAfter string
}

// AnswerMetadata is what a target's headers say of its answer.
type AnswerMetadata struct {
	// ID is the request that the answer belongs to.
	ID     RequestID
	Target TargetID
	// Receipt is true when the answer carries the target's proof that it ran the request.
	Receipt bool
	// NotRun is true when the target states that it did not run the request and never will.
	NotRun bool
	// WrongTarget is true when another target has the address.
	WrongTarget bool
	// Running and Waiting count the requests at the target when HasLoad is true.
	Running int
	Waiting int
	HasLoad bool
	// Leaving is true when the target states that it leaves.
	Leaving bool
	// RetryAfter is the time for which a target that turned the request away wants no requests from this host; zero when
	// it states none.
	RetryAfter time.Duration
}

// Wire translates between the headers of an installation and the product.
type Wire interface {
	ReadCall(header http.Header) CallMetadata
	WriteCall(header http.Header, orders *CallDirectives)
	ReadAnswer(status int, header http.Header) AnswerMetadata
	WriteRetryAfter(header http.Header, wait time.Duration)
	// ReadyPath is where the balancer asks whether a host is ready.
	ReadyPath() string
}
