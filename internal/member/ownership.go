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
	// startGrace keeps a host that has just started, and knows only itself, from taking all shards.
	startGrace = 3 * time.Second
	// takeOverDelay is how long a new owner waits for the hand-over of a live owner before it takes the shard anyway.
	takeOverDelay = 6 * time.Second
)

// DecisionType says what a host does about a shard.
type DecisionType int

// The decisions.
const (
	// Keep means that the host goes on owning the shard.
	Keep DecisionType = iota + 1
	// TakeOver means that the host owns the shard from now on, at Epoch.
	TakeOver
	// StepDown means that the host stops admitting work for the shard at once.
	StepDown
)

// Decision is what a host does about one shard.
type Decision struct {
	Type  DecisionType
	Shard chestnutroad.ShardID
	// Epoch is the host's own epoch of the shard.
	Epoch chestnutroad.Epoch
	// Former is the host to fetch the state from on TakeOver; it is empty for a shard that had no other owner.
	Former chestnutroad.HostID
	// FormerReachable is false when membership holds the former owner dead.
	FormerReachable bool
	// Successor is the host to hand the state to on StepDown.
	Successor chestnutroad.HostID
}

// Ownership keeps the books of which host owns which shard, as seen from one host. It is not safe for concurrent use.
type Ownership struct {
	self       chestnutroad.HostID
	neighbours map[chestnutroad.DataCentreID][]chestnutroad.DataCentreID
	grace      time.Duration
	delay      time.Duration
	started    time.Time
	shards     map[chestnutroad.ShardID]*shardState
}

type shardState struct {
	// highest is the highest epoch observed, own is the host's own or zero.
	highest, own chestnutroad.Epoch
	// rankedFirstSince is since when this host has been first in rendezvous order while another one holds the epoch.
	rankedFirstSince time.Time
	handedOver bool
}

// OwnershipOption changes a default of an Ownership.
type OwnershipOption func(*Ownership)

// WithNeighbours names, for each data centre, the others from the nearest on. Hosts of the nearest one that has any
// own the shards of a data centre without hosts; all hosts must have the same setting.
func WithNeighbours(neighbours map[chestnutroad.DataCentreID][]chestnutroad.DataCentreID) OwnershipOption {
	return func(ow *Ownership) { ow.neighbours = neighbours }
}

// WithStartGrace sets the time after the first Decide in which nothing is taken over.
func WithStartGrace(grace time.Duration) OwnershipOption {
	return func(ow *Ownership) { ow.grace = grace }
}

// WithTakeOverDelay sets how long to wait for the hand-over of a live owner.
func WithTakeOverDelay(delay time.Duration) OwnershipOption {
	return func(ow *Ownership) { ow.delay = delay }
}

// NewOwnership returns the books of a host that owns nothing.
func NewOwnership(self chestnutroad.HostID, opts ...OwnershipOption) *Ownership {
	ownership := &Ownership{
		self:   self,
		grace:  startGrace,
		delay:  takeOverDelay,
		shards: map[chestnutroad.ShardID]*shardState{},
	}
	for _, opt := range opts {
		opt(ownership)
	}
	return ownership
}

// OwnerOf returns the first host in rendezvous order among the hosts of the shard's data centre that may own. When
// there is none, it is the first one of the nearest data centre that has any.
func (ow *Ownership) OwnerOf(shard chestnutroad.ShardID, hosts []HostView) (chestnutroad.HostID, bool) {
	ranked := ow.Rank(shard, hosts)
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[0], true
}

// Rank returns the hosts that may own the shard in rendezvous order.
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

// centres returns the data centres whose hosts may own the shard, from the nearest on: the shard's own, the
// configured neighbours, then the others in rendezvous order.
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

// rendezvous orders the names by their hash together with the key.
func rendezvous(key string, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(one, two string) int {
		return cmp.Or(cmp.Compare(weight(key, two), weight(key, one)), cmp.Compare(one, two))
	})
	return ordered
}

func weight(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }

// Observe takes in an epoch from membership or from an answer.
func (ow *Ownership) Observe(shard chestnutroad.ShardID, epoch chestnutroad.Epoch) {
	book := ow.state(shard)
	if epoch.Compare(book.highest) > 0 {
		book.highest = epoch
		book.rankedFirstSince = time.Time{}
		book.handedOver = false
	}
}

// PendingHandover is a shard that this host is first in rendezvous order for, while a live host holds the epoch.
type PendingHandover struct {
	Shard  chestnutroad.ShardID
	Former chestnutroad.HostID
}

