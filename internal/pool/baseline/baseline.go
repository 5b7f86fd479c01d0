package baseline

import (
	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// Scope says which requests one instance of a policy sees.
type Scope string

// The scopes.
const (
	// ScopeHost marks policies of which every entry host runs one for its own requests.
	ScopeHost Scope = "Host"
	// ScopeShard marks policies of which each shard has one for all its requests.
	ScopeShard Scope = "Shard"
	// ScopePool marks policies of which the pool has one for all its requests.
	ScopePool Scope = "Pool"
)

// Setup is what a constructor needs.
type Setup struct {
	Shard chestnutroad.ShardID
	// Seed makes random policies repeatable.
	Seed uint64
	// Options apply to the owner.
	Options []pool.Option
}

// Entry is one policy of the lookup table.
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

// Lookup returns the policy of that name.
func Lookup(name string) (Entry, bool) {
	for _, entry := range table {
		if entry.Name == name {
			return entry, true
		}
	}
	return Entry{}, false
}

func newOwner(setup Setup) pool.Policy { return pool.New(setup.Shard, setup.Options...) }
