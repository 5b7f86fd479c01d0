package chestnutroad

import (
	"net/http"
	"net/netip"
	"time"
)

// PromptPart identifies a part of a prompt, which several requests may share, and its length.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// CallMetadata holds the fields that Wire reads from the headers of a caller's request.
type CallMetadata struct {
	ID  RequestID
	Key TeamKey
	// Budget is how long the caller waits for the answer; zero when the headers state no time.
	Budget time.Duration
	Model  string
	// Prompt and Output are the numbers of tokens that the caller states for the prompt and the answer; zero when unknown.
	Prompt Tokens
	Output Tokens
	// Parts lists the prompt's parts in order; the last one is used only by this request or only by its chat.
	Parts []PromptPart
	// LastEvent is the id of the last event of a stream that the caller has received.
	LastEvent string
	// Resumes is the attempt of the caller that brought the first event of a resumed stream.
	Resumes RequestID
}

// CallDirectives holds the fields that Wire writes to the headers of a request to a target.
type CallDirectives struct {
	Target TargetID
	Team   TeamID
	// Remaining is the time left until the deadline of the call.
	Remaining time.Duration
	Rank      int
	HasRank   bool
	// FetchFrom is the address of the engine from which the target should fetch the KV cache of the prompt; invalid for none.
	FetchFrom netip.AddrPort
	// ResumeAfter is the id of the last event that was delivered; empty for a stream that begins at its start.
	ResumeAfter string
}

// AnswerMetadata holds the fields that Wire reads from the status and headers of a target's answer.
type AnswerMetadata struct {
	// ID identifies the request that the answer belongs to.
	ID     RequestID
	Target TargetID
	// Receipt is true when the answer carries the signature with which the target proves that it ran the request.
	Receipt bool
	// NotRun is true when the target guarantees that it has not run the request and never will.
	NotRun bool
	// Contradictory is true when the answer states both that the target has not run the request and that it has.
	Contradictory bool
	// WrongTarget is true when the address belongs to another target than the one called.
	WrongTarget bool
	// Running and Waiting are the numbers of requests at the target; they are valid when HasLoad is true.
	Running int
	Waiting int
	HasLoad bool
	// InvalidLoad is true when the answer states a load that can't be read.
	InvalidLoad bool
	// Pace is how long work takes at the target at this moment, as a multiple of the usual time; zero when the answer states none.
	Pace float64
	// InvalidPace is true when the answer states a pace that is no positive number; its load may still be valid.
	InvalidPace bool
	// Leaving is true when the target announces that it is leaving.
	Leaving bool
	// RetryAfter is the time for which a target that refused the request wants no more requests from this host; zero when
	// the headers state no time.
	RetryAfter time.Duration
	// Limit is the number of requests a second that the target takes from all hosts together; zero when the answer states none.
	Limit RequestRate
	// InvalidLimit is true when the answer states a limit that is no positive number.
	InvalidLimit bool
	// ColdRemaining is the time for which the target is still cold; HasCold is true when the answer states it, InvalidCold when it
	// states one that is negative, implausibly long or no number.
	ColdRemaining        time.Duration
	HasCold, InvalidCold bool
}

// Wire reads and writes the HTTP headers by which a platform's callers, hosts and targets exchange metadata.
type Wire interface {
	// ReadCall parses the headers of a caller's request.
	ReadCall(header http.Header) CallMetadata
	// WriteCall turns a copy of the caller's headers into those of the request to a target.
	WriteCall(header http.Header, directives *CallDirectives)
	// ReadAnswer parses the status and headers of a target's answer.
	ReadAnswer(status int, header http.Header) AnswerMetadata
	// WriteRetryAfter sets the time after which a refused caller may retry.
	WriteRetryAfter(header http.Header, wait time.Duration)
	// ReadyPath returns the path at which the load balancer checks whether a host is ready.
	ReadyPath() string
}
