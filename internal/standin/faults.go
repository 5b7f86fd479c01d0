package standin

import (
	"sync"
	"time"
)

// Duration is a time span that JSON states as text such as "150ms".
type Duration time.Duration

// MarshalText returns the duration as text.
func (du Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(du).String()), nil }

// UnmarshalText parses text such as "150ms".
func (du *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*du = Duration(parsed)
	return err
}

// Faults says how a stand-in misbehaves. A counter applies to that many requests; a negative one applies to all.
type Faults struct {
	// Slow delays every answer.
	Slow Duration
	// SlowTokens is added to the time of each token of an engine.
	SlowTokens Duration
	// Down resets connections before an answer; the admin paths still work.
	Down bool
	// Unavailable answers every request with 503 without saying whether it ran.
	Unavailable bool
	// RefuseNotRun counts requests to refuse with 503 and the header that says that nothing ran.
	RefuseNotRun int
	// LoseAnswers counts writes (log appends, orders, bookings) that take effect and lose their answer.
	LoseAnswers int
	// Garbage counts requests to answer with bytes that make no sense.
	Garbage int
	// Misrouted counts chats to answer with the header of another request.
	Misrouted int
	// CutStreams counts streams to cut off after CutAfter tokens.
	CutStreams int
	CutAfter   int
	// CutCleanly ends a cut stream without its last event instead of resetting it.
	CutCleanly bool
	// Lag is the age of load reports and of the host list.
	Lag Duration
	// EventDelay holds back cache events; of each EventGap events one is never shown.
	EventDelay Duration
	EventGap   int
	// IgnoreFencing makes an engine accept orders with an old fencing number.
	IgnoreFencing bool
	// IgnoreResume makes an engine start a resumed stream at its first token.
	IgnoreResume bool
}

// FaultInjector holds the faults in force.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// NewFaultInjector returns switches with these faults.
func NewFaultInjector(faults Faults) *FaultInjector { return &FaultInjector{faults: faults} }

// Get returns the faults in force.
func (sw *FaultInjector) Get() Faults {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.faults
}

// Set replaces the faults.
func (sw *FaultInjector) Set(faults Faults) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.faults = faults
}

// Change changes the faults in one step.
func (sw *FaultInjector) Change(change func(*Faults)) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	change(&sw.faults)
}

// Take reports whether the fault that the counter stands for applies to this request, and counts it.
func (sw *FaultInjector) Take(counter func(*Faults) *int) bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	left := counter(&sw.faults)
	if *left > 0 {
		*left--
		return true
	}
	return *left < 0
}

// TakeLostAnswer reports whether this write's answer is lost.
func (sw *FaultInjector) TakeLostAnswer() bool {
	return sw.Take(func(faults *Faults) *int { return &faults.LoseAnswers })
}

// TakeRefusal reports whether this request is refused as not run.
func (sw *FaultInjector) TakeRefusal() bool {
	return sw.Take(func(faults *Faults) *int { return &faults.RefuseNotRun })
}

// TakeGarbage reports whether this request is answered with garbage.
func (sw *FaultInjector) TakeGarbage() bool {
	return sw.Take(func(faults *Faults) *int { return &faults.Garbage })
}

// TakeMisrouted reports whether this request gets the header of another one.
func (sw *FaultInjector) TakeMisrouted() bool {
	return sw.Take(func(faults *Faults) *int { return &faults.Misrouted })
}

// TakeCut reports whether this stream is cut off.
func (sw *FaultInjector) TakeCut() bool {
	return sw.Take(func(faults *Faults) *int { return &faults.CutStreams })
}
