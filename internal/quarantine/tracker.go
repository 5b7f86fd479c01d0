package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// maxSubjects limits the subjects with crash evidence. A target that ends leaves evidence against about 30 parts, most of which
	// are served again within seconds, and against each request that it had not answered.
	maxSubjects = 512
	// evictedSubjects is the number of subjects that are dropped at once when the table is full.
	evictedSubjects = 64
	// maxCrashes limits the crashes kept of a subject, the newest ones. Five make it a firm suspect, and each later round adds one
	// or two.
	maxCrashes = 24
	// evidenceTTL is how long evidence is kept at least. It is longer than the first refusals, so that a subject that crashes targets
	// at long intervals still becomes a firm suspect.
	evidenceTTL = 2 * time.Minute
	// expireInterval is the time between two passes over all subjects.
	expireInterval = time.Second
	// noAccusationWindow is how long after a part was served by this host its crashes are put down to other parts.
	noAccusationWindow = 5 * time.Second
	// provenWindow is how long a subject counts as proven after it was served. Returning chats come within a minute.
	provenWindow = time.Minute
)

const (
	// minCrashes is the number of crashes from which on a subject is suspected: a single crash does not distinguish it from the
	// other subjects that were at the target.
	minCrashes = 2
	// firmCrashes is the number of crashes, at firmDistinct different times, from which on refusals last for firmRefusal.
	firmCrashes  = 5
	firmDistinct = 3
	// firmRequestCrashes and firmRequestDistinct are the same for a whole request. No other request shares it, so that fewer crashes
	// tell it from sound ones.
	firmRequestCrashes  = 3
	firmRequestDistinct = 2
	// provenSpread is the least time between the first and the last of the firmCrashes crashes of a proven part. Within it, targets
	// that ended for another reason have returned and served a sound part again.
	provenSpread = 3 * time.Second
	// commonCauseWindow is the time within which several crashes count as one: a power failure ends many targets at once.
	commonCauseWindow = 100 * time.Millisecond
)

