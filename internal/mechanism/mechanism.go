package mechanism

// Name is the name of a mechanism in the settings.
type Name string

// The mechanisms. The names of some constants differ from their values, which are fixed by the settings.
const (
	// Affinity sends requests with the same prompt part to the same targets.
	Affinity Name = "Affinity"
	// Bound passes over targets whose load exceeds a multiple of the mean load.
	Bound Name = "Bound"
	// Margin makes some requests pass over targets that are just below the bound while arrivals exceed it.
	Margin Name = "Margin"
	// Spread divides the requests with a popular prompt part among several targets.
	Spread Name = "Spread"
	// Residence keeps prompt parts at the targets at which they are in use when targets join.
	Residence Name = "Residence"
	// StrictAffinity keeps requests with costly prompt parts at the preferred targets while most slots of a service are taken.
	StrictAffinity Name = "Stay"
	// PeerCounts adds the requests that other hosts report to the load of targets.
	PeerCounts Name = "Counts"
	// LocalPreference prefers targets of the host's own data centre for requests without a prompt part.
	LocalPreference Name = "Near"
	// SlotLimit refuses requests that engines could only queue.
	SlotLimit Name = "Places"
	// Admission refuses requests that a service can't answer in time.
	Admission Name = "Admission"
	// DropPrecedence refuses the requests of teams over their share and early retries first.
	DropPrecedence Name = "Standing"
	// RetryAfter sets the retry delay of refused callers by the share of requests that is refused.
	RetryAfter Name = "Returns"
	// Work makes admission compare demand and capacity by the engine time of requests instead of their number.
	Work Name = "Work"
	// Ranks refuses requests of less urgent ranks while answers of more urgent ones are late, before the slots are full.
	Ranks Name = "Ranks"
	// Ejection passes over targets with many failed requests.
	Ejection Name = "Ejection"
	// Reachability stops sending to targets and data centres that can't be reached.
	Reachability Name = "Reach"
	// Quarantine refuses requests that are, or have prompt parts that are, suspected of crashing targets.
	Quarantine Name = "Quarantine"
	// Evacuation sends no requests to targets of evacuated data centres.
	Evacuation Name = "Evacuation"
	// TargetLimits sends targets no more requests a second than they state that they take.
	TargetLimits Name = "Limits"
	// Pace passes over targets that state that their work takes several times as long as usual, where another is as good.
	Pace Name = "Pace"
	// KVFetch names, for requests at a target that lacks their prompt part, another one from which it can fetch the KV cache.
	KVFetch Name = "KVFetch"
	// ColdStart limits the requests a second to targets that have just started.
	ColdStart Name = "ColdStart"
	// Locality decides by load and costs which requests go to targets of other data centres.
	Locality Name = "Locality"
	// RetryBudget limits the retries of all hosts.
	RetryBudget Name = "RetryBudget"
	// AdaptiveTimeout waits for silent targets for as long as recent waits suggest.
	AdaptiveTimeout Name = "Patience"
	// Relay lets one host of a data centre read the store for the others.
	Relay Name = "Relay"
)

// Names returns the names of all mechanisms.
func Names() []Name {
	return []Name{
		Affinity, Bound, Margin, Spread, Residence, StrictAffinity, PeerCounts, LocalPreference, SlotLimit, Admission,
		DropPrecedence, RetryAfter, Work, Ranks, Ejection, Reachability, Quarantine, Evacuation, TargetLimits, ColdStart, Pace,
		KVFetch, Locality, RetryBudget, AdaptiveTimeout, Relay,
	}
}

// Set holds the mechanisms that are disabled; in a nil set none is.
type Set map[Name]bool

// Off reports whether the mechanism is disabled.
func (st Set) Off(name Name) bool { return st[name] }
