package resumption

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Lifetime is longer than callers wait for the end of a stream, after which it is not resumed any more.
const Lifetime = 30 * time.Second

// maxStreams bounds the memory for streams. Relays hold those of the whole fleet: 4,400 a second at the largest size planned for.
const maxStreams = 150_000

// maxUnreported bounds the streams that wait to be reported to other hosts.
const maxUnreported = 2_000

// relistTime is the time without targets of a version after which it counts as new in the list. It is less than Lifetime, after which relays
// delete the version from the store: some host may list it for longer than they do.
const relistTime = Lifetime * 2 / 3

// StreamID identifies a stream by the attempt that brought its first event.
type StreamID uint64

// NewStreamID returns the id of the stream that the attempt began.
func NewStreamID(attempt chestnutroad.RequestID) StreamID {
	return StreamID(chestnutroad.HashID(string(attempt)))
}

// Start states at which version of a service's targets a stream began.
type Start struct {
	Service chestnutroad.ServiceID
	Version chestnutroad.SoftwareVersion
	Stream  StreamID
}

// stream is a stream whose start the host knows.
type stream struct {
	service chestnutroad.ServiceID
	version chestnutroad.SoftwareVersion
	knownAt time.Duration
	// own is true for a stream that began at this host.
	own bool
	// contradictory is true if two versions were learned. A host whose start at one could not be written in time begins a stream at another.
	contradictory bool
}

// aged is an entry of the queue in which streams expire.
type aged struct {
	id      StreamID
	knownAt time.Duration
}

// listing holds since when targets of a version have been listed, and when one was last listed.
type listing struct{ since, last time.Duration }

// versionListings holds the listing of each version of a service.
type versionListings map[chestnutroad.SoftwareVersion]listing

// Tracker tracks for one host the versions of each service's targets and where streams began. Times are the elapsed time since the
// start of the host. It is not safe for concurrent use.
type Tracker struct {
	listed map[chestnutroad.ServiceID]versionListings
	// sets are the versions in use by service as the store held them at setsAt, which this host learned at setsLearnedAt. firstEra is the
	// era in which it first did.
	sets          map[chestnutroad.ServiceID]VersionSet
	setsAt        chestnutroad.Position
	setsKnown     bool
	setsLearnedAt time.Duration
	firstEra      chestnutroad.Era
	// listedAt is when the latest listing began, firstListedAt when the first one did.
	listedAt, firstListedAt time.Duration
	// inherited holds the versions that were in use before the host started; inheritedKnown is true once they were read.
	inherited      map[chestnutroad.ServiceID]map[chestnutroad.SoftwareVersion]bool
	inheritedKnown bool
	streams        map[StreamID]stream
	queue          []aged
	// unwritten are the streams that began at this host and are not in the log.
	unwritten []Start
	// required are those of unwritten that are to be written whatever versions the service has.
	required map[StreamID]bool
	// unreported are the streams that began at this host and were not reported to other hosts.
	unreported []Start
	// missed holds when streams were first missed in the log; it was last pruned at prunedAt.
	missed   map[StreamID]time.Duration
	prunedAt time.Duration
}

// New returns the tracker of a host that starts.
func New() *Tracker {
	return &Tracker{
		listed:    map[chestnutroad.ServiceID]versionListings{},
		inherited: map[chestnutroad.ServiceID]map[chestnutroad.SoftwareVersion]bool{},
		streams:   map[StreamID]stream{},
		missed:    map[StreamID]time.Duration{},
		required:  map[StreamID]bool{},
	}
}

// Observe records that a target of the service with the version is listed.
func (tr *Tracker) Observe(now time.Duration, service chestnutroad.ServiceID, version chestnutroad.SoftwareVersion) {
	if len(tr.listed) == 0 {
		tr.firstListedAt = now
	}
	listings := tr.listed[service]
	if listings == nil {
		listings = versionListings{}
		tr.listed[service] = listings
	}
	held, found := listings[version]
	if !found {
		maps.DeleteFunc(listings, func(_ chestnutroad.SoftwareVersion, ls listing) bool { return now-ls.last >= Lifetime })
	}
	if !found || now-held.last >= relistTime {
		held.since, tr.listedAt = now, now
	}
	held.last = now
	listings[version] = held
}

