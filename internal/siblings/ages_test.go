package siblings_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

// TestAges guards against the age of a read that arrives as a lower one, so that hosts rely on the read for too long: ages are
// rounded up, and one that is too high for its field does not start again from zero.
func TestAges(t *testing.T) {
	t.Parallel()
	cases := []struct{ configuration, targets, wantConfiguration, wantTargets time.Duration }{
		{0, 0, 0, 0},
		{0, 700 * time.Millisecond, 0, 700 * time.Millisecond},
		{345_000_001, time.Nanosecond, 346 * time.Millisecond, time.Millisecond},
		{70 * time.Second, 300 * time.Hour, 65535 * time.Millisecond, 65535 * time.Millisecond},
	}
	socket, err := siblings.ListenDatagrams(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	for _, tc := range cases {
		beacon := relay.Message{Kind: relay.Beacon, From: "host-1", ConfigurationAge: tc.configuration, TargetsAge: tc.targets}
		if _, err := socket.Send([]relay.Send{{Address: socket.Address().String(), Message: beacon}}); err != nil {
			t.Fatal(err)
		}
		got, _, err := socket.Receive(siblings.NewBuffer())
		if err != nil {
			t.Fatal(err)
		}
		if got.ConfigurationAge != tc.wantConfiguration || got.TargetsAge != tc.wantTargets {
			t.Errorf("sent %s and %s, got %s and %s", tc.configuration, tc.targets, got.ConfigurationAge, got.TargetsAge)
		}
	}
}
