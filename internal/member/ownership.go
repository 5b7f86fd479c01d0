package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// startGrace keeps a host that has just started, and has found no other host yet, from taking over all shards.
	startGrace = 3 * time.Second
	// takeoverDelay is how long a new owner waits for a live owner to hand over the shard before it takes over anyway.
	takeoverDelay = 6 * time.Second
)

// DecisionType is the type of a Decision.
type DecisionType int

// The types of decisions.
const (
	// Keep means that the host continues to own the shard.
	Keep DecisionType = iota + 1
	// TakeOver means that the host owns the shard from now on, at the new Epoch.
	TakeOver
	// StepDown means that the host stops admitting work for the shard at once.
	StepDown
)

// Decision is the action that a host takes for a shard.
type Decision struct {
	Type  DecisionType
	Shard chestnutroad.ShardID
	// Epoch is the host's own epoch of the shard; on StepDown it is the epoch that ends.
	Epoch chestnutroad.Epoch
	// Former is the host to fetch the state from on TakeOver. It is empty if the shard had no owner, or this host was the
	// last one.
	Former chestnutroad.HostID
	// FormerReachable is true on TakeOver if membership does not consider the former owner dead.
	FormerReachable bool
	// Successor is the host to hand the state to on StepDown.
	Successor chestnutroad.HostID
}

// Ownership decides which shards a host owns and tracks the epochs of all shards. It is not safe for concurrent use.
type Ownership struct {
	self       chestnutroad.HostID
	neighbours map[chestnutroad.DataCentreID][]chestnutroad.DataCentreID
	grace      time.Duration
	delay      time.Duration
	started    time.Time
	shards     map[chestnutroad.ShardID]*shardState
}

// shardState is what a host stores about a shard.
type shardState struct {
	// highest is the highest observed epoch. own is the host's own epoch, or zero when it does not own the shard.
	highest, own chestnutroad.Epoch
	// rankedFirstSince is since when this host has ranked first and waited for another live host to hand over, or zero.
	rankedFirstSince time.Time
	// handedOver is true when this host need not wait for the owner at the highest epoch.
	handedOver bool
}

// OwnershipOption configures an Ownership.
type OwnershipOption func(*Ownership)

// WithNeighbours sets the other data centres of each data centre, nearest first. The shards of a data centre without
// hosts are owned by hosts of the nearest one that has any. All hosts must have the same setting.
func WithNeighbours(neighbours map[chestnutroad.DataCentreID][]chestnutroad.DataCentreID) OwnershipOption {
	return func(ow *Ownership) { ow.neighbours = neighbours }
}

// WithStartGrace sets the time after the first Decide in which no shard is taken over.
func WithStartGrace(grace time.Duration) OwnershipOption {
	return func(ow *Ownership) { ow.grace = grace }
}

// WithTakeoverDelay sets how long to wait for a live owner to hand over a shard.
func WithTakeoverDelay(delay time.Duration) OwnershipOption {
	return func(ow *Ownership) { ow.delay = delay }
}

// NewOwnership returns the Ownership of a host that owns no shards.
func NewOwnership(self chestnutroad.HostID, opts ...OwnershipOption) *Ownership {
	ownership := &Ownership{
		self:   self,
		grace:  startGrace,
		delay:  takeoverDelay,
		shards: map[chestnutroad.ShardID]*shardState{},
	}
	for _, opt := range opts {
		opt(ownership)
	}
	return ownership
}

// OwnerOf returns the host that should own the shard: the first in rendezvous order of the eligible hosts in the shard's
// data centre, or else of those in the nearest data centre that has any.
func (ow *Ownership) OwnerOf(shard chestnutroad.ShardID, hosts []HostView) (chestnutroad.HostID, bool) {
	ranked := ow.Rank(shard, hosts)
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[0], true
}

// Rank returns the eligible hosts of the shard's data centre, or else of the nearest one that has any, in rendezvous order.
func (ow *Ownership) Rank(shard chestnutroad.ShardID, hosts []HostView) []chestnutroad.HostID {
	byCentre := map[string][]string{}
	for _, view := range hosts {
		if view.MayOwn() {
			centre := string(view.DataCentre)
			byCentre[centre] = append(byCentre[centre], string(view.ID))
		}
	}
	for _, centre := range ow.centres(shard, byCentre) {
		if names := byCentre[centre]; len(names) > 0 {
			return hostIDs(rendezvous(shard.String(), names))
		}
	}
	return nil
}

func hostIDs(names []string) []chestnutroad.HostID {
	ids := make([]chestnutroad.HostID, len(names))
	for index, name := range names {
		ids[index] = chestnutroad.HostID(name)
	}
	return ids
}

// centres returns the data centres whose hosts may own the shard, nearest first: only the shard's own if it has eligible
// hosts, otherwise the configured neighbours and then all others in rendezvous order.
func (ow *Ownership) centres(shard chestnutroad.ShardID, byCentre map[string][]string) []string {
	own := string(shard.DataCentre)
	if len(byCentre[own]) > 0 {
		return []string{own}
	}
	var centres []string
	for _, near := range ow.neighbours[shard.DataCentre] {
		centres = append(centres, string(near))
	}
	return append(centres, rendezvous(own, slices.Sorted(maps.Keys(byCentre)))...)
}

// rendezvous returns the names ordered by rendezvous hashing: by the hash of key and name, highest first.
func rendezvous(key string, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return ordered
}

func weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// Observe applies an epoch of the shard that came from membership or from an answer.
func (ow *Ownership) Observe(shard chestnutroad.ShardID, epoch chestnutroad.Epoch) {
	state := ow.state(shard)
	if epoch.Compare(state.highest) > 0 {
		state.highest = epoch
		state.rankedFirstSince = time.Time{}
		state.handedOver = false
	}
}

// PendingHandover is a shard for which this host ranks first while another live host has the highest epoch.
type PendingHandover struct {
	Shard  chestnutroad.ShardID
	Former chestnutroad.HostID
}

// PendingHandovers returns the shards that this host waits for others to hand over, sorted by name.
func (ow *Ownership) PendingHandovers() []PendingHandover {
	var pending []PendingHandover
	for shard, state := range ow.shards {
		if !state.rankedFirstSince.IsZero() && !state.handedOver {
			pending = append(pending, PendingHandover{Shard: shard, Former: state.highest.Host})
		}
	}
	slices.SortFunc(pending, func(a, b PendingHandover) int { return cmp.Compare(a.Shard.String(), b.Shard.String()) })
	return pending
}

// Released records that the former owner no longer owns the shard, so that this host may take over at once. After a
// partition both sides have an owner; the one with the higher epoch may have stepped down before this host did, in favour
// of another successor.
func (ow *Ownership) Released(shard chestnutroad.ShardID, former chestnutroad.HostID) {
	if state := ow.state(shard); state.highest.Host == former {
		state.handedOver = true
	}
}

// HandedOver records that the former owner handed the shard's state to this host, which may take over at once.
func (ow *Ownership) HandedOver(shard chestnutroad.ShardID) { ow.state(shard).handedOver = true }

// Epoch returns the highest observed epoch of the shard; its host is the last owner that this host has observed.
func (ow *Ownership) Epoch(shard chestnutroad.ShardID) chestnutroad.Epoch {
	return ow.state(shard).highest
}

// Owns reports whether this host owns the shard and has observed no higher epoch.
func (ow *Ownership) Owns(shard chestnutroad.ShardID) bool {
	state := ow.state(shard)
	return !state.own.IsZero() && state.own == state.highest
}

// Decide updates the ownership of the shards from membership's view of the hosts, and returns the decisions. There is none
// for a shard that this host neither owned nor takes over.
func (ow *Ownership) Decide(now time.Time, shards []chestnutroad.ShardID, hosts []HostView) []Decision {
	if ow.started.IsZero() {
		ow.started = now
	}
	var decisions []Decision
	for _, shard := range shards {
		if decision, ok := ow.decide(now, shard, hosts); ok {
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

func (ow *Ownership) decide(now time.Time, shard chestnutroad.ShardID, hosts []HostView) (Decision, bool) {
	state := ow.state(shard)
	owner, _ := ow.OwnerOf(shard, hosts)
	decision := Decision{Shard: shard, Epoch: state.own}
	switch {
	case !state.own.IsZero() && state.own != state.highest:
		decision.Type = StepDown
		decision.Successor = state.highest.Host
		state.own = chestnutroad.Epoch{}
	case !state.own.IsZero() && owner != ow.self:
		decision.Type = StepDown
		decision.Successor = owner
		state.own = chestnutroad.Epoch{}
	case !state.own.IsZero():
		decision.Type = Keep
	case owner == ow.self && ow.mayTakeOver(now, state, hosts):
		ow.takeOver(now, state, hosts, &decision)
	default:
		if owner != ow.self {
			state.rankedFirstSince = time.Time{}
		}
		return decision, false
	}
	return decision, true
}

// mayTakeOver reports whether this host, which ranks first, takes over the shard now. A live owner gets time to hand over,
// so that two hosts with differing views don't keep taking the shard from each other.
func (ow *Ownership) mayTakeOver(now time.Time, state *shardState, hosts []HostView) bool {
	if now.Sub(ow.started) < ow.grace {
		return false
	}
	former := state.highest.Host
	if former == "" || former == ow.self || state.handedOver || !isLive(former, hosts) {
		return true
	}
	if state.rankedFirstSince.IsZero() {
		state.rankedFirstSince = now
	}
	return now.Sub(state.rankedFirstSince) >= ow.delay
}

// takeOver starts an epoch of this host above the highest observed one.
func (ow *Ownership) takeOver(now time.Time, state *shardState, hosts []HostView, decision *Decision) {
	former := state.highest.Host
	if former != ow.self {
		decision.Former = former
	}
	state.own = chestnutroad.Epoch{Millis: max(now.UnixMilli(), state.highest.Millis+1), Host: ow.self}
	state.highest = state.own
	state.rankedFirstSince = time.Time{}
	state.handedOver = false
	decision.Type = TakeOver
	decision.Epoch = state.own
	decision.FormerReachable = decision.Former != "" && isLive(decision.Former, hosts)
}

// state returns the state of the shard and creates it if necessary.
func (ow *Ownership) state(shard chestnutroad.ShardID) *shardState {
	state := ow.shards[shard]
	if state == nil {
		state = &shardState{}
		ow.shards[shard] = state
	}
	return state
}

// isLive reports whether the host is in the view and not dead; a leaving host can still hand over.
func isLive(id chestnutroad.HostID, hosts []HostView) bool {
	return slices.ContainsFunc(hosts, func(view HostView) bool { return view.ID == id && view.State != Dead })
}
