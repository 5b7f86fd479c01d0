package member

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// Host is what a host says of itself.
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

// State is what a member holds of a host.
type State int

// The states.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"Alive", "Suspect", "Leaving", "Dead"}

// String returns the state's name in logs.
func (st State) String() string {
	if st < 0 || int(st) >= len(stateNames) {
		return "Unknown"
	}
	return stateNames[st]
}

// HostView is one host as a member sees it.
type HostView struct {
	Host
	State State
	// Suspected is true for a host that did not answer lately, be it leaving or not.
	Suspected bool
}

// MayOwn reports whether the host may own shards: it isn't held dead and isn't leaving.
func (vw HostView) MayOwn() bool { return vw.State == Alive || vw.State == Suspect }

// hostEntry is what a member keeps of another host; its state is Alive, Suspect or Dead.
type hostEntry struct {
	Host
	state   State
	leaving bool
	// listed is true while the platform's host list names the host.
	listed bool
	stateSince  time.Time
	// detectedLocally is true when this member's own probes raised the suspicion.
	detectedLocally bool
	// confirmed is true when another member declared the suspected host dead.
	confirmed bool
	// verifyFailed is true when a verification during the suspicion failed.
	verifyFailed bool
	// verifyPending is true while such a probe waits for its answer.
	verifyPending bool
	// verifyAt is when to probe the suspect or dead host again; it is zero when no such probe is due.
	verifyAt   time.Time
	recheckedAt time.Time
	// lastFailedAt is when a probe of the dead host last failed.
	lastFailedAt time.Time
	hash      uint32
}

func (en *hostEntry) record() Record {
	return Record{Kind: RecordHost, Host: en.Host, State: en.state, Leaving: en.leaving}
}
