package entry

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

// fetchFailureWindow is how long a host reads the store itself after it failed to fetch newer state from another host:
// enough to read a configuration of 1,850 rules, and to repeat the read once.
const fetchFailureWindow = 2 * time.Second

// whyRead returns why this host has to read a stream of the store itself, if it does, and the longest pause after failed reads.
func (en *Entry) whyRead(stream freshness.Stream) (reason freshness.Reason, pause time.Duration) {
	held := en.held()
	status := freshness.Status{
		RelayDisabled: en.settings.Without.Off(mechanism.Relay),
		Ready:         en.state.ready(),
		FetchFailed:   en.isRecent(&en.lastFetchFailure, fetchFailureWindow),
	}
	reason = en.link.whyRead(stream, held, &status)
	if reason == freshness.RelayNotFresh {
		// The relay can't reach the store either: most likely the store is down for all hosts, and each call to it is charged.
		return reason, outageMaxBackoff
	}
	return reason, maxBackoff
}

// logReason logs and counts a change of the reason to read a stream of the store.
func (en *Entry) logReason(stream freshness.Stream, before, reason freshness.Reason) {
	en.counters.countReason(stream, reason)
	en.logger.Info("reading of the store changed", "Stream", stream, "Reason", reason, "Before", before,
		"Age", en.copyAge(stream).Round(time.Millisecond))
}

// held returns the configuration version and the position in the records that this host has.
func (en *Entry) held() freshness.Held {
	evacuations := en.evacuations.position()
	en.state.mu.Lock()
	defer en.state.mu.Unlock()
	held := freshness.Held{Position: en.state.records.next, Evacuations: evacuations}
	if tb := en.state.table.Load(); tb != nil {
		held.Version = tb.Version()
	}
	return held
}

// whyRead adds to the status what the link knows of the relay and returns the decision.
func (ln *link) whyRead(stream freshness.Stream, held freshness.Held, status *freshness.Status) freshness.Reason {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	status.Relaying = ln.node.Relaying()
	if !status.Relaying {
		_, status.RelayFresh, status.RelayFound = ln.node.Relay(ln.entry.now())
	}
	return ln.tracker.Decide(ln.entry.elapsed(), stream, held, status)
}

// relayCall is a call to the relay of a host. Its request asks for nothing that the host has.
type relayCall struct {
	request *siblings.StateRequest
	address string
	// fresh is true if the relay can read the store.
	fresh bool
}

// newRelayCall returns a call to this host's relay; false while there is none or this host is one itself.
func (ln *link) newRelayCall() (call relayCall, found bool) {
	request := ln.newStateRequest()
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.node.Relaying() {
		return call, false
	}
	host, fresh, found := ln.node.Relay(ln.entry.now())
	return relayCall{request: request, address: host.Address, fresh: fresh}, found
}

// newStateRequest returns a request that asks for nothing that this host has.
func (ln *link) newStateRequest() *siblings.StateRequest {
	status := ln.entry.localStatus()
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return &siblings.StateRequest{Version: status.Version, Position: status.Position, HostList: ln.hostListHash()}
}

// holders returns the addresses of the hosts that may know where streams began: those of this data centre, its relay left out, and on a
// relay those of the others.
func (ln *link) holders() (local, remote []string) {
	now := ln.entry.now()
	ln.mu.Lock()
	defer ln.mu.Unlock()
	relay, _, _ := ln.node.Relay(now)
	for _, hs := range ln.node.LocalHolders() {
		if ln.node.Relaying() || hs != relay {
			local = append(local, hs.Address)
		}
	}
	for _, hs := range ln.node.RemoteRelays(now) {
		remote = append(remote, hs.Address)
	}
	return local, remote
}

// recordRead records up to which time this host itself has read a stream of the store.
func (ln *link) recordRead(stream freshness.Stream, at time.Duration) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.tracker.RecordRead(stream, at)
}

// outageEnd returns when the latest outage of the store ended, as far as this host knows, and whether there was one.
func (ln *link) outageEnd() (end time.Duration, found bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.tracker.OutageEnd(ln.entry.elapsed())
}

// announce records what a relay has read of the store according to its beacon; ln.mu must be held.
func (ln *link) announce(beacon *relay.Message) {
	if !beacon.Fresh {
		return
	}
	received := ln.entry.elapsed()
	announcement := freshness.Announcement{Held: freshness.Held{Version: beacon.Version, Position: beacon.Position}}
	if beacon.Evacuations != nil {
		announcement.Held.Evacuations = beacon.Evacuations.Position
	}
	if beacon.Evacuations != nil || !ln.entry.evacuations.seen() {
		// A relay that has not seen the evacuations that this host has seen confirms nothing of them.
		announcement.ReadAt[freshness.Configuration] = received - beacon.ConfigurationAge
	}
	announcement.ReadAt[freshness.Targets] = received - beacon.TargetsAge
	ln.tracker.Announce(announcement)
}

// copyAge returns how old this host's copy of a stream of the store may be.
func (en *Entry) copyAge(stream freshness.Stream) time.Duration {
	held := en.held()
	en.link.mu.Lock()
	defer en.link.mu.Unlock()
	return en.link.tracker.Age(en.elapsed(), stream, held)
}

// statedAge returns the age of this host's copy of a stream that it states to other hosts; zero if it is not known.
func (en *Entry) statedAge(stream freshness.Stream) time.Duration {
	held := en.held()
	en.link.mu.Lock()
	defer en.link.mu.Unlock()
	age, known := en.link.tracker.KnownAge(en.elapsed(), stream, held)
	if !known {
		return 0
	}
	return age
}

// streams are the streams whose age is tracked by those of the store.
var streams = map[chestnutroad.KeyedStream]freshness.Stream{
	chestnutroad.KeyedConfiguration: freshness.Configuration,
	chestnutroad.KeyedTargets:       freshness.Targets,
}
