package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// confirmTimeout is how long a host that starts waits for other hosts' configuration, in which it is not ready.
	confirmTimeout = time.Second
	// confirmHosts is the number of hosts that it asks: some of those listed may be dead.
	confirmHosts = 5
	// confirmInterval is the pause between two looks at whether the list of hosts was read.
	confirmInterval = 20 * time.Millisecond
)

// confirmConfiguration asks other hosts for their state before a host that starts puts the store's configuration in force. A store that
// came back from an older copy may hold an earlier version than they do until the operator writes the newer one again; one
// of era zero has lost nothing, and the host does not wait.
func (en *Entry) confirmConfiguration(ctx context.Context, era chestnutroad.Era) {
	if era == 0 || en.state.table.Load() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for !en.link.hostListLoaded() && sleep(ctx, confirmInterval) {
	}
	addresses := en.link.randomAddresses(confirmHosts)
	answers := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { answers <- en.link.fetchFrom(ctx, address) }()
	}
	for range addresses {
		select {
		case <-answers:
		case <-ctx.Done():
		}
		if en.state.table.Load() != nil {
			return
		}
	}
}

// hostListLoaded reports whether the list of hosts was read.
func (ln *link) hostListLoaded() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.listLoaded
}

// randomAddresses returns the addresses of so many other hosts, drawn at random, or of the seeds when no host is known.
func (ln *link) randomAddresses(count int) []string {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	addresses := make([]string, 0, len(ln.hosts)+len(ln.seeds))
	for _, hs := range ln.hosts {
		addresses = append(addresses, hs.Address)
	}
	if len(addresses) == 0 {
		addresses = append(addresses, ln.seeds...)
	}
	rand.Shuffle(len(addresses), func(one, two int) {
		addresses[one], addresses[two] = addresses[two], addresses[one]
	})
	return addresses[:min(count, len(addresses))]
}