const (
	// weakRefusal is the time for which all requests with a subject that is not a firm suspect are refused after its last crash.
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
	// target, whatever their rate, and a sound subject is free again 2*log2(hosts) seconds later.
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

// subject holds the evidence about a whole request or a prompt part.
type subject struct {
	whole bool
	// crashes are sorted by time; all are later than servedAt.
	crashes []crash
	// targets are the targets that this host saw crash, for the log.
	targets []chestnutroad.TargetID
	// unsent are the crashes that other hosts are to be told of.
	unsent []unsentCrash
	// servedAt is the latest time at which any host is known to have served the subject.
	servedAt time.Time
	// statementDue is true when other hosts are to be told that this host has served the subject.
	statementDue bool
	// repeatedAt is when this host last sent the crashes again, or heard another host do so.
	repeatedAt time.Time
	// suspected is the state last returned by Changes.
	suspected bool
}

// Tracker tracks the crash evidence against prompt parts and requests. It is not safe for concurrent use.
type Tracker struct {
	hosts     int
	subjects  map[chestnutroad.SubjectHash]*subject
	served    servedSubjects
	expiredAt time.Time
}

// New returns a tracker without evidence.
func New() *Tracker {
	return &Tracker{hosts: 1, subjects: map[chestnutroad.SubjectHash]*subject{}, served: newServedParts()}
}

// SetHostCount sets the number of hosts among which trial requests are divided.
func (tr *Tracker) SetHostCount(count int) { tr.hosts = max(1, count) }

// CrashOf returns the id of the crash of an incarnation of a target.
func CrashOf(entry *chestnutroad.TargetEntry) chestnutroad.CrashID {
	name := string(entry.ID) + "/" + strconv.FormatUint(uint64(entry.Incarnation), 10)
	return max(1, chestnutroad.CrashID(chestnutroad.HashID(name)))
}

// Crashed records that a target ended under a request with the subjects before the request had made progress. It returns the
// number of subjects that are accused.
func (tr *Tracker) Crashed(now time.Time, rq *Request, entry *chestnutroad.TargetEntry) int {
	accused := 0
	for _, ft := range rq.features() {
		hash := ft.hash
		if !hash.Whole() && now.Sub(tr.served.lastUse(hash)) < noAccusationWindow {
			continue
		}
		accused++
		sb := tr.track(now, hash)
		if sb == nil {
			continue
		}
		if used := tr.served.lastUse(hash); used.After(sb.servedAt) {
			sb.servedAt, sb.statementDue = used, now.Sub(used) < provenWindow
		}
		if id := CrashOf(entry); sb.addCrash(id, now) {
			sb.unsent = append(sb.unsent, unsentCrash{id: id, due: now})
		}
		if !slices.Contains(sb.targets, entry.ID) && len(sb.targets) < maxCrashes {
			sb.targets = append(sb.targets, entry.ID)
		}
	}
	return accused
}

// Served records that a target made progress on the answer to a request with the subjects. Earlier evidence against them is
// dropped, here and at other hosts.
func (tr *Tracker) Served(now time.Time, rq *Request) {
	for _, ft := range rq.features() {
		tr.served.record(now, ft.hash)
		if sb := tr.subjects[ft.hash]; sb != nil && len(sb.crashes) > 0 {
			sb.clear(now)
			sb.statementDue = true
		}
	}
}

// track returns the subject and starts to track it if needed. While the table is full of subjects with several crashes, it returns nil.
func (tr *Tracker) track(now time.Time, hash chestnutroad.SubjectHash) *subject {
	if sb := tr.subjects[hash]; sb != nil {
		return sb
	}
	if len(tr.subjects) >= maxSubjects {
		tr.evict(now)
	}
	if len(tr.subjects) >= maxSubjects {
		return nil
	}
	sb := &subject{whole: hash.Whole()}
	tr.subjects[hash] = sb
	return sb
}

// evict drops the subjects without valid evidence, or else evictedSubjects of those below minCrashes, the ones with the oldest evidence.
func (tr *Tracker) evict(now time.Time) {
	tr.expire(now)
	if len(tr.subjects) < maxSubjects {
		return
	}
	var candidates []chestnutroad.SubjectHash
	for hash, sb := range tr.subjects {
		if len(sb.crashes) < minCrashes {
			candidates = append(candidates, hash)
		}
	}
	slices.SortFunc(candidates, func(a, b chestnutroad.SubjectHash) int {
		return cmp.Or(tr.subjects[a].lastEvidence().Compare(tr.subjects[b].lastEvidence()), cmp.Compare(a, b))
	})
	for _, hash := range candidates[:min(len(candidates), evictedSubjects)] {
		delete(tr.subjects, hash)
	}
}

// expire drops the subjects whose evidence no longer counts.
func (tr *Tracker) expire(now time.Time) {
	if now.Sub(tr.expiredAt) < expireInterval {
		return
	}
	tr.expiredAt = now
	for hash, sb := range tr.subjects {
		if len(sb.crashes) > 0 && now.Sub(sb.lastCrash()) >= sb.ttl() {
			sb.crashes, sb.unsent = nil, nil
		}
		if len(sb.crashes) == 0 && !sb.suspected && now.Sub(sb.servedAt) >= provenWindow {
			delete(tr.subjects, hash)
		}
	}
}

// addCrash adds a crash, or corrects its time to an earlier one, and reports whether it is new. A crash before the subject was
// served is ignored.
func (sb *subject) addCrash(id chestnutroad.CrashID, at time.Time) bool {
	if !at.After(sb.servedAt) {
		return false
	}
	index := slices.IndexFunc(sb.crashes, func(cr crash) bool { return cr.id == id })
	if index >= 0 {
		sb.crashes[index].at = earlier(sb.crashes[index].at, at)
	} else {
		sb.crashes = append(sb.crashes, crash{id: id, at: at})
	}
	slices.SortFunc(sb.crashes, func(a, b crash) int {
		if order := a.at.Compare(b.at); order != 0 {
			return order
		}
		return int(int64(a.id) - int64(b.id))
	})
	if len(sb.crashes) > maxCrashes {
		sb.crashes = slices.Delete(sb.crashes, 0, len(sb.crashes)-maxCrashes)
	}
	return index < 0
}

// clear records that the subject was served and drops the crashes before that.
func (sb *subject) clear(at time.Time) {
	sb.servedAt = later(sb.servedAt, at)
	sb.crashes = slices.DeleteFunc(sb.crashes, func(cr crash) bool { return !cr.at.After(sb.servedAt) })
	sb.unsent = slices.DeleteFunc(sb.unsent, func(us unsentCrash) bool { return !sb.has(us.id) })
	if len(sb.crashes) == 0 {
		sb.targets = nil
	}
}

func (sb *subject) has(id chestnutroad.CrashID) bool {
	return slices.ContainsFunc(sb.crashes, func(cr crash) bool { return cr.id == id })
}

// lastCrash returns the time of the last crash, or zero.
func (sb *subject) lastCrash() time.Time {
	if len(sb.crashes) == 0 {
		return time.Time{}
	}
	return sb.crashes[len(sb.crashes)-1].at
}

// lastEvidence returns the time of the last crash or of the last answer.
func (sb *subject) lastEvidence() time.Time { return later(sb.lastCrash(), sb.servedAt) }

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
