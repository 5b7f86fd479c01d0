package placement

import (
	"cmp"
	"slices"
	"time"
)

// Policy names a way to choose among the sound targets of a service.
type Policy string

// The policies; all but Bounded are baselines that show what its decisions are worth.
const (
	// Bounded keeps requests with one prompt part together within the load bound, and plain ones near.
	Bounded Policy = "Bounded"
	// LeastLoaded takes the target with the fewest requests, wherever prompt parts were read.
	LeastLoaded Policy = "LeastLoaded"
	// ConsistentHash takes the first target in the order of the part's hash, whatever its load.
	ConsistentHash Policy = "ConsistentHash"
	// Random takes any target.
	Random Policy = "Random"
)

// chooser takes one of the targets, of which there is at least one.
type chooser func(now time.Time, targets []*target, ask *Request) *target

// baselines hold the policies that take neither bound nor data centre into account.
var baselines = map[Policy]chooser{
	LeastLoaded:    leastLoaded,
	ConsistentHash: consistentHash,
	Random:         randomTarget,
}

// Policies returns the names of all policies, the default first.
func Policies() []Policy { return []Policy{Bounded, LeastLoaded, ConsistentHash, Random} }

// WithPolicy sets how a target is chosen; the default is Bounded.
func WithPolicy(policy Policy) Option { return func(pl *Pool) { pl.policy = policy } }

func leastLoaded(now time.Time, targets []*target, ask *Request) *target {
	return slices.MinFunc(targets, func(one, two *target) int {
		return cmp.Or(
			cmp.Compare(one.load(now), two.load(now)),
			cmp.Compare(hashFraction(ask.ID, one.entry.ID), hashFraction(ask.ID, two.entry.ID)),
		)
	})
}

// consistentHash hashes a request without a shared part by its id, which spreads plain requests.
func consistentHash(_ time.Time, targets []*target, ask *Request) *target {
	key := partHash(cmp.Or(ask.Affinity, string(ask.ID)))
	return slices.MaxFunc(targets, func(one, two *target) int { return cmp.Compare(rendezvousWeight(one, key), rendezvousWeight(two, key)) })
}

func randomTarget(_ time.Time, targets []*target, ask *Request) *target {
	return targets[int(hashFraction(ask.ID, "")*float64(len(targets)))]
}
