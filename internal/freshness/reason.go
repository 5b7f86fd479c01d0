package freshness

// Reason is why a host reads a stream of the store itself.
type Reason string

// The reasons; with FollowsRelay, the host does not read the stream.
const (
	FollowsRelay  Reason = "FollowsRelay"
	RelayDisabled Reason = "RelayDisabled"
	Relaying      Reason = "Relaying"
	NotReady      Reason = "NotReady"
	NoRelay       Reason = "NoRelay"
	RelayNotFresh Reason = "RelayNotFresh"
	FetchFailed   Reason = "FetchFailed"
	// TooOld is the reason of a host whose copy may miss changes, although it received a beacon of its relay lately.
	TooOld Reason = "TooOld"
)

// Reasons are all reasons.
var Reasons = []Reason{
	FollowsRelay, RelayDisabled, Relaying, NotReady, NoRelay, RelayNotFresh, FetchFailed, TooOld,
}

// Status is what a host knows of itself and of its relay.
type Status struct {
	// RelayDisabled is true when the settings disable relays, and Relaying while the host itself is a relay.
	RelayDisabled, Relaying bool
	// Ready is true once the host has a configuration and the targets.
	Ready bool
	// RelayFound is true while the host receives beacons of a relay, RelayFresh while that relay's reads of the store succeed.
	RelayFound, RelayFresh bool
	// FetchFailed is true after the host failed to fetch newer state from another host.
	FetchFailed bool
}
