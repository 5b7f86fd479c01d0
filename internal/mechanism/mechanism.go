package mechanism

// Name names a mechanism.
type Name string

// The mechanisms.
const (
	// Affinity sends requests with one prompt part to the same targets.
	Affinity Name = "Affinity"
	// Bound passes over targets with more than a multiple of the mean load.
	Bound Name = "Bound"
	// Margin passes some requests over below the bound while arrivals go over it.
	Margin Name = "Margin"
	// Spread divides popular parts between several targets.
	Spread Name = "Spread"
	// Residence keeps parts where they are in use when targets join.
	Residence Name = "Residence"
	// StrictAffinity keeps requests with costly parts near them on a crowded service.
	StrictAffinity Name = "Stay"
	// PeerCounts takes the requests of other hosts into account.
	PeerCounts Name = "Counts"
	// LocalPreference prefers plain targets of the own data centre.
	LocalPreference Name = "Near"
	// SlotLimit refuses what engines could only queue.
	SlotLimit Name = "Places"
	// Admission refuses what a service can't serve in time.
	Admission Name = "Admission"
	// DropPrecedence refuses teams over their share, and callers that come back early, first.
	DropPrecedence Name = "Standing"
	// RetryAfter tells refused callers when to come back by the share that is refused.
	RetryAfter Name = "Returns"
	// Ejection passes over targets that fail requests.
	Ejection Name = "Ejection"
	// Reachability closes targets and data centres that can't be reached.
	Reachability Name = "Reach"
	// RetryBudget bounds the retries of all hosts.
	RetryBudget Name = "RetryBudget"
	// AdaptiveTimeout waits for silent targets as long as is usual.
	AdaptiveTimeout Name = "Patience"
	// Relay has one host of a data centre read the store for the others.
	Relay Name = "Relay"
)

// Names returns all names.
func Names() []Name {
	return []Name{
		Affinity, Bound, Margin, Spread, Residence, StrictAffinity, PeerCounts, LocalPreference, SlotLimit, Admission, DropPrecedence, RetryAfter, Ejection, Reachability,
		RetryBudget, AdaptiveTimeout, Relay,
	}
}

// Set holds the mechanisms that are off; a nil one has all on.
type Set map[Name]bool

// Off reports whether the mechanism is off.
func (st Set) Off(name Name) bool { return st[name] }
