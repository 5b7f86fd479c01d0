package entry

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// registrationsPerSecond is how many hosts together register again in a second after the store lost their entries; the
	// smallest installations allow 400 writes a second.
	registrationsPerSecond = 100
	// minSpread is the least time over which the hosts spread it, since the store may just have come back.
	minSpread = 500 * time.Millisecond
)

// scheduleReregistration writes the host's entry of the list of hosts once more: the store may have lost it.
func (ln *link) scheduleReregistration() {
	ln.mu.Lock()
	spread := max(minSpread, time.Duration(len(ln.hosts)+1)*time.Second/registrationsPerSecond)
	ln.mu.Unlock()
	select {
	case ln.reregister <- time.Duration(rand.Int64N(int64(spread))):
	default:
		// A registration that is due already will be made in the new era.
	}
}

// reregisterLoop registers the host again after each loss until ctx ends.
func (ln *link) reregisterLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case wait := <-ln.reregister:
			for pause := wait; sleep(ctx, pause) && !ln.putSelf(ctx); {
				pause = registerRetry
			}
		}
	}
}
