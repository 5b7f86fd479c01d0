package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// confirmTimeout limits how long a starting host waits for the configuration of other hosts; it is not ready until then.
	confirmTimeout = time.Second
	// confirmHosts is the number of hosts that are called, several since listed hosts may be dead.
	confirmHosts = 5
	// confirmInterval is the pause between two checks whether the list of hosts was read.
	confirmInterval = 20 * time.Millisecond
)

// confirmConfiguration fetches the state of other hosts before a starting host activates the store's configuration. A store
// that came back from an older copy may hold an earlier version than other hosts until the operator writes the newer one
// again. A store of era zero was never restored, so that the host does not wait.
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

// hostListLoaded reports whether the list of hosts was read from the store.
func (ln *link) hostListLoaded() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.listLoaded
}

// randomAddresses returns the addresses of up to count other hosts in random order, or of seeds when the list of hosts is
// empty.
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
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(count, len(addresses))]
}
