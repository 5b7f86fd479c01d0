package member

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Host is the identity, address and incarnation that a host announces for itself.
type Host struct {
	ID          chestnutroad.HostID
	DataCentre  chestnutroad.DataCentreID
	PeerAddress string
	Incarnation chestnutroad.Incarnation
}

// IncarnationAt returns the incarnation of a host that starts at the given wall-clock time, so that a host that
// replaces another one under the same id has the higher incarnation.
func IncarnationAt(start time.Time) chestnutroad.Incarnation {
	return chestnutroad.Incarnation(start.UnixMilli())
}

// State is the state of a host in a member's view.
type State int

// The states of a host.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"Alive", "Suspect", "Leaving", "Dead"}

// String returns the name of the state.
func (st State) String() string {
	if st < 0 || int(st) >= len(stateNames) {
		return "Unknown"
	}
	return stateNames[st]
}

// HostView is a host and its state in a member's view.
type HostView struct {
	Host
	State State
	// Suspected is true while the host is suspected of having failed. A leaving host has it too, although its State is Leaving.
	Suspected bool
}

// MayOwn reports whether the host may own shards: an alive or suspect host may, a leaving or dead one may not.
func (vw HostView) MayOwn() bool { return vw.State == Alive || vw.State == Suspect }

// hostEntry is what a member stores about another host; its state is Alive, Suspect or Dead.
type hostEntry struct {
	Host
	state   State
	leaving bool
	// listed is true while the platform's host list contains the host.
	listed     bool
	stateSince time.Time
	// detectedLocally is true when a regular probe of this member failed; a failed verification probe does not set it.
	detectedLocally bool
	// confirmed is true when another member declared the suspected host dead.
	confirmed bool
	// verifyFailed is true when a probe of this member raised the suspicion or failed during it.
	verifyFailed bool
	// verifyPending is true while a verification probe waits for its answer.
	verifyPending bool
	// verifyAt is when to probe the suspect or dead host again; zero means no such probe is due.
	verifyAt time.Time
	// recheckedAt is when the host was declared dead or a recheck of it was last scheduled.
	recheckedAt time.Time
	// lastFailedAt is when the host was declared dead or a later probe of it failed.
	lastFailedAt time.Time
	// hash is the hash of the host's record that the digest contains.
	hash uint32
}

func (en *hostEntry) record() Record {
	return Record{Kind: RecordHost, Host: en.Host, State: en.state, Leaving: en.leaving}
}
