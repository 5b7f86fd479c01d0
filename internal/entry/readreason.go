package entry

import (
	"time"

	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

// readReason is why a host reads the store itself.
type readReason string

// The reasons; with followsRelay, the host does not read the store.
const (
	followsRelay  readReason = "FollowsRelay"
	relayDisabled readReason = "RelayDisabled"
	relaying      readReason = "Relaying"
	notReady      readReason = "NotReady"
	noRelay       readReason = "NoRelay"
	relayNotFresh readReason = "RelayNotFresh"
	fetchFailed   readReason = "FetchFailed"
)

// fetchFailureWindow is how long a host reads the store itself after it failed to fetch newer state from another host:
// enough to read a configuration of 1,850 rules, and to repeat the read once.
const fetchFailureWindow = 2 * time.Second

// whyReadStore returns why this host has to read the store itself, and the longest pause after failed reads.
func (en *Entry) whyReadStore() (reason readReason, pause time.Duration) {
	if en.settings.Without.Off(mechanism.Relay) {
		return relayDisabled, maxBackoff
	}
	fresh, found := en.link.remoteRelay()
	switch {
	case !en.state.ready():
		return notReady, maxBackoff
	case found && !fresh:
		// The relay can't reach the store either: most likely the store is down for all hosts, and each call to it is charged.
		return relayNotFresh, outageMaxBackoff
	case en.link.relaying():
		return relaying, maxBackoff
	case !found:
		return noRelay, maxBackoff
	case en.isRecent(&en.lastFetchFailure, fetchFailureWindow):
		// A relay that does not answer in time may have a slow link, over which this host would miss a change.
		return fetchFailed, maxBackoff
	default:
		return followsRelay, maxBackoff
	}
}