// Inherit records that a version was in use before the host started, and CompleteInherited that all such versions are recorded.
func (tr *Tracker) Inherit(service chestnutroad.ServiceID, version chestnutroad.SoftwareVersion) {
	if tr.inherited[service] == nil {
		tr.inherited[service] = map[chestnutroad.SoftwareVersion]bool{}
	}
	tr.inherited[service][version] = true
}

// CompleteInherited records that Inherit was called for all versions that were in use before the host started.
func (tr *Tracker) CompleteInherited() { tr.inheritedKnown = true }

// KnowsVersions reports whether Recent also returns all versions that were in use before the host started.
func (tr *Tracker) KnowsVersions(now time.Duration) bool { return now >= Lifetime || tr.inheritedKnown }

// Recent returns the versions of a service's targets at which streams may have begun that can still be resumed.
func (tr *Tracker) Recent(now time.Duration, service chestnutroad.ServiceID) map[chestnutroad.SoftwareVersion]bool {
	recent := map[chestnutroad.SoftwareVersion]bool{}
	for version, ls := range tr.listed[service] {
		if now-ls.last < Lifetime {
			recent[version] = true
		}
	}
	if now < Lifetime {
		for version := range tr.inherited[service] {
			recent[version] = true
		}
	}
	return recent
}

// Begin records that a stream began at this host, with its first event.
func (tr *Tracker) Begin(now time.Duration, start Start) {
	tr.Observe(now, start.Service, start.Version)
	tr.add(now, start, true)
	tr.unwritten = append(tr.unwritten, start)
	tr.unreported = append(tr.unreported, start)
}

// Take records where a stream began at another host, for which this host is to write it to the log: at once if that is required, or else as
// soon as the service has several versions.
func (tr *Tracker) Take(now time.Duration, start Start, required bool) {
	tr.Observe(now, start.Service, start.Version)
	tr.add(now, start, false)
	tr.unwritten = append(tr.unwritten, start)
	if required {
		tr.required[start.Stream] = true
	}
}

// Learn records where a stream began at another host, and reports whether the host did not know.
func (tr *Tracker) Learn(now time.Duration, start Start) (isNew bool) {
	known, found := tr.streams[start.Stream]
	switch {
	case !found || known.service != start.Service:
		tr.add(now, start, false)
		return true
	case known.version == start.Version || known.own || known.contradictory:
		return false
	default:
		known.contradictory = true
		tr.streams[start.Stream] = known
		return true
	}
}

func (tr *Tracker) add(now time.Duration, start Start, own bool) {
	for len(tr.queue) > 0 && (now-tr.queue[0].knownAt >= Lifetime || len(tr.queue) >= maxStreams) {
		if oldest := tr.queue[0]; tr.streams[oldest.id].knownAt == oldest.knownAt {
			delete(tr.streams, oldest.id)
		}
		tr.queue = tr.queue[1:]
	}
	tr.streams[start.Stream] = stream{service: start.Service, version: start.Version, knownAt: now, own: own}
	tr.queue = append(tr.queue, aged{id: start.Stream, knownAt: now})
}

// Held returns the number of streams that the host knows.
func (tr *Tracker) Held() int { return len(tr.streams) }

// Start returns where a stream of the service began, if the host knows.
func (tr *Tracker) Start(service chestnutroad.ServiceID, id StreamID) (start Start, found bool) {
	known, found := tr.streams[id]
	if !found || known.service != service || known.contradictory {
		return Start{}, false
	}
	return Start{Service: service, Version: known.version, Stream: id}, true
}

// Miss records that the log has no start of a stream, which this host or another one missed at a time already, and returns when it was
// first missed.
func (tr *Tracker) Miss(now, at time.Duration, id StreamID) time.Duration {
	if now-tr.prunedAt >= Lifetime {
		maps.DeleteFunc(tr.missed, func(_ StreamID, at time.Duration) bool { return now-at >= Lifetime })
		tr.prunedAt = now
	}
	if first, found := tr.missed[id]; found {
		at = min(at, first)
	}
	tr.missed[id] = at
	return at
}

