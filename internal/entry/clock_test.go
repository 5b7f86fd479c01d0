package entry

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform"
)

// TestFreshAfterClockStep guards against a host that announces that it reads the store for as long as its clock was set
// back, although its reads fail, so that its data centre misses changes.
func TestFreshAfterClockStep(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		step    time.Duration
		elapsed time.Duration
		want    bool
	}{
		{"clock unchanged, just read", 0, 100 * time.Millisecond, true},
		{"clock unchanged, read long ago", 0, 3 * time.Second, false},
		{"set back, read long ago", -40 * time.Minute, 3 * time.Second, false},
		{"set ahead, just read", 40 * time.Minute, 100 * time.Millisecond, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			en := New(&settings.Entry{
				ID: "host-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second,
			}, nil, platform.Wire{}, platform.Decoder{}, log.New(io.Discard))
			wall, elapsed := time.Unix(1e9, 0), time.Minute
			en.now = func() time.Time { return wall }
			en.elapsed = func() time.Duration { return elapsed }
			en.recordStoreRead(true)
			wall, elapsed = wall.Add(tc.step+tc.elapsed), elapsed+tc.elapsed
			if got := en.localStatus().Fresh; got != tc.want {
				t.Errorf("fresh is %t, want %t", got, tc.want)
			}
		})
	}
}
