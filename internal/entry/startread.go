package entry

import (
	"context"
	"time"
)

// peerRecordsTimeout is how long a host waits, once after the first page of the targets, for another host to send it all.
const peerRecordsTimeout = 2 * time.Second

// startRead decides whether a host that starts reads all pages of the targets from the store. Only the first startReaders hosts of a
// data centre read on at once. The others first wait up to peerRecordsTimeout for another host to send them the targets
// compressed, which ends the read: if 300 hosts that start together all read 3,000 targets, the store sends 0.5 GB, which takes it 6 s.
type startRead struct {
	entry *Entry
	// running is true if the host had the targets when the read began. It reads on: no other host may be left that reads.
	running bool
	waited  bool
}

// begin is called before a read of all targets.
func (sr *startRead) begin() { sr.running = sr.entry.state.targetsLoaded.Load() }

// awaitPeerRecords is called before each page of a read except the first. It returns errLoadedFromHost once another host has sent all
// targets.
func (sr *startRead) awaitPeerRecords(ctx context.Context) error {
	if sr.running || sr.waited {
		return nil
	}
	sr.waited = true
	en := sr.entry
	for end := en.elapsed() + peerRecordsTimeout; en.elapsed() < end && !en.link.isStartReader(); {
		if !sleep(ctx, readCheckInterval) {
			return ctx.Err()
		}
		if en.state.targetsLoaded.Load() {
			return errLoadedFromHost
		}
	}
	return nil
}
