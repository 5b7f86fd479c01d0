package replay

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Result is what one policy made of a trace.
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
	// Waits is the time from arrival until a target begins, by priority.
	Waits         []WaitResult
	FirstTokenMs  Percentile
	TokenGapMs    Percentile
	Moves         int
	Redirects     int
	Takeovers     int
	Reentries     int
	PrefillTokens chestnutroad.Tokens
}

// RefusalCount counts the final answers of one error kind.
type RefusalCount struct {
	Kind  chestnutroad.Kind
	Count int
}

// ReuseResult compares the tokens found in caches with those that earlier turns of the chats had produced.
type ReuseResult struct {
	Reused   chestnutroad.Tokens
	Possible chestnutroad.Tokens
	Fraction float64
}

// PoolResult describes the load of one pool's targets, in work units at the targets.
type PoolResult struct {
	Service chestnutroad.ServiceID
	// HighestOverMean is the highest load over the mean of a target above LoadFloor.
	HighestOverMean float64
	// HighestOverMeanAnyLoad includes targets below LoadFloor.
	HighestOverMeanAnyLoad float64
	// MeanOfHighest is the average over time of the highest load over the mean, while any target is above LoadFloor.
	MeanOfHighest float64
	AtAdmission   BreachResult
	ByDeparture   BreachResult
	// Examples has the first breaches at an admission.
	Examples []BreachExample
}

// BreachResult counts times in which a target was above both Multiple times the mean and LoadFloor.
type BreachResult struct {
	Count     int
	TotalMs   float64
	LongestMs float64
}

// BreachExample is the start of one breach.
type BreachExample struct {
	AtMs      float64
	Target    chestnutroad.TargetID
	Load      chestnutroad.WorkUnits
	Mean      float64
	Admission bool
}

// ControlResult is the control traffic in bytes that a host sends in a second, with headers and membership.
type ControlResult struct {
	// Mean is the mean over all hosts and their lifetimes, Highest that of the busiest host.
	Mean    float64
	Highest float64
	// HighestSecond is the busiest second of any host.
	HighestSecond int64
	// Membership is the part that is a constant, from a benchmark of internal/member.
	Membership int
	// StateBytes is the part of all traffic that moved shards' states between owners.
	StateBytes int64
}

// OrderResult counts calls that must run at most once.
type OrderResult struct {
	Keys int
	// RunTwice counts keys that targets began more than once.
	RunTwice int
	// Lost counts calls of all kinds without a final answer, and orders answered as done that never ran.
	Lost int
	// FalseNotRun counts calls refused as not run although a target had begun with them.
	FalseNotRun int
	// Repeats counts calls with a key that an earlier call had.
	Repeats int
}

// WaitResult is the wait of one priority in milliseconds.
type WaitResult struct {
	Priority string
	Count    int64
	P50Ms    float64
	P95Ms    float64
	P99Ms    float64
}

// Percentile is the 95th percentile of a time.
type Percentile struct {
	Count int64
	P95   float64
}

func milliseconds(length time.Duration) float64 { return float64(length.Microseconds()) / 1000 }

func rounded(value float64) float64 { return math.Round(value*1e4) / 1e4 }

func quotient(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