// HasSeveral reports whether a service has had targets of several versions within the time for which streams last.
func (tr *Tracker) HasSeveral(now time.Duration) bool {
	for service := range tr.listed {
		if len(tr.Recent(now, service)) > 1 {
			return true
		}
	}
	return false
}

// TakeUnwritten returns the streams that began at this host, are not in the log yet, and belong to services with several versions or
// to a version whose streams have to be in the log. The others stay until a second version appears.
func (tr *Tracker) TakeUnwritten(now time.Duration) []Start {
	var taken, left []Start
	several := map[chestnutroad.ServiceID]bool{}
	for _, start := range tr.unwritten {
		known, found := tr.streams[start.Stream]
		if !found || now-known.knownAt >= Lifetime || known.version != start.Version {
			continue
		}
		if _, counted := several[start.Service]; !counted {
			several[start.Service] = len(tr.Recent(now, start.Service)) > 1
		}
		logged := tr.sets[start.Service].Versions[start.Version].State == Logged
		if several[start.Service] || logged || tr.required[start.Stream] {
			taken = append(taken, start)
		} else {
			left = append(left, start)
		}
	}
	tr.unwritten = left
	clear(tr.required)
	return taken
}

// ReturnUnwritten takes back streams that could not be written.
func (tr *Tracker) ReturnUnwritten(starts []Start) { tr.unwritten = append(starts, tr.unwritten...) }

// TakeUnreported returns up to most streams that began at this host and were not reported to other hosts yet, the oldest first.
func (tr *Tracker) TakeUnreported(most int) []Start {
	if surplus := len(tr.unreported) - maxUnreported; surplus > 0 {
		tr.unreported = tr.unreported[surplus:]
	}
	taken := tr.unreported[:min(most, len(tr.unreported))]
	tr.unreported = tr.unreported[len(taken):]
	return taken
}

// ReturnUnreported takes back streams that could not be reported.
func (tr *Tracker) ReturnUnreported(starts []Start) {
	tr.unreported = slices.Concat(starts, tr.unreported)
}

// ReportAgain lets all streams be reported that began at this host and can still be resumed.
func (tr *Tracker) ReportAgain(now time.Duration) {
	tr.unreported = nil
	for _, entry := range tr.queue {
		known, found := tr.streams[entry.id]
		if found && known.own && known.knownAt == entry.knownAt && now-known.knownAt < Lifetime {
			tr.unreported = append(tr.unreported, Start{Service: known.service, Version: known.version, Stream: entry.id})
		}
	}
}

// Basis is how the version is known at which a stream may be resumed, or what has to be read first.
type Basis string

// The bases.
const (
	// Known means that the host knows where the stream began.
	Known Basis = "Known"
	// OnlyVersion means that the stream can't have begun at another version, by what was read after the request: the service has had one
	// version for as long as streams last, or the log has all streams that began at the others.
	OnlyVersion Basis = "OnlyVersion"
	// NeedsVersions means that the versions in use before the host started have to be read.
	NeedsVersions Basis = "NeedsVersions"
	// NeedsStarts means that the start of the stream has to be known, as there may be several versions.
	NeedsStarts Basis = "NeedsStarts"
)

// Decision states at which version a stream may be resumed. The version is valid with the bases Known and OnlyVersion.
type Decision struct {
	Basis   Basis
	Version chestnutroad.SoftwareVersion
}

// Decide returns at which version of the service's targets the stream may be resumed. The versions are all at which it may have begun, as
// they were read after the caller's request, see Recent and PossibleVersions; none if they could not be read.
func (tr *Tracker) Decide(
	now time.Duration, service chestnutroad.ServiceID, id StreamID, versions []chestnutroad.SoftwareVersion,
) Decision {
	start, found := tr.Start(service, id)
	switch {
	case found:
		return Decision{Basis: Known, Version: start.Version}
	case tr.streams[id].contradictory:
		return Decision{Basis: NeedsStarts}
	case len(versions) == 1:
		return Decision{Basis: OnlyVersion, Version: versions[0]}
	case len(versions) == 0 && !tr.KnowsVersions(now):
		return Decision{Basis: NeedsVersions}
	default:
		return Decision{Basis: NeedsStarts}
	}
}
