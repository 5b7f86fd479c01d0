package freshness

import "time"

// minOutage is the shortest time without a read of the targets that counts as an outage of the store. It is longer than the 0.7 s
// between two reads of a relay and the time of a read.
const minOutage = 950 * time.Millisecond

// outages finds outages of the store from the reads of the targets that a host knows of: its own, and those that relays state.
// Reads that fail only at this host are no outage.
type outages struct {
	// lastRead is the time of the last known read, ended that of the first one after the latest outage; zero if there was none.
	lastRead, ended time.Duration
}

func (ou *outages) recordRead(at time.Duration) {
	if at-ou.lastRead >= minOutage {
		ou.ended = at
	}
	ou.lastRead = max(ou.lastRead, at)
}

// OutageEnd returns when the latest outage of the store ended, which is now while it lasts, and whether there was one since the host
// started.
func (tr *Tracker) OutageEnd(now time.Duration) (end time.Duration, found bool) {
	if now-tr.outages.lastRead >= minOutage {
		return now, true
	}
	return tr.outages.ended, tr.outages.ended > 0
}
