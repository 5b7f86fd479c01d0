package entry

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform"
)

// TestLeavingTargetAfterReadFailure guards against requests to a target that left without a notice, at a host whose own reads of the
// store failed a moment before while those of other hosts succeeded.
func TestLeavingTargetAfterReadFailure(t *testing.T) {
	t.Parallel()
	const tick = 150 * time.Millisecond
	cases := []struct {
		name string
		// failedAt is when the host's last failed read ended, and removedAt when it learns that the entry is gone.
		failedAt, removedAt time.Duration
		// silentFrom and silentUntil bound the time without beacons of a relay that can read the store.
		silentFrom, silentUntil time.Duration
		// least and most bound the time for which the target stays in use.
		least, most time.Duration
	}{
		{"the store turns this host away", 7 * time.Second, 7100 * time.Millisecond, 0, 0, 0, 0},
		{"one read failed", 5700 * time.Millisecond, 6 * time.Second, 0, 0, 0, 0},
		{"cut off for 2 s, the target left after the return", 7600 * time.Millisecond, 8500 * time.Millisecond, 5 * time.Second, 7 * time.Second, 0, 400 * time.Millisecond},
		{"outage of 1 s, entry gone at its end", 5950 * time.Millisecond, 6 * time.Second, 5 * time.Second, 6 * time.Second, 1500 * time.Millisecond, 1700 * time.Millisecond},
		{"outage of 1 s, entry gone after its end", 5950 * time.Millisecond, 6500 * time.Millisecond, 5 * time.Second, 6 * time.Second, 900 * time.Millisecond, 1300 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			en := New(&settings.Entry{
				ID: "host-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second, Drain: 2 * time.Second,
			}, &pagedStore{}, platform.Wire{}, platform.Decoder{}, log.New(io.Discard))
			now := time.Duration(0)
			en.elapsed = func() time.Duration { return now }
			const entry = `{"service":"desk","address":"127.0.0.1:2","zone":"dc-a","slots":8,"state":"ready","sequence":1,"born":1}`
			en.applyTargets([]chestnutroad.KeyedRecord{{Key: "i-1", Value: []byte(entry)}}, chestnutroad.Position{Offset: 1})
			for now = tick; now < tc.removedAt; now += tick {
				if now < tc.silentFrom || now >= tc.silentUntil {
					en.link.mu.Lock()
					en.link.announce(&relay.Message{Kind: relay.Beacon, Fresh: true, TargetsAge: tick})
					en.link.mu.Unlock()
				}
			}
			now = tc.failedAt
			en.recordStoreRead(false)
			now = tc.removedAt
			en.applyTargets([]chestnutroad.KeyedRecord{{Key: "i-1"}}, chestnutroad.Position{Offset: 2})
			started := time.Now()
			inUse := func() bool {
				en.state.mu.Lock()
				defer en.state.mu.Unlock()
				_, found := en.state.pool.Entry("i-1")
				return found
			}
			time.Sleep(tc.least)
			if tc.least > 0 && !inUse() {
				t.Errorf("the target is not in use %s after its entry is gone", time.Since(started))
			}
			time.Sleep(tc.most - tc.least + timerSlack)
			if inUse() {
				t.Errorf("the target is still in use %s after its entry is gone", time.Since(started))
			}
		})
	}
}

// timerSlack is how late a timer may fire on a busy machine.
const timerSlack = 200 * time.Millisecond
