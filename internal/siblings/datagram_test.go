package siblings_test

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
)

// TestDatagrams guards against messages that are decoded with other contents, and against counts sent without compression:
// at 3,000 targets those of one host, nearly all of them zero, take 4 KB, sent seven times a second.
func TestDatagrams(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 1))
	position := chestnutroad.Position{Era: 3, Offset: 100_000}
	cases := []struct {
		name    string
		targets int
		// busyShare is the share of targets with requests, maxCount the most requests at one target.
		busyShare float64
		maxCount  int
		// maxSize is the limit of the datagram in bytes.
		maxSize int
	}{
		{"no targets", 0, 0, 0, 250},
		{"few targets", 12, 1, 200, 300},
		{"one host's own requests", 3000, 0.003, 2, 400},
		{"all hosts' requests", 3000, 0.9, 12, 2500},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			counts := make([]byte, tc.targets)
			for index := range counts {
				if rng.Float64() < tc.busyShare {
					counts[index] = byte(1 + rng.IntN(tc.maxCount))
				}
			}
			notices := make([]relay.Notice, tc.targets/2)
			for index := range notices {
				if rng.Float64() < 0.01 {
					notices[index] = relay.Leaving
				}
			}
			residences := []chestnutroad.Residence{{Part: 1<<63 + 5, Target: 1<<31 + 9}, {Part: 3, Target: 4}}
			receiver, err := siblings.ListenDatagrams(netip.MustParseAddrPort("127.0.0.1:0"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = receiver.Close() }()
			sender, err := siblings.ListenDatagrams(netip.MustParseAddrPort("127.0.0.1:0"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = sender.Close() }()
			// The second message shows that the reused compressor keeps nothing of the first.
			for range 2 {
				size, err := sender.Send([]relay.Send{{Address: receiver.Address().String(), Message: relay.Message{
					Kind: relay.Report, From: "host-1", DataCentre: "dc-a", Version: 12, Position: position, List: 1<<64 - 1, Counts: counts,
					Notices: notices, Residences: residences,
				}}})
				if err != nil || size > tc.maxSize {
					t.Fatalf("sent %d bytes, want at most %d: %v", size, tc.maxSize, err)
				}
				message, _, err := receiver.Receive(siblings.NewBuffer())
				if err != nil {
					t.Fatal(err)
				}
				if !bytes.Equal(message.Counts, counts) || !bytes.Equal(message.Notices, notices) ||
					!slices.Equal(message.Residences, residences) || message.Position != position {
					t.Errorf("got %+v", message)
				}
			}
		})
	}
}
