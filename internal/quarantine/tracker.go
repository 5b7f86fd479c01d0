package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// maxParts limits the parts with crash evidence. A target that ends leaves evidence against about 30 parts, most of which
	// are served again within seconds.
	maxParts = 512
	// evictedParts is the number of parts that are dropped at once when the table is full.
	evictedParts = 64
	// maxCrashes limits the crashes kept of a part, the newest ones. Five make it a firm suspect, and each later round adds one
	// or two.
	maxCrashes = 24
	// evidenceTTL is how long evidence is kept at least. It is longer than the first refusals, so that a part that crashes targets
	// at long intervals still becomes a firm suspect.
	evidenceTTL = 2 * time.Minute
	// expireInterval is the time between two passes over all parts.
	expireInterval = time.Second
	// noAccusationWindow is how long after a part was served by this host its crashes are put down to other parts.
	noAccusationWindow = 5 * time.Second
	// provenWindow is how long a part counts as proven after it was served. Returning chats come within a minute.
	provenWindow = time.Minute
)

const (
	// minCrashes is the number of crashes from which on a part is suspected: a single crash does not distinguish it from the
	// other parts that were at the target.
	minCrashes = 2
	// firmCrashes is the number of crashes, at firmDistinct different times, from which on refusals last for firmRefusal.
	firmCrashes  = 5
	firmDistinct = 3
	// provenSpread is the least time between the first and the last of the firmCrashes crashes of a proven part. Within it, targets
	// that ended for another reason have returned and served a sound part again.
	provenSpread = 3 * time.Second
	// commonCauseWindow is the time within which several crashes count as one: a power failure ends many targets at once.
	commonCauseWindow = 100 * time.Millisecond
)

const (
	// weakRefusal is the time for which all requests with a part that is not a firm suspect are refused after its last crash.
	// Requests that are running at other targets end them within about this time.
	weakRefusal = 2 * time.Second
	// firmRefusal is the same for a firm suspect. Each round of crashes, when requests are admitted again, doubles it up to
	// maxRefusal.
	firmRefusal = time.Minute
	maxRefusal  = 16 * time.Minute
	// roundGap separates two rounds of crashes; it is a little shorter than firmRefusal as hosts hear of a crash later.
	roundGap = 50 * time.Second
	// trialDoubling is the time in which the share of admitted requests doubles after the refusals. All hosts know of a crash
	// within about this time of the request's arrival, so that about two requests are sent until the first one has crashed its
	// target, whatever their rate, and a sound part is free again 2*log2(hosts) seconds later.
	trialDoubling = 2 * time.Second
)

// crash is the end of an incarnation of a target under a request.
type crash struct {
	id chestnutroad.CrashID
	at time.Time
}

// unsentCrash is a crash that this host saw. It is sent twice, since a message may be lost, or its relay may be stopping.
type unsentCrash struct {
	id  chestnutroad.CrashID
	due time.Time
	// last is true when it was sent before.
	last bool
}

// part holds the evidence about a prompt part.
type part struct {
	// crashes are sorted by time; all are later than servedAt.
	crashes []crash
	// targets are the targets that this host saw crash, for the log.
	targets []chestnutroad.TargetID
	// unsent are the crashes that other hosts are to be told of.
	unsent []unsentCrash
	// servedAt is the latest time at which any host is known to have served the part.
	servedAt time.Time
	// statementDue is true when other hosts are to be told that this host has served the part.
	statementDue bool
	// repeatedAt is when this host last sent the crashes again, or heard another host do so.
	repeatedAt time.Time
	// suspected is the state last returned by Changes.
	suspected bool
}

// Tracker tracks the crash evidence against prompt parts. It is not safe for concurrent use.
type Tracker struct {
	hosts     int
	parts     map[chestnutroad.PartHash]*part
	served    servedParts
	expiredAt time.Time
}

// New returns a tracker without evidence.
func New() *Tracker {
	return &Tracker{hosts: 1, parts: map[chestnutroad.PartHash]*part{}, served: newServedParts()}
}

// SetHostCount sets the number of hosts among which trial requests are divided.
func (tr *Tracker) SetHostCount(count int) { tr.hosts = max(1, count) }

// shared returns the parts of a prompt that can be under suspicion: all but the last, which no other request has.
func shared(parts []chestnutroad.PromptPart) []chestnutroad.PromptPart {
	return parts[:max(0, len(parts)-1)]
}

func hashOf(pp chestnutroad.PromptPart) chestnutroad.PartHash {
	return chestnutroad.PartHash(chestnutroad.HashID(pp.ID))
}

// CrashOf returns the id of the crash of an incarnation of a target.
func CrashOf(entry *chestnutroad.TargetEntry) chestnutroad.CrashID {
	name := string(entry.ID) + "/" + strconv.FormatUint(uint64(entry.Incarnation), 10)
	return max(1, chestnutroad.CrashID(chestnutroad.HashID(name)))
}

