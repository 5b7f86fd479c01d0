package entry

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// registersPerSecond is how many hosts together register again in a second after the store lost their entries; the
	// smallest installations allow 400 writes a second.
	registersPerSecond = 100
	// leastSpread is the least time over which the hosts spread it, since the store may just have come back.
	leastSpread = 500 * time.Millisecond
)

// registerAgain writes the host's entry of the list of hosts once more: the store may have lost it.
func (ln *link) registerAgain() {
	ln.mu.Lock()
	spread := max(leastSpread, time.Duration(len(ln.hosts)+1)*time.Second/registersPerSecond)
	ln.mu.Unlock()
	select {
	case ln.lost <- time.Duration(rand.Int64N(int64(spread))):
	default:
		// A registration that is due already will be made in the new era.
	}
}

// keepRegistered registers the host again after each loss until ctx ends.
func (ln *link) keepRegistered(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case wait := <-ln.lost:
			for pause := wait; sleep(ctx, pause) && !ln.putSelf(ctx); {
				pause = registerRetry
			}
		}
	}
}