// PendingHandovers returns the shards that this host waits to be handed over, in order.
func (ow *Ownership) PendingHandovers() []PendingHandover {
	var waits []PendingHandover
	for shard, book := range ow.shards {
		if !book.rankedFirstSince.IsZero() && !book.handedOver {
			waits = append(waits, PendingHandover{Shard: shard, Former: book.highest.Host})
		}
	}
	slices.SortFunc(waits, func(one, two PendingHandover) int { return cmp.Compare(one.Shard.String(), two.Shard.String()) })
	return waits
}

// Released notes that the former owner says that it no longer owns the shard, so that this host may take it at once.
// After a partition both sides have an owner; the one with the higher epoch may have stepped down before this host did,
// with another successor in mind.
func (ow *Ownership) Released(shard chestnutroad.ShardID, former chestnutroad.HostID) {
	if book := ow.state(shard); book.highest.Host == former {
		book.handedOver = true
	}
}

// HandedOver notes that the former owner handed the shard's state to this host, which may take over at once.
func (ow *Ownership) HandedOver(shard chestnutroad.ShardID) { ow.state(shard).handedOver = true }

// Epoch returns the highest known epoch of the shard; its host is the owner as far as this host knows.
func (ow *Ownership) Epoch(shard chestnutroad.ShardID) chestnutroad.Epoch {
	return ow.state(shard).highest
}

// Owns reports whether this host owns the shard and knows of no higher epoch.
func (ow *Ownership) Owns(shard chestnutroad.ShardID) bool {
	book := ow.state(shard)
	return !book.own.IsZero() && book.own == book.highest
}

// Decide returns the decisions for the shards, given the hosts as membership sees them. A shard that another host owns
// and keeps has no decision.
func (ow *Ownership) Decide(now time.Time, shards []chestnutroad.ShardID, hosts []HostView) []Decision {
	if ow.started.IsZero() {
		ow.started = now
	}
	var decisions []Decision
	for _, shard := range shards {
		if decision, any := ow.decide(now, shard, hosts); any {
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

func (ow *Ownership) decide(now time.Time, shard chestnutroad.ShardID, hosts []HostView) (Decision, bool) {
	book := ow.state(shard)
	owner, _ := ow.OwnerOf(shard, hosts)
	decision := Decision{Shard: shard, Epoch: book.own}
	switch {
	case !book.own.IsZero() && book.own != book.highest:
		decision.Type = StepDown
		decision.Successor = book.highest.Host
		book.own = chestnutroad.Epoch{}
	case !book.own.IsZero() && owner != ow.self:
		decision.Type = StepDown
		decision.Successor = owner
		book.own = chestnutroad.Epoch{}
	case !book.own.IsZero():
		decision.Type = Keep
	case owner == ow.self && ow.mayTakeOver(now, book, hosts):
		ow.takeOver(now, book, hosts, &decision)
	default:
		if owner != ow.self {
			book.rankedFirstSince = time.Time{}
		}
		return decision, false
	}
	return decision, true
}

// mayTakeOver reports whether this host, first in rendezvous order, takes the shard now. A live owner gets time to hand
// over, so that two hosts with differing views don't take the shard from each other in turn.
func (ow *Ownership) mayTakeOver(now time.Time, book *shardState, hosts []HostView) bool {
	if now.Sub(ow.started) < ow.grace {
		return false
	}
	former := book.highest.Host
	if former == "" || former == ow.self || book.handedOver || !isLive(former, hosts) {
		return true
	}
	if book.rankedFirstSince.IsZero() {
		book.rankedFirstSince = now
	}
	return now.Sub(book.rankedFirstSince) >= ow.delay
}

func (ow *Ownership) takeOver(now time.Time, book *shardState, hosts []HostView, decision *Decision) {
	former := book.highest.Host
	if former != ow.self {
		decision.Former = former
	}
	book.own = chestnutroad.Epoch{Millis: max(now.UnixMilli(), book.highest.Millis+1), Host: ow.self}
	book.highest = book.own
	book.rankedFirstSince = time.Time{}
	book.handedOver = false
	decision.Type = TakeOver
	decision.Epoch = book.own
	decision.FormerReachable = decision.Former != "" && isLive(decision.Former, hosts)
}

func (ow *Ownership) state(shard chestnutroad.ShardID) *shardState {
	book := ow.shards[shard]
	if book == nil {
		book = &shardState{}
		ow.shards[shard] = book
	}
	return book
}

// isLive reports whether the host is known and not held dead; a leaving host can still hand over.
func isLive(id chestnutroad.HostID, hosts []HostView) bool {
	return slices.ContainsFunc(hosts, func(view HostView) bool { return view.ID == id && view.State != Dead })
}
