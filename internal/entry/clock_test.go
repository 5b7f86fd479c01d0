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

// TestFreshWhenTheClockIsSet guards against a host whose clock is set back and that then counts as reading the store for
// as long as the clock was set back, so that its data centre misses changes while the store turns it away.
func TestFreshWhenTheClockIsSet(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		step    time.Duration
		elapsed time.Duration
		want    bool
	}{
		{"calm, just read", 0, 100 * time.Millisecond, true},
		{"calm, read long ago", 0, 3 * time.Second, false},
		{"set back, read long ago", -40 * time.Minute, 3 * time.Second, false},
		{"set ahead, just read", 40 * time.Minute, 100 * time.Millisecond, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			en := New(&settings.Entry{
				ID: "host-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second,
			}, nil, platform.Wire{}, platform.Decoder{}, log.New(io.Discard))
			wall, even := time.Unix(1e9, 0), time.Minute
			en.now = func() time.Time { return wall }
			en.elapsed = func() time.Duration { return even }
			en.noteRead(true)
			wall, even = wall.Add(tc.step+tc.elapsed), even+tc.elapsed
			if got := en.localStatus().Fresh; got != tc.want {
				t.Errorf("fresh is %t, want %t", got, tc.want)
			}
		})
	}
}
