package baseline

import (
	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// Scope is the set of requests that one instance of a policy sees.
type Scope string

// The scopes.
const (
	// ScopeHost means one instance on each entry host, for the host's own requests.
	ScopeHost Scope = "Host"
	// ScopeShard means one instance for each shard, for all its requests.
	ScopeShard Scope = "Shard"
	// ScopePool means one instance for the pool, for all its requests.
	ScopePool Scope = "Pool"
)

// Setup holds the arguments of a policy's constructor.
type Setup struct {
	Shard chestnutroad.ShardID
	// Seed makes random policies reproducible.
	Seed uint64
	// Options are used by the owner only.
	Options []pool.Option
}

// Entry describes one policy; Name is its name in settings and flags.
type Entry struct {
	Name  string
	Help  string
	Scope Scope
	New   func(Setup) pool.Policy
}

var table = []Entry{
	{"Owner", "the shard owner: load bound, placement table, queues and shares", ScopeShard, newOwner},
	{"Random", "a target at random", ScopeHost, newRandom},
	{"RoundRobin", "the targets in turn", ScopeHost, newRoundRobin},
	{"LeastLoaded", "the target with the least load by its last report", ScopeHost, newLeastLoaded},
	{"ConsistentHash", "the first target in rendezvous order for the chat, whatever its load", ScopeHost, newConsistentHash},
	{"SingleRouter", "one router that sees all requests at once and knows every placement", ScopePool, newSingleRouter},
}

// Table returns the policies in the order of the help text.
func Table() []Entry { return append([]Entry(nil), table...) }

// Lookup returns the policy with the given name.
func Lookup(name string) (Entry, bool) {
	for _, entry := range table {
		if entry.Name == name {
			return entry, true
		}
	}
	return Entry{}, false
}

func newOwner(setup Setup) pool.Policy { return pool.New(setup.Shard, setup.Options...) }
