package entry

import (
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

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

// TestElapsedCountsSuspension guards against a host that states an age of its reads that lacks the time in which it was suspended.
func TestElapsedCountsSuspension(t *testing.T) {
	t.Parallel()
	const suspended = time.Hour
	cases := []struct {
		name string
		// failFrom is the reading of the system's clock from which on all fail; zero means that none does.
		failFrom int
		// atLeast and below bound the time that the clock shows afterwards.
		atLeast, below time.Duration
	}{
		{"clock that counts it", 0, suspended, suspended + time.Minute},
		{"no such clock", 1, 1, time.Minute},
		{"a clock that can't be read any more", 2, 1, time.Minute},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			reading, count := 5*time.Hour, 0
			elapsed := newElapsedClock(func() (time.Duration, error) {
				count++
				if tc.failFrom > 0 && count >= tc.failFrom {
					return 0, errors.New("no such clock")
				}
				return reading, nil
			})
			reading += suspended
			if got := elapsed(); got < tc.atLeast || got >= tc.below {
				t.Errorf("%s have passed, want %s to %s", got, tc.atLeast, tc.below)
			}
		})
	}
}

// TestBootClock guards against a clock of the system that is not the one that counts suspensions, which is that of /proc/uptime.
func TestBootClock(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile("/proc/uptime")
	if err != nil {
		t.Skipf("no time since the boot to compare with: %v", err)
	}
	first, _, _ := strings.Cut(string(data), " ")
	uptime, err := strconv.ParseFloat(first, 64)
	if err != nil {
		t.Fatal(err)
	}
	reading, err := readBootClock()
	if err != nil {
		t.Fatal(err)
	}
	if later := reading.Seconds() - uptime; later < 0 || later > 5 {
		t.Errorf("the clock shows %s, %.3f s more than /proc/uptime just before", reading, later)
	}
}
