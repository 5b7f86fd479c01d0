package placement

import (
	"cmp"
	"slices"
	"time"
)

// Policy is a named strategy for selecting one of the healthy targets of a service.
type Policy string

// The policies; all but Bounded are baselines to compare it with.
const (
	// Bounded keeps requests with the same prompt part together within the load bound, and plain requests in their data
	// centre.
	Bounded Policy = "Bounded"
	// LeastLoaded takes the target with the fewest requests, whatever it has cached.
	LeastLoaded Policy = "LeastLoaded"
	// ConsistentHash takes the target with the highest rendezvous weight for the prompt part, whatever its load.
	ConsistentHash Policy = "ConsistentHash"
	// Random takes any target with equal probability.
	Random Policy = "Random"
)

// chooser selects one of the targets, which must not be empty.
type chooser func(now time.Time, targets []*target, req *Request) *target

// baselines holds the policies that ignore the load bound and data centres.
var baselines = map[Policy]chooser{
	LeastLoaded:    leastLoaded,
	ConsistentHash: consistentHash,
	Random:         randomTarget,
}

// Policies returns all policies, the default first.
func Policies() []Policy { return []Policy{Bounded, LeastLoaded, ConsistentHash, Random} }

// WithPolicy sets the policy; the default is Bounded.
func WithPolicy(policy Policy) Option { return func(pl *Pool) { pl.policy = policy } }

// leastLoaded breaks ties by hash.
func leastLoaded(now time.Time, targets []*target, req *Request) *target {
	return slices.MinFunc(targets, func(a, b *target) int {
		return cmp.Or(
			cmp.Compare(a.load(now), b.load(now)),
			cmp.Compare(hashFraction(req.ID, a.entry.ID), hashFraction(req.ID, b.entry.ID)),
		)
	})
}

// consistentHash hashes a request without a shared part by its id, which spreads plain requests evenly.
func consistentHash(_ time.Time, targets []*target, req *Request) *target {
	key := partHash(cmp.Or(req.Affinity, string(req.ID)))
	return slices.MaxFunc(targets, func(a, b *target) int {
		return cmp.Compare(rendezvousWeight(a, key), rendezvousWeight(b, key))
	})
}

func randomTarget(_ time.Time, targets []*target, req *Request) *target {
	return targets[int(hashFraction(req.ID, "")*float64(len(targets)))]
}
