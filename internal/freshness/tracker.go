package freshness

import (
	"slices"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Held is what a host has of the store.
type Held struct {
	Version  chestnutroad.Version
	Position chestnutroad.Position
	// Evacuations is the position of the list of evacuated data centres, which is in the stream of the configuration; zero when no
	// evacuation has been seen.
	Evacuations chestnutroad.Position
}

// Announcement is what a relay states about its copy of the store. All times are elapsed times of the receiving host.
type Announcement struct {
	Held Held
	// ReadAt holds for each stream the time up to which the relay itself has read it.
	ReadAt [streamCount]time.Duration
}

// maxPending bounds the announcements that wait for the host to fetch what they announce: some 20 arrive from two relays before
// the first of them is too old to be of use.
const maxPending = 64

// Tracker tracks for one host up to which time it knows each stream of the store. Times are the elapsed time since the start of
// the host; zero means never. It is not safe for concurrent use.
type Tracker struct {
	// ownReadAt is the time up to which the host itself has read a stream, confirmedAt that up to which a relay has confirmed it.
	ownReadAt, confirmedAt [streamCount]time.Duration
	// fetched is the time up to which another host had read a stream when this host fetched it at its start; it may be negative.
	fetched [streamCount]fetchedCopy
	// fetchedWithoutAge is true after a fetch from a host that stated no age.
	fetchedWithoutAge [streamCount]bool
	// pending are announcements of state that the host did not have yet, in the order in which they arrived.
	pending []Announcement
	outages outages
}

// fetchedCopy is a copy of a stream that was fetched from another host.
type fetchedCopy struct {
	exists bool
	readAt time.Duration
}

// New returns the tracker of a host that has read nothing.
func New() *Tracker { return &Tracker{} }

// RecordRead records that the host itself has read all of a stream that the store held at the time.
func (tr *Tracker) RecordRead(stream Stream, at time.Duration) {
	tr.ownReadAt[stream] = max(tr.ownReadAt[stream], at)
	if stream == Targets {
		tr.outages.recordRead(at)
	}
}

// RecordFetched records that the host fetched a stream from another host, whose copy reflects the store at the time.
func (tr *Tracker) RecordFetched(stream Stream, at time.Duration) {
	tr.fetched[stream] = fetchedCopy{exists: true, readAt: at}
}

// RecordFetchedWithoutAge records that the host fetched a stream from another host that stated no age of its copy.
func (tr *Tracker) RecordFetchedWithoutAge(stream Stream) { tr.fetchedWithoutAge[stream] = true }

// Announce records what a relay has announced. It counts once the host has what was announced.
func (tr *Tracker) Announce(announcement Announcement) {
	tr.outages.recordRead(announcement.ReadAt[Targets])
	if len(tr.pending) == maxPending {
		tr.pending = slices.Delete(tr.pending, 0, 1)
	}
	tr.pending = append(tr.pending, announcement)
}

// confirm applies the pending announcements of state that the host has by now.
func (tr *Tracker) confirm(now time.Duration, held Held) {
	tr.pending = slices.DeleteFunc(tr.pending, func(an Announcement) bool {
		hasVersion := an.Held.Version <= held.Version && !an.Held.Evacuations.After(held.Evacuations)
		hasTargets := !an.Held.Position.After(held.Position)
		if hasVersion {
			tr.confirmedAt[Configuration] = max(tr.confirmedAt[Configuration], an.ReadAt[Configuration])
		}
		if hasTargets {
			tr.confirmedAt[Targets] = max(tr.confirmedAt[Targets], an.ReadAt[Targets])
		}
		return hasVersion && hasTargets || now-max(an.ReadAt[Configuration], an.ReadAt[Targets]) >= maxAges[Targets]
	})
}

// OwnAge returns the age of the host's own last read of a stream, which it states in its beacons. Before the first one that is the time
// since the host's start, or the age of an older copy that it has fetched.
func (tr *Tracker) OwnAge(now time.Duration, stream Stream) time.Duration {
	if tr.ownReadAt[stream] == 0 {
		return now - min(0, tr.fetched[stream].readAt)
	}
	return now - tr.ownReadAt[stream]
}

// Age returns how old the host's copy of a stream may be, or the host's uptime if that is not known.
func (tr *Tracker) Age(now time.Duration, stream Stream, held Held) time.Duration {
	age, known := tr.KnownAge(now, stream, held)
	if !known {
		return now
	}
	return age
}

// KnownAge returns how old the host's copy of a stream may be. It is not known while the host only has a copy from another host that
// stated no age. Without such a copy, the uptime bounds it, also in the moment between a read and its record.
func (tr *Tracker) KnownAge(now time.Duration, stream Stream, held Held) (age time.Duration, known bool) {
	tr.confirm(now, held)
	readAt := max(tr.ownReadAt[stream], tr.confirmedAt[stream])
	if readAt == 0 {
		readAt = tr.fetched[stream].readAt
	}
	return now - readAt, readAt != 0 || tr.fetched[stream].exists || !tr.fetchedWithoutAge[stream]
}

// awaitsRelay reports whether the host only has a copy that it fetched from another host at its start. The relay of its data
// centre may have started at the same time, so that its first beacon has not arrived yet.
func (tr *Tracker) awaitsRelay(stream Stream) bool {
	return tr.fetched[stream].exists && tr.ownReadAt[stream] == 0
}

// TooOldAge reports whether a copy of a stream with the age is too old to be relied on.
func TooOldAge(stream Stream, age time.Duration) bool { return age >= maxAges[stream] }

// Decide returns why the host has to read a stream itself, if it does.
func (tr *Tracker) Decide(now time.Duration, stream Stream, held Held, status *Status) Reason {
	age := tr.Age(now, stream, held)
	switch {
	case status.RelayDisabled:
		return RelayDisabled
	case !status.Ready:
		return NotReady
	case status.RelayFound && !status.RelayFresh:
		return RelayNotFresh
	case status.Relaying:
		return Relaying
	case !status.RelayFound && (age >= maxAges[stream] || !tr.awaitsRelay(stream)):
		return NoRelay
	case status.FetchFailed:
		return FetchFailed
	case age >= maxAges[stream]:
		return TooOld
	default:
		return FollowsRelay
	}
}
