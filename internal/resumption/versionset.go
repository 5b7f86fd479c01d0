package resumption

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// resumeTime is the age up to which streams that are in no host's memory are resumed.
const resumeTime = Lifetime / 2

// settleTime is how long a version has to be listed until its streams need not be in the log any more. Within it, hosts that are in touch
// have read the list and have written the streams that began at the other versions before.
const settleTime = 5 * time.Second

// VersionState states what the log holds of the streams that began at a version.
type VersionState string

// The states of a version.
const (
	// Logged means that a stream at the version is in the log before its caller gets the first event.
	Logged VersionState = "Logged"
	// Unlogged means that streams may have begun at the version that are not in the log.
	Unlogged VersionState = "Unlogged"
)

// VersionUse describes a version in use.
type VersionUse struct {
	State VersionState
	// LoggedFrom is the offset in the log before which no stream began at a version with the state Logged.
	LoggedFrom chestnutroad.Offset `json:",omitempty"`
}

// VersionSet holds the versions of a service's targets at which streams may have begun.
type VersionSet struct {
	// Era is the era of the store in which the set is complete. The store may have lost versions before a later one began.
	Era      chestnutroad.Era
	Versions map[chestnutroad.SoftwareVersion]VersionUse
}

// EncodeVersionSet encodes a set as the value of a record of the store.
func EncodeVersionSet(set *VersionSet) ([]byte, error) {
	data, err := json.Marshal(set)
	return data, errors.Wrap(err, "encode versions in use")
}

// DecodeVersionSet decodes the value of a record of the store.
func DecodeVersionSet(data []byte) (VersionSet, error) {
	var set VersionSet
	err := json.Unmarshal(data, &set)
	return set, errors.Wrap(err, "decode versions in use")
}

// LogRange describes which part of the log a host has read without a gap: all records of an era from an offset on.
type LogRange struct {
	Era  chestnutroad.Era
	From chestnutroad.Offset
}

// SetVersions records the versions in use that the store held up to a position. Those of an earlier position are ignored.
func (tr *Tracker) SetVersions(now time.Duration, at chestnutroad.Position, sets map[chestnutroad.ServiceID]VersionSet) {
	if tr.setsKnown && tr.setsAt.After(at) {
		return
	}
	if !tr.setsKnown {
		tr.setsKnown, tr.firstEra = true, at.Era
	}
	tr.sets, tr.setsAt, tr.setsLearnedAt = sets, at, now
	for service, set := range sets {
		for version := range set.Versions {
			tr.Inherit(service, version)
		}
	}
	tr.CompleteInherited()
}

// Versions returns the versions in use that the store held at the position; known is false if the host doesn't know them, or not since the
// latest version was listed.
func (tr *Tracker) Versions() (at chestnutroad.Position, sets map[chestnutroad.ServiceID]VersionSet, known bool) {
	return tr.setsAt, tr.sets, tr.setsKnown && tr.setsLearnedAt >= tr.listedAt
}

// registerTime is how long targets take to be listed again after the store came back from an older copy, with a margin.
const registerTime = 3 * time.Second

// MayLack reports whether the list of targets may lack a version at which streams began. The store may have lost the latest entries as well as
// the record of their version if it was restored since that was written. A host that ran before that remembers them.
func (tr *Tracker) MayLack(now time.Duration, service chestnutroad.ServiceID) bool {
	set, found := tr.sets[service]
	restored := found && set.Era < tr.setsAt.Era || !found && tr.setsAt.Era > 0
	return restored && now < Lifetime && now-tr.firstListedAt < registerTime
}

// NeedsLog reports whether a stream that begins at the version has to be in the log before its caller gets the first event. As long as the
// host doesn't know the state of the version, it does if the service has several.
func (tr *Tracker) NeedsLog(now time.Duration, service chestnutroad.ServiceID, version chestnutroad.SoftwareVersion) bool {
	use := tr.sets[service].Versions[version]
	switch {
	case use.State == Logged:
		return true
	case use.State == Unlogged && tr.setsLearnedAt >= tr.listed[service][version].since:
		return false
	default:
		return len(tr.Recent(now, service)) > 1
	}
}

