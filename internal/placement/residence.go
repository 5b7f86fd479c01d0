package placement

import (
	"math"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// joinGracePeriod is how long a target that joined is ranked last for requests with shared parts. In this time hosts tell
	// each other which parts are in use at other targets: they learn of the target within 0.7 s of each other, and a message
	// to a host of another data centre takes up to two message intervals.
	joinGracePeriod = time.Second
	// announceInterval is the time between two announcements of a part whose target is not the first by hash. They are
	// repeated for hosts that started in the meantime.
	announceInterval = 3 * time.Second
	// maxResidences limits the number of parts in the table, each of which takes about 100 bytes.
	maxResidences = 4096
	// maxAnnouncements limits the residences in one message; the rest is sent with the next ones.
	maxAnnouncements = 64
	// DefaultPartMemory is the default time for which a part stays at a target after its last use. Most chats return within
	// minutes, and a part that was unused for a minute has probably been evicted from the target's cache.
	DefaultPartMemory = time.Minute
)

// instance is one incarnation of a target. Its cache is lost when it ends.
type instance struct {
	id          chestnutroad.TargetID
	incarnation chestnutroad.Incarnation
}

func instanceOf(tg *target) instance {
	return instance{id: tg.entry.ID, incarnation: tg.entry.Incarnation}
}

// residence records where requests with a part are sent.
type residence struct {
	target instance
	// fallback is the other target to which the latest overflow was sent; it is used once the first is gone.
	fallback    instance
	usedAt      time.Time
	announcedAt time.Time
	// checkedAt is when the part's target was last compared with the first by hash, which takes a pass over all targets.
	checkedAt time.Time
}

// residenceTable tracks where prompt parts are in use. A part that was unused for the ttl is sent to its first target by
// hash again.
type residenceTable struct {
	ttl     time.Duration
	targets map[chestnutroad.TargetID]*target
	parts   map[chestnutroad.PartHash]*residence
	// queue holds the parts whose residence is to be announced to other hosts.
	queue []chestnutroad.PartHash
}

func newResidenceTable(targets map[chestnutroad.TargetID]*target) *residenceTable {
	return &residenceTable{ttl: DefaultPartMemory, targets: targets, parts: map[chestnutroad.PartHash]*residence{}}
}

// WithPartMemory sets how long a prompt part stays at its target after its last use; zero keeps the default.
func WithPartMemory(memory time.Duration) Option {
	return func(pl *Pool) {
		if memory > 0 {
			pl.residences.ttl, pl.locality.residences.ttl = memory, memory
		}
	}
}

// lookup returns the usable target at which the part is in use, or nil.
func (rt *residenceTable) lookup(now time.Time, part chestnutroad.PartHash) *target {
	rd := rt.parts[part]
	if rd == nil || now.Sub(rd.usedAt) >= rt.ttl {
		return nil
	}
	for _, in := range []instance{rd.target, rd.fallback} {
		if tg := rt.targets[in.id]; tg != nil && tg.usable() && tg.entry.Incarnation == in.incarnation {
			return tg
		}
	}
	return nil
}

// record records a use of the part at a target; byHash is the first target by the part's hash. A residence elsewhere is
// queued for announcement. New parts are ignored while the table is full.
func (rt *residenceTable) record(now time.Time, part chestnutroad.PartHash, resident, byHash *target) {
	rd := rt.parts[part]
	if rd == nil {
		rt.evictExpired(now)
		if len(rt.parts) >= maxResidences {
			return
		}
		rd = &residence{}
		rt.parts[part] = rd
	}
	if rd.target != instanceOf(resident) {
		*rd = residence{target: instanceOf(resident)}
	}
	rd.usedAt, rd.checkedAt = now, now
	if resident != byHash && now.Sub(rd.announcedAt) >= announceInterval {
		rt.announce(now, part)
	}
}

// checkDue reports whether the part's target should be compared with the first by hash again.
func (rt *residenceTable) checkDue(now time.Time, part chestnutroad.PartHash) bool {
	return now.Sub(rt.parts[part].checkedAt) >= announceInterval
}

// recordOverflow records that a request with the part went to another target than its resident one. If the hash prefers
// the chosen target, the part moves there, since targets that joined would otherwise stay empty while parts crowd at the
// others. If not, the chosen target becomes the part's fallback.
func (rt *residenceTable) recordOverflow(now time.Time, part chestnutroad.PartHash, resident, chosen *target) {
	if rendezvousWeight(chosen, part) > rendezvousWeight(resident, part) {
		rt.record(now, part, chosen, chosen)
		return
	}
	if rd := rt.parts[part]; rd != nil {
		rd.fallback = instanceOf(chosen)
	}
}

func (rt *residenceTable) announce(now time.Time, part chestnutroad.PartHash) {
	rt.parts[part].announcedAt = now
	rt.queue = append(rt.queue, part)
}

