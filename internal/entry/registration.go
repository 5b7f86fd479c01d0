package entry

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// registrationsPerSecond limits how many hosts in total register again in a second after the store lost their entries;
	// the smallest installations allow 400 writes a second.
	registrationsPerSecond = 100
	// minSpread is the minimum time over which the registrations are spread, since the store may have only just returned.
	minSpread = 500 * time.Millisecond
)

// scheduleReregistration schedules another write of the host's entry in the list of hosts, which the store may have lost,
// after a random delay.
func (ln *link) scheduleReregistration() {
	ln.mu.Lock()
	spread := max(minSpread, time.Duration(len(ln.hosts)+1)*time.Second/registrationsPerSecond)
	ln.mu.Unlock()
	select {
	case ln.reregister <- time.Duration(rand.Int64N(int64(spread))):
	default:
		// A pending registration will be written in the new era.
	}
}

// reregisterLoop runs the scheduled registrations until ctx ends, and retries those that fail.
func (ln *link) reregisterLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case delay := <-ln.reregister:
			for pause := delay; sleep(ctx, pause) && !ln.putSelf(ctx); {
				pause = registerRetry
			}
		}
	}
}
