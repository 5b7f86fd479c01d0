package placement

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// joinGracePeriod is how long a target that joined comes last for requests with shared parts: hosts tell each other
	// meanwhile which parts are in use at other targets. They learn of the target within 0.7 s of each other, and a message
	// takes up to two intervals to a host of another data centre.
	joinGracePeriod = time.Second
	// announceInterval is the time between two messages about a part that does not reside by its hash, for hosts that started
	// meanwhile.
	announceInterval = 3 * time.Second
	// maxResidences bounds the parts that are remembered, each with some 100 bytes.
	maxResidences = 4096
	// maxAnnouncements bounds the residences in one message; what is left goes with the next ones.
	maxAnnouncements = 64
	// DefaultPartMemory is the usual time for which a part stays with a target after its last use: most chats return
	// within minutes, and a part that was not asked for in one likely had to yield to others.
	DefaultPartMemory = time.Minute
)

// instance is the life of a target, which has what it cached until it ends.
type instance struct {
	id      chestnutroad.TargetID
	started chestnutroad.Incarnation
}

func instanceOf(tg *target) instance { return instance{id: tg.entry.ID, started: tg.entry.Started} }

// residence says where requests with a part go.
type residence struct {
	target instance
	// fallback is where the latest request went, if home had no room or could not be reached.
	fallback   instance
	usedAt time.Time
	announcedAt time.Time
	// checkedAt is when it was last seen whether the part resides by its hash, which takes a look at all targets.
	checkedAt time.Time
}

// residenceTable follow where parts are in use. A part that nobody used for the memory's time is forgotten and goes where its
// hash says.
type residenceTable struct {
	ttl  time.Duration
	targets map[chestnutroad.TargetID]*target
	parts   map[chestnutroad.PartHash]*residence
	// queue are the parts whose residence is told to other hosts next.
	queue []chestnutroad.PartHash
}

func newResidenceTable(targets map[chestnutroad.TargetID]*target) *residenceTable {
	return &residenceTable{ttl: DefaultPartMemory, targets: targets, parts: map[chestnutroad.PartHash]*residence{}}
}

// WithPartMemory sets how long after its last use a prompt part stays where it was used; zero leaves the default.
func WithPartMemory(memory time.Duration) Option {
	return func(pl *Pool) {
		if memory > 0 {
			pl.residences.ttl = memory
		}
	}
}

// lookup returns the target at which the part was lately in use, or nil.
func (rs *residenceTable) lookup(now time.Time, part chestnutroad.PartHash) *target {
	known := rs.parts[part]
	if known == nil || now.Sub(known.usedAt) >= rs.ttl {
		return nil
	}
	for _, pc := range []instance{known.target, known.fallback} {
		if tg := rs.targets[pc.id]; tg != nil && tg.usable() && tg.entry.Started == pc.started {
			return tg
		}
	}
	return nil
}

// record notes a request with the part, whose requests go to home; byHash is where they would go by the hash alone.
func (rs *residenceTable) record(now time.Time, part chestnutroad.PartHash, home, byHash *target) {
	known := rs.parts[part]
	if known == nil {
		rs.evictExpired(now)
		if len(rs.parts) >= maxResidences {
			return
		}
		known = &residence{}
		rs.parts[part] = known
	}
	if known.target != instanceOf(home) {
		*known = residence{target: instanceOf(home)}
	}
	known.usedAt, known.checkedAt = now, now
	if home != byHash && now.Sub(known.announcedAt) >= announceInterval {
		rs.announce(now, part)
	}
}

// checkDue reports whether other hosts may have to be told of the part.
func (rs *residenceTable) checkDue(now time.Time, part chestnutroad.PartHash) bool {
	return now.Sub(rs.parts[part].checkedAt) >= announceInterval
}

// recordOverflow notes that a request with the part went to another target than home, which had no room or could not be reached.
// If the hash prefers that one to home, the part moves there: else targets that join stay empty while the parts crowd at
// the others.
func (rs *residenceTable) recordOverflow(now time.Time, part chestnutroad.PartHash, home, chosen *target) {
	if rendezvousWeight(chosen, part) > rendezvousWeight(home, part) {
		rs.record(now, part, chosen, chosen)
		return
	}
	if known := rs.parts[part]; known != nil {
		known.fallback = instanceOf(chosen)
	}
}

func (rs *residenceTable) announce(now time.Time, part chestnutroad.PartHash) {
	rs.parts[part].announcedAt = now
	rs.queue = append(rs.queue, part)
}