// evictExpired drops expired parts once the table is full.
func (rt *residenceTable) evictExpired(now time.Time) {
	if len(rt.parts) < maxResidences {
		return
	}
	for part, rd := range rt.parts {
		if now.Sub(rd.usedAt) >= rt.ttl {
			delete(rt.parts, part)
		}
	}
}

// MarkJoined records that a target was registered. Parts that are in use stay where they are, and those that the hash
// prefers at the new target are announced. Without this, a target that joined took over its share of all parts at once and
// each of them was prefilled again: 267,000 of 584,000 tokens in one run.
func (pl *Pool) MarkJoined(now time.Time, id chestnutroad.TargetID) {
	tg := pl.targets[id]
	if tg == nil {
		return
	}
	tg.joinedAt = now
	rt := pl.tableOf(tg)
	for part := range rt.parts {
		resident := rt.lookup(now, part)
		if resident != nil && resident.entry.Service == tg.entry.Service &&
			rendezvousWeight(tg, part) > rendezvousWeight(resident, part) {
			rt.announce(now, part)
		}
	}
}

// TakeResidences removes up to maxAnnouncements residences from the queue of announcements and returns those that still
// hold.
func (pl *Pool) TakeResidences(now time.Time) []chestnutroad.Residence {
	var announced []chestnutroad.Residence
	for _, rt := range []*residenceTable{pl.residences, pl.locality.residences} {
		for len(rt.queue) > 0 && len(announced) < maxAnnouncements {
			part := rt.queue[0]
			rt.queue = rt.queue[1:]
			if resident := rt.lookup(now, part); resident != nil {
				announced = append(announced, chestnutroad.Residence{Part: part, Target: resident.shortHash()})
			}
		}
	}
	return announced
}

// MergeResidences merges residences announced by other hosts. Where they differ from this host's, the target that the hash
// prefers wins.
func (pl *Pool) MergeResidences(now time.Time, announced []chestnutroad.Residence) {
	if len(announced) == 0 {
		return
	}
	byHash := make(map[chestnutroad.TargetHash]*target, len(pl.targets))
	for _, tg := range pl.targets {
		byHash[tg.shortHash()] = tg
	}
	for _, ann := range announced {
		tg := byHash[ann.Target]
		if tg == nil || !tg.usable() {
			continue
		}
		rt := pl.tableOf(tg)
		resident := rt.lookup(now, ann.Part)
		if resident != nil && rendezvousWeight(resident, ann.Part) > rendezvousWeight(tg, ann.Part) {
			continue
		}
		rt.record(now, ann.Part, tg, tg)
		if rd := rt.parts[ann.Part]; rd != nil {
			rd.announcedAt = now
		}
	}
}

// resolve returns the target at which the request's prompt part is in use, or else the first usable one by hash, and records
// the use.
func (rt *residenceTable) resolve(now time.Time, usable []*target, req *Request) *target {
	part := partHash(req.Affinity)
	resident := rt.lookup(now, part)
	if resident != nil && resident.entry.Service != req.Service {
		resident = nil
	}
	if resident != nil && !rt.checkDue(now, part) {
		rt.parts[part].usedAt = now
		return resident
	}
	byHash := heaviest(now, usable, part)
	if resident == nil {
		resident = byHash
	}
	rt.record(now, part, resident, byHash)
	return resident
}

// shortHash identifies the target in messages between hosts.
func (tg *target) shortHash() chestnutroad.TargetHash { return chestnutroad.TargetHash(tg.hash) }

func partHash(affinity string) chestnutroad.PartHash {
	return chestnutroad.PartHash(chestnutroad.HashID(affinity))
}

// joining reports whether the target is in the grace period after it joined.
func (tg *target) joining(now time.Time) bool { return now.Before(tg.joinedAt.Add(joinGracePeriod)) }

// stickyWeight ranks the sticky target before all others.
const stickyWeight = math.MaxUint64

// effectiveWeight returns the weight by which targets are ranked for a part, highest first. Joining and cold targets come last.
func (tg *target) effectiveWeight(now time.Time, part chestnutroad.PartHash) uint64 {
	if tg.joining(now) || now.Before(tg.coldUntil) {
		// The shifted weight is below 1<<32, and the weights of nearly all other targets are above.
		return rendezvousWeight(tg, part) >> 32
	}
	return rendezvousWeight(tg, part)
}

// heaviest returns the usable target with the highest effective weight for the part, or nil.
func heaviest(now time.Time, targets []*target, part chestnutroad.PartHash) *target {
	var found *target
	best := uint64(0)
	for _, tg := range targets {
		if !tg.usable() {
			continue
		}
		if weight := tg.effectiveWeight(now, part); found == nil || weight > best {
			found, best = tg, weight
		}
	}
	return found
}
