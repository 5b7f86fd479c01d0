package replay

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Result holds the measurements of one policy on one trace.
type Result struct {
	Policy string
	Site   chestnutroad.SiteID
	// TraceSeed is the seed of the trace and Seed that of the replay.
	TraceSeed uint64
	Seed      uint64
	Requests  int
	Answered  int
	Refusals  []RefusalCount
	Reuse     ReuseResult
	Pools     []PoolResult
	Control   ControlResult
	Orders    OrderResult
	// Waits is the time from a request's arrival until a target starts it, by priority.
	Waits []WaitResult
	// FirstTokenMs is the time from a request's arrival to its first token, TokenGapMs that between two tokens, both at the
	// entry host.
	FirstTokenMs Percentile
	TokenGapMs   Percentile
	Moves        int
	Redirects    int
	Takeovers    int
	// Reentries counts how often the entry host of a call failed, so that its caller had to connect to another one.
	Reentries     int
	PrefillTokens chestnutroad.Tokens
}

// RefusalCount is the number of requests whose final answer was an error of one kind.
type RefusalCount struct {
	Kind  chestnutroad.Kind
	Count int
}

// ReuseResult compares the prompt tokens found in caches with those that earlier turns of the chats had processed.
type ReuseResult struct {
	Reused   chestnutroad.Tokens
	Possible chestnutroad.Tokens
	Fraction float64
}

// PoolResult describes how evenly the load, in work units at the targets, is spread over a pool.
type PoolResult struct {
	Service chestnutroad.ServiceID
	// HighestOverMean is the highest ratio of a target's load to the mean, for targets above LoadFloor.
	HighestOverMean float64
	// HighestOverMeanAnyLoad also includes targets at or below LoadFloor.
	HighestOverMeanAnyLoad float64
	// MeanOfHighest is the average over time of the highest ratio, while any target is above LoadFloor.
	MeanOfHighest float64
	AtAdmission   BreachResult
	ByDeparture   BreachResult
	// Examples holds the first breaches at an admission.
	Examples []BreachExample
}

// BreachResult counts the breaches: periods in which a target's load exceeds both LoadFloor and Multiple times the mean.
type BreachResult struct {
	Count     int
	TotalMs   float64
	LongestMs float64
}

// BreachExample describes the start of a breach; AtMs is the time in the trace.
type BreachExample struct {
	AtMs      float64
	Target    chestnutroad.TargetID
	Load      chestnutroad.WorkUnits
	Mean      float64
	Admission bool
}

// ControlResult is the control traffic, with headers and membership, that hosts send in bytes per second.
type ControlResult struct {
	// Mean is the mean over the uptime of all hosts, Highest that over the uptime of the busiest host.
	Mean    float64
	Highest float64
	// HighestSecond is the number of bytes in the busiest second of any host.
	HighestSecond int64
	// Membership is the constant part for membership, which is not simulated but comes from a test of internal/member.
	Membership int
	// StateBytes is the total number of bytes that transferred the state of shards between owners.
	StateBytes int64
}

// OrderResult counts orders, which must run at most once, and their faults.
type OrderResult struct {
	Keys int
	// RunTwice counts keys whose order targets started more than once.
	RunTwice int
	// Lost counts requests of any kind without a final answer, and orders answered with success that never ran.
	Lost int
	// FalseNotRun counts refusals that claim that an order did not run although a target had started it since the caller
	// last connected.
	FalseNotRun int
	// Repeats counts requests with the key of an earlier request.
	Repeats int
}

// WaitResult holds quantiles in milliseconds of the wait of one priority.
type WaitResult struct {
	Priority string
	Count    int64
	P50Ms    float64
	P95Ms    float64
	P99Ms    float64
}

// Percentile is the 95th percentile of Count times, in milliseconds.
type Percentile struct {
	Count int64
	P95   float64
}

func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// rounded rounds to four decimal places.
func rounded(value float64) float64 { return math.Round(value*1e4) / 1e4 }

// quotient returns part divided by whole, or zero if whole is zero.
func quotient(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