// Crashed records that a target ended under a request with the parts before the request had made progress. It returns the
// number of parts that are accused.
func (tr *Tracker) Crashed(now time.Time, parts []chestnutroad.PromptPart, entry *chestnutroad.TargetEntry) int {
	accused := 0
	for _, pp := range shared(parts) {
		hash := hashOf(pp)
		if now.Sub(tr.served.lastUse(hash)) < noAccusationWindow {
			continue
		}
		accused++
		pt := tr.track(now, hash)
		if pt == nil {
			continue
		}
		if used := tr.served.lastUse(hash); used.After(pt.servedAt) {
			pt.servedAt, pt.statementDue = used, now.Sub(used) < provenWindow
		}
		if id := CrashOf(entry); pt.addCrash(id, now) {
			pt.unsent = append(pt.unsent, unsentCrash{id: id, due: now})
		}
		if !slices.Contains(pt.targets, entry.ID) && len(pt.targets) < maxCrashes {
			pt.targets = append(pt.targets, entry.ID)
		}
	}
	return accused
}

// Served records that a target made progress on the answer to a request with the parts. Earlier evidence against them is
// dropped, here and at other hosts.
func (tr *Tracker) Served(now time.Time, parts []chestnutroad.PromptPart) {
	for _, pp := range shared(parts) {
		hash := hashOf(pp)
		tr.served.record(now, hash)
		if pt := tr.parts[hash]; pt != nil && len(pt.crashes) > 0 {
			pt.clear(now)
			pt.statementDue = true
		}
	}
}

// track returns the part and starts to track it if needed. While the table is full of parts with several crashes, it returns nil.
func (tr *Tracker) track(now time.Time, hash chestnutroad.PartHash) *part {
	if pt := tr.parts[hash]; pt != nil {
		return pt
	}
	if len(tr.parts) >= maxParts {
		tr.evict(now)
	}
	if len(tr.parts) >= maxParts {
		return nil
	}
	pt := &part{}
	tr.parts[hash] = pt
	return pt
}

// evict drops the parts without valid evidence, or else evictedParts of those below minCrashes, the ones with the oldest evidence.
func (tr *Tracker) evict(now time.Time) {
	tr.expire(now)
	if len(tr.parts) < maxParts {
		return
	}
	var candidates []chestnutroad.PartHash
	for hash, pt := range tr.parts {
		if len(pt.crashes) < minCrashes {
			candidates = append(candidates, hash)
		}
	}
	slices.SortFunc(candidates, func(a, b chestnutroad.PartHash) int {
		return cmp.Or(tr.parts[a].lastEvidence().Compare(tr.parts[b].lastEvidence()), cmp.Compare(a, b))
	})
	for _, hash := range candidates[:min(len(candidates), evictedParts)] {
		delete(tr.parts, hash)
	}
}

// expire drops the parts whose evidence no longer counts.
func (tr *Tracker) expire(now time.Time) {
	if now.Sub(tr.expiredAt) < expireInterval {
		return
	}
	tr.expiredAt = now
	for hash, pt := range tr.parts {
		if len(pt.crashes) > 0 && now.Sub(pt.lastCrash()) >= pt.ttl() {
			pt.crashes, pt.unsent = nil, nil
		}
		if len(pt.crashes) == 0 && !pt.suspected && now.Sub(pt.servedAt) >= provenWindow {
			delete(tr.parts, hash)
		}
	}
}

// addCrash adds a crash, or corrects its time to an earlier one, and reports whether it is new. A crash before the part was
// served is ignored.
func (pt *part) addCrash(id chestnutroad.CrashID, at time.Time) bool {
	if !at.After(pt.servedAt) {
		return false
	}
	index := slices.IndexFunc(pt.crashes, func(cr crash) bool { return cr.id == id })
	if index >= 0 {
		pt.crashes[index].at = earlier(pt.crashes[index].at, at)
	} else {
		pt.crashes = append(pt.crashes, crash{id: id, at: at})
	}
	slices.SortFunc(pt.crashes, func(a, b crash) int {
		if order := a.at.Compare(b.at); order != 0 {
			return order
		}
		return int(int64(a.id) - int64(b.id))
	})
	if len(pt.crashes) > maxCrashes {
		pt.crashes = slices.Delete(pt.crashes, 0, len(pt.crashes)-maxCrashes)
	}
	return index < 0
}

// clear records that the part was served and drops the crashes before that.
func (pt *part) clear(at time.Time) {
	pt.servedAt = later(pt.servedAt, at)
	pt.crashes = slices.DeleteFunc(pt.crashes, func(cr crash) bool { return !cr.at.After(pt.servedAt) })
	pt.unsent = slices.DeleteFunc(pt.unsent, func(us unsentCrash) bool { return !pt.has(us.id) })
	if len(pt.crashes) == 0 {
		pt.targets = nil
	}
}

func (pt *part) has(id chestnutroad.CrashID) bool {
	return slices.ContainsFunc(pt.crashes, func(cr crash) bool { return cr.id == id })
}

// lastCrash returns the time of the last crash, or zero.
func (pt *part) lastCrash() time.Time {
	if len(pt.crashes) == 0 {
		return time.Time{}
	}
	return pt.crashes[len(pt.crashes)-1].at
}

// lastEvidence returns the time of the last crash or of the last answer.
func (pt *part) lastEvidence() time.Time { return later(pt.lastCrash(), pt.servedAt) }

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

func later(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}
