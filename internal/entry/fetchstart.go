package entry

import (
	"context"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/freshness"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

const (
	// copyTimeout is how long a host that starts waits for the copy of a host with more processors before it reads the store
	// itself. A configuration of 1,890 rules takes 0.6 s from the store on a link of 10 Mbit/s, and 0.05 s compressed.
	copyTimeout = 250 * time.Millisecond
	// hostListTimeout is how long it waits for the list of hosts; the store answers within 20 ms unless it is slow or down.
	hostListTimeout = 60 * time.Millisecond
	// copyCheckInterval is the pause between two checks whether the copy has arrived.
	copyCheckInterval = 10 * time.Millisecond
	// copyCallTimeout limits a call for a copy, so that a host that is still down is called again soon.
	copyCallTimeout = 400 * time.Millisecond
	// configurationWait is how long a called host waits for a configuration. It is shorter than the call, so that the caller still
	// gets the targets if there is none.
	configurationWait = 300 * time.Millisecond
)

// fetchAtStart fetches the state of the hosts in the same data centre that read the store first, until this host is ready. It
// does nothing on hosts that are among them, and where no host has more processors: hosts of equal size read the store
// equally fast.
func (ln *link) fetchAtStart(ctx context.Context) {
	for !ln.hostListLoaded() {
		if !sleep(ctx, copyCheckInterval) || ln.entry.state.ready() {
			return
		}
	}
	for _, source := range ln.startSources() {
		go ln.fetchUntilReady(ctx, source.Address)
	}
}

// fetchUntilReady calls the host at the address until this host is ready. The pauses grow, since that host may be down, or lack the
// targets, for long, and many hosts may start.
func (ln *link) fetchUntilReady(ctx context.Context, address string) {
	for pause := copyCheckInterval; !ln.entry.state.ready(); {
		call, cancel := context.WithTimeout(ctx, copyCallTimeout)
		ln.fetch(call, address, &fetchOptions{await: true, maxAge: true})
		cancel()
		if !sleep(ctx, pause) {
			return
		}
		limit := readCheckInterval
		if ln.entry.elapsed() >= seedDelay {
			limit = maxBackoff
		}
		pause = min(2*pause, limit)
	}
}

// startSources returns the first startReaders hosts of the data centre that have more processors than this host; none while
// the list of hosts is not known or when this host is one of the first.
func (ln *link) startSources() []relay.Host {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if !ln.listLoaded || ln.node.Rank() < startReaders {
		return nil
	}
	var sources []relay.Host
	for _, hs := range ln.node.First(startReaders) {
		if hs.Processors > ln.self.Processors {
			sources = append(sources, hs)
		}
	}
	return sources
}

// awaitCopy waits for the copy that fetchAtStart fetches, if there is a host to fetch it from. It spares the store most of the
// reads of a fleet that starts at once, and slow links the answers.
func (en *Entry) awaitCopy(ctx context.Context) {
	for !en.state.ready() && en.elapsed() < copyTimeout {
		if en.link.hostListLoaded() && len(en.link.startSources()) == 0 ||
			!en.link.hostListLoaded() && en.elapsed() >= hostListTimeout || !sleep(ctx, copyCheckInterval) {
			return
		}
	}
}

// awaitConfiguration waits until a configuration is active, up to configurationWait or until the context ends.
func (st *state) awaitConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configurationWait)
	defer cancel()
	select {
	case <-st.configurationLoaded:
	case <-ctx.Done():
	}
}

// isTooOld reports whether the configuration or the targets in the answer are too old to be relied on. A host of an earlier version
// states no age.
func isTooOld(answer *siblings.State) bool {
	return len(answer.Configuration) > 0 && freshness.TooOldAge(freshness.Configuration, answer.ConfigurationAge) ||
		len(answer.AllTargets) > 0 && freshness.TooOldAge(freshness.Targets, answer.TargetsAge)
}

// recordFetched records the age of the state that this host has fetched from another one; the call started at the time.
func (ln *link) recordFetched(answer *siblings.State, started time.Duration) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	record := func(stream freshness.Stream, data []byte, age time.Duration) {
		switch {
		case len(data) == 0:
		case age > 0:
			ln.tracker.RecordFetched(stream, started-age)
		default:
			ln.tracker.RecordFetchedWithoutAge(stream)
		}
	}
	configurationAge := answer.ConfigurationAge
	if answer.Evacuations == nil && ln.entry.evacuations.seen() {
		// A host that has not seen the evacuations that this host has seen states no age of them; see announce.
		configurationAge = 0
	}
	record(freshness.Configuration, answer.Configuration, configurationAge)
	record(freshness.Targets, answer.AllTargets, answer.TargetsAge)
}