// evictExpired drops what is forgotten once the memory is full.
func (rs *residenceTable) evictExpired(now time.Time) {
	if len(rs.parts) < maxResidences {
		return
	}
	for part, known := range rs.parts {
		if now.Sub(known.usedAt) >= rs.ttl {
			delete(rs.parts, part)
		}
	}
}

// MarkJoined notes that a target was registered. Parts that are in use elsewhere stay there: a target that joins took over its
// share of all parts at once, and each of them was read again (lustre-ruta quiet-1: 267 of 584 thousand tokens).
func (pl *Pool) MarkJoined(now time.Time, id chestnutroad.TargetID) {
	tg := pl.targets[id]
	if tg == nil {
		return
	}
	tg.joinedAt = now
	for part := range pl.residences.parts {
		home := pl.residences.lookup(now, part)
		if home != nil && home.entry.Service == tg.entry.Service && rendezvousWeight(tg, part) > rendezvousWeight(home, part) {
			pl.residences.announce(now, part)
		}
	}
}

// TakeResidences returns where parts reside that other hosts would look for elsewhere, each once.
func (pl *Pool) TakeResidences(now time.Time) []chestnutroad.Residence {
	rs := pl.residences
	var told []chestnutroad.Residence
	for len(rs.queue) > 0 && len(told) < maxAnnouncements {
		part := rs.queue[0]
		rs.queue = rs.queue[1:]
		if home := rs.lookup(now, part); home != nil {
			told = append(told, chestnutroad.Residence{Part: part, Target: home.shortHash()})
		}
	}
	return told
}

// MergeResidences takes in what other hosts know of parts. Where hosts disagree, the target that the hash prefers is taken.
func (pl *Pool) MergeResidences(now time.Time, told []chestnutroad.Residence) {
	if len(told) == 0 {
		return
	}
	byHash := make(map[chestnutroad.TargetHash]*target, len(pl.targets))
	for _, tg := range pl.targets {
		byHash[tg.shortHash()] = tg
	}
	for _, rd := range told {
		tg := byHash[rd.Target]
		if tg == nil || !tg.usable() {
			continue
		}
		home := pl.residences.lookup(now, rd.Part)
		if home != nil && rendezvousWeight(home, rd.Part) > rendezvousWeight(tg, rd.Part) {
			continue
		}
		pl.residences.record(now, rd.Part, tg, tg)
		if known := pl.residences.parts[rd.Part]; known != nil {
			known.announcedAt = now
		}
	}
}

// resolveResidence returns the target at which the prompt part of a request resides among the usable ones, and notes the use.
func (pl *Pool) resolveResidence(now time.Time, usable []*target, ask *Request) *target {
	part := partHash(ask.Affinity)
	home := pl.residences.lookup(now, part)
	if home != nil && home.entry.Service != ask.Service {
		home = nil
	}
	if home != nil && !pl.residences.checkDue(now, part) {
		pl.residences.parts[part].usedAt = now
		return home
	}
	firstByHash := heaviest(now, usable, part)
	if home == nil {
		home = firstByHash
	}
	pl.residences.record(now, part, home, firstByHash)
	return home
}

// shortHash names the target in messages between hosts.
func (tg *target) shortHash() chestnutroad.TargetHash { return chestnutroad.TargetHash(tg.hash) }

func partHash(affinity string) chestnutroad.PartHash {
	return chestnutroad.PartHash(chestnutroad.HashID(affinity))
}

// joining reports whether the target joined a moment ago.
func (tg *target) joining(now time.Time) bool { return now.Before(tg.joinedAt.Add(joinGracePeriod)) }

// stickyWeight goes before that of all other targets.
const stickyWeight = math.MaxUint64

// effectiveWeight orders targets for a part, highest first; one that joined a moment ago comes last.
func (tg *target) effectiveWeight(now time.Time, part chestnutroad.PartHash) uint64 {
	if tg.joining(now) {
		// Nearly all other targets have a bit set in the upper half.
		return rendezvousWeight(tg, part) >> 32
	}
	return rendezvousWeight(tg, part)
}

// heaviest returns the usable target that the part's hash prefers, or nil.
func heaviest(now time.Time, targets []*target, part chestnutroad.PartHash) *target {
	var found *target
	best := uint64(0)
	for _, tg := range targets {
		if !tg.usable() {
			continue
		}
		if rank := tg.effectiveWeight(now, part); found == nil || rank > best {
			found, best = tg, rank
		}
	}
	return found
}
