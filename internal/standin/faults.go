package standin

import (
	"sync"
	"time"
)

// Duration is a time.Duration that is written to JSON as text, such as "150ms".
type Duration time.Duration

// MarshalText returns text such as "150ms".
func (du Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(du).String()), nil }

// UnmarshalText parses text such as "150ms".
func (du *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*du = Duration(parsed)
	return err
}

// Faults are the faults that a stand-in injects. A fault with a counter applies to that many requests, or to all if the counter
// is negative.
type Faults struct {
	// Slow is the delay before each answer.
	Slow Duration
	// SlowTokens is added to the time in which an engine generates a token.
	SlowTokens Duration
	// Down resets connections instead of answering; the admin paths still work.
	Down bool
	// Unavailable answers each request with 503 and without the header which says that the request did not run.
	Unavailable bool
	// RefuseNotRun counts requests that don't run and are refused with 503 and the header which says so.
	RefuseNotRun int
	// LoseAnswers counts writes (log appends, orders, bookings) that take effect and whose answer is not sent.
	LoseAnswers int
	// Garbage counts requests to answer with bytes that are not HTTP or, over HTTP/2, not JSON.
	Garbage int
	// Misrouted counts chats to answer with the request id of another request.
	Misrouted int
	// CutStreams counts streams to break off after CutAfter tokens.
	CutStreams int
	CutAfter   int
	// CutCleanly ends a broken-off stream like a complete one, but without its remaining events, instead of resetting it.
	CutCleanly bool
	// Lag is the age of the load reports and host lists that are served.
	Lag Duration
	// EventDelay is the age from which on cache events are served. If EventGap is positive, one in EventGap events is never served.
	EventDelay Duration
	EventGap   int
	// IgnoreFencing makes an engine accept engine orders with an outdated fencing number.
	IgnoreFencing bool
	// IgnoreResume makes an engine start a resumed stream at the first token.
	IgnoreResume bool
}

// FaultInjector holds the active faults. It is safe for concurrent use.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// NewFaultInjector returns an injector with the given faults active.
func NewFaultInjector(faults Faults) *FaultInjector { return &FaultInjector{faults: faults} }

// Get returns the active faults.
func (fi *FaultInjector) Get() Faults {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.faults
}

// Set replaces the active faults.
func (fi *FaultInjector) Set(faults Faults) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.faults = faults
}

// Change modifies the active faults atomically.
func (fi *FaultInjector) Change(change func(*Faults)) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	change(&fi.faults)
}

// Take reports whether the fault with the counter applies to the current request, and decrements a positive counter.
func (fi *FaultInjector) Take(counter func(*Faults) *int) bool {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	remaining := counter(&fi.faults)
	if *remaining > 0 {
		*remaining--
		return true
	}
	return *remaining < 0
}

// TakeLostAnswer reports whether the answer to the current write is lost, and counts it.
func (fi *FaultInjector) TakeLostAnswer() bool {
	return fi.Take(func(faults *Faults) *int { return &faults.LoseAnswers })
}

// TakeRefusal reports whether the current request is refused before it runs, and counts it.
func (fi *FaultInjector) TakeRefusal() bool {
	return fi.Take(func(faults *Faults) *int { return &faults.RefuseNotRun })
}

// TakeGarbage reports whether the current request is answered with garbage, and counts it.
func (fi *FaultInjector) TakeGarbage() bool {
	return fi.Take(func(faults *Faults) *int { return &faults.Garbage })
}

// TakeMisrouted reports whether the answer to the current request carries another request id, and counts it.
func (fi *FaultInjector) TakeMisrouted() bool {
	return fi.Take(func(faults *Faults) *int { return &faults.Misrouted })
}

// TakeCut reports whether the current stream is broken off, and counts it.
func (fi *FaultInjector) TakeCut() bool {
	return fi.Take(func(faults *Faults) *int { return &faults.CutStreams })
}