// PossibleVersions returns the versions at which a stream may have begun that is not in the log, in order. What the store holds and the part
// of the log must have been read after the request for the stream. Without a proof that other versions are out of the question, all
// are returned at which streams may have begun.
func (tr *Tracker) PossibleVersions(now time.Duration, service chestnutroad.ServiceID, read LogRange) []chestnutroad.SoftwareVersion {
	recent := tr.Recent(now, service)
	all := slices.Sorted(maps.Keys(recent))
	set, found := tr.sets[service]
	if !found || set.Era != tr.setsAt.Era || set.Era != read.Era {
		return all
	}
	for version := range recent {
		if _, recorded := set.Versions[version]; !recorded {
			return all
		}
	}
	var possible []chestnutroad.SoftwareVersion
	for version, use := range set.Versions {
		if use.State != Logged || read.From > use.LoggedFrom {
			possible = append(possible, version)
		}
	}
	if len(possible) == 0 {
		return all
	}
	slices.Sort(possible)
	return possible
}

// PlanVersions returns the set that the store should hold for the service, with the versions that join with the state Logged and whose
// LoggedFrom is to be set, and whether it differs from the one that it holds. The sets must have been read in the era.
func (tr *Tracker) PlanVersions(
	now time.Duration, service chestnutroad.ServiceID,
) (next VersionSet, joined []chestnutroad.SoftwareVersion, changed bool) {
	held, found := tr.sets[service]
	next, changed = tr.continueSet(now, &held, found)
	recent := tr.Recent(now, service)
	// Without a version of before, to which streams that are not in the log belong, none may be Logged.
	mayLog := found && held.Era == tr.setsAt.Era && held.hasUnlogged()
	for version := range recent {
		use, recorded := next.Versions[version]
		switch {
		case !recorded && mayLog:
			next.Versions[version] = VersionUse{State: Logged}
			joined = append(joined, version)
		case !recorded || use.State == Logged && now >= resumeTime && tr.isSettled(now, service, version):
			next.Versions[version] = VersionUse{State: Unlogged}
		default:
			continue
		}
		changed = true
	}
	for version := range next.Versions {
		if now >= Lifetime && !recent[version] {
			delete(next.Versions, version)
			changed = true
		}
	}
	return next, joined, changed
}

// continueSet returns the set that the store holds, if it does, as that of the store's era, unless versions may be missing in it: only a
// host that ran before the restore, or has run for long since, knows all of them.
func (tr *Tracker) continueSet(now time.Duration, held *VersionSet, found bool) (next VersionSet, changed bool) {
	next = VersionSet{Era: tr.setsAt.Era, Versions: map[chestnutroad.SoftwareVersion]VersionUse{}}
	if !found {
		return next, false
	}
	if held.Era == next.Era || now < Lifetime && tr.firstEra > held.Era {
		next.Era = held.Era
		maps.Copy(next.Versions, held.Versions)
		return next, false
	}
	for version := range held.Versions {
		// The store may have lost starts that were in the log.
		next.Versions[version] = VersionUse{State: Unlogged}
	}
	return next, true
}

func (vs *VersionSet) hasUnlogged() bool {
	for _, use := range vs.Versions {
		if use.State == Unlogged {
			return true
		}
	}
	return false
}

// isSettled reports whether targets of the version have been listed for settleTime.
func (tr *Tracker) isSettled(now time.Duration, service chestnutroad.ServiceID, version chestnutroad.SoftwareVersion) bool {
	ls, found := tr.listed[service][version]
	return found && now-ls.since >= settleTime
}

// UnloggedVersion returns a listed version of the service, other than the given one, whose streams need not be in the log.
func (tr *Tracker) UnloggedVersion(
	service chestnutroad.ServiceID, other chestnutroad.SoftwareVersion, listed map[chestnutroad.SoftwareVersion]bool,
) (version chestnutroad.SoftwareVersion, found bool) {
	set := tr.sets[service]
	for _, version := range slices.Sorted(maps.Keys(set.Versions)) {
		if version != other && listed[version] && set.Versions[version].State == Unlogged {
			return version, true
		}
	}
	return "", false
}
