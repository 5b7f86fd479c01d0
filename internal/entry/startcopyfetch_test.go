package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/relay"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
	"github.com/chestnutroad/chestnutroad/platform"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const (
	// startAddressGroup separates the addresses of these tests from those of other tests.
	startAddressGroup = 178
	startPeerPort     = 17340
	// emptyConfiguration is a configuration without rules.
	emptyConfiguration = `{"version":3,"limits":{"max_header_bytes":16384,"max_body_bytes":4096,` +
		`"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
)

// lastStartAddress is the number of the last address that was used.
var lastStartAddress atomic.Int64

func startAddress() netip.AddrPort {
	return netip.AddrPortFrom(standin.Loopback(startAddressGroup, byte(lastStartAddress.Add(1))), startPeerPort)
}

// slowStore lists two larger hosts. It answers reads of all records of other streams with none, after the delay; each of them fails
// after the delay if failing is true.
type slowStore struct {
	larger  []netip.AddrPort
	delay   time.Duration
	failing bool
	// reads counts the reads of the whole configuration.
	reads atomic.Int64
}

// Newest returns the list of hosts, or no records after the delay.
func (ss *slowStore) Newest(
	ctx context.Context, stream chestnutroad.KeyedStream, _ chestnutroad.PageOptions,
) (chestnutroad.KeyedBatch, error) {
	var batch chestnutroad.KeyedBatch
	if stream == chestnutroad.KeyedHosts {
		for index, address := range ss.larger {
			id := chestnutroad.HostID([]string{"host-1", "host-2"}[index])
			value, err := json.Marshal(relay.Host{ID: id, DataCentre: "dc-a", Address: address.String(), Processors: 4})
			if err != nil {
				return batch, err
			}
			batch.Records = append(batch.Records, chestnutroad.KeyedRecord{Key: string(id), Value: value})
		}
		return batch, nil
	}
	if stream == chestnutroad.KeyedConfiguration {
		ss.reads.Add(1)
	}
	if !sleep(ctx, ss.delay) {
		return batch, ctx.Err()
	}
	if ss.failing {
		return batch, io.ErrUnexpectedEOF
	}
	batch.Next = chestnutroad.Position{Offset: 5}
	return batch, nil
}

// Read returns no records at the end of the wait.
func (ss *slowStore) Read(
	ctx context.Context, _ chestnutroad.KeyedStream, next chestnutroad.Position, wait time.Duration,
) (chestnutroad.KeyedBatch, error) {
	sleep(ctx, wait)
	return chestnutroad.KeyedBatch{Next: next}, ctx.Err()
}

// Put does nothing.
func (ss *slowStore) Put(context.Context, chestnutroad.KeyedStream, string, []byte) error { return nil }

// PutAt does nothing.
func (ss *slowStore) PutAt(
	_ context.Context, _ chestnutroad.KeyedStream, _ string, _ []byte, end chestnutroad.Position,
) (chestnutroad.Position, error) {
	return end, nil
}

// largerHost answers state calls after the delay, with what it has.
type largerHost struct {
	answer siblings.State
	delay  time.Duration
	calls  atomic.Int64
}

// State returns the answer.
func (lh *largerHost) State(ctx context.Context, _ *siblings.StateRequest) *siblings.State {
	lh.calls.Add(1)
	sleep(ctx, lh.delay)
	answer := lh.answer
	return &answer
}

// startSmall starts the larger host and a small host, whose store has the delay, and returns the small host.
func startSmall(t *testing.T, larger *largerHost, store *slowStore) *Entry {
	t.Helper()
	store.larger = []netip.AddrPort{startAddress(), startAddress()}
	own := startAddress()
	go func() { _ = siblings.Serve(t.Context(), store.larger[0].String(), larger) }()
	en := New(&settings.Entry{
		ID: "host-3", DataCentre: "dc-a", CallerAddress: netip.AddrPortFrom(own.Addr(), 1), PeerPort: startPeerPort, Processors: 0.1,
		RetryWindow: time.Second,
	}, store, platform.Wire{}, platform.Decoder{}, log.New(io.Discard))
	go func() { _ = en.link.run(t.Context()) }()
	go en.followStore(t.Context())
	return en
}

// awaitReady waits until the host is ready, and reports whether it is within the time.
func awaitReady(en *Entry, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if en.state.ready() {
			return true
		}
	}
	return false
}

func copyWithAge(age time.Duration) siblings.State {
	return siblings.State{
		Version: 3, Configuration: siblings.NewCompressed([]byte(emptyConfiguration)).Data(), ConfigurationAge: age,
		Position: chestnutroad.Position{Offset: 3}, AllTargets: siblings.NewCompressedRecords(nil).Data(), TargetsAge: age,
	}
}

// TestOutdatedCopyAtStart guards against a host that starts with the copy of a host that is cut off from the store, although it can read
// the store itself: it then served requests by a configuration and targets that were minutes old. It uses such a copy only when
// the store fails.
func TestOutdatedCopyAtStart(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		age     time.Duration
		failing bool
		want    bool
	}{
		{"fresh", 300 * time.Millisecond, false, true},
		{"of an earlier version", 0, false, true},
		{"outdated", time.Minute, false, false},
		{"outdated, the store fails", time.Minute, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			store := &slowStore{delay: 400 * time.Millisecond, failing: tc.failing}
			en := startSmall(t, &largerHost{answer: copyWithAge(tc.age)}, store)
			// A second after the start, the copy may be used in any case.
			if got := awaitReady(en, 800*time.Millisecond); got != tc.want {
				t.Errorf("the copy was used: %t, want %t", got, tc.want)
			}
		})
	}
}

// TestConfigurationReadOnce guards against a host that reads the configuration from the store again after a copy from another host has
// ended its first read, while it still lacks the targets that the same answer has.
func TestConfigurationReadOnce(t *testing.T) {
	t.Parallel()
	for range 10 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			store := &slowStore{delay: 5 * time.Second}
			answer := copyWithAge(time.Millisecond)
			records := make([]chestnutroad.KeyedRecord, 1000)
			for index := range records {
				records[index] = chestnutroad.KeyedRecord{Key: string(rune('a' + index)), Value: []byte("-")}
			}
			answer.AllTargets = siblings.NewCompressedRecords(records).Data()
			en := startSmall(t, &largerHost{answer: answer, delay: 280 * time.Millisecond}, store)
			if !awaitReady(en, 2*time.Second) {
				t.Fatal("the host is not ready")
			}
			time.Sleep(50 * time.Millisecond)
			if reads := store.reads.Load(); reads > 1 {
				t.Errorf("the configuration was read %d times, want at most 1", reads)
			}
		})
	}
}

// TestCallsForCopy guards against hosts that call larger ones again and again without a pause while these have no targets: 100 hosts
// that start would call each of them some 7,600 times a second.
func TestCallsForCopy(t *testing.T) {
	t.Parallel()
	answer := copyWithAge(100 * time.Millisecond)
	answer.AllTargets, answer.Position = nil, chestnutroad.Position{}
	larger := &largerHost{answer: answer}
	startSmall(t, larger, &slowStore{delay: time.Minute})
	time.Sleep(time.Second)
	if calls := larger.calls.Load(); calls < 2 || calls > 20 {
		t.Errorf("the larger host was called %d times in the first second, want 2 to 20", calls)
	}
}

// TestTargetsWithoutConfiguration guards against a called host that waits for its configuration until the call has timed out, so that
// the caller does not even get the targets.
func TestTargetsWithoutConfiguration(t *testing.T) {
	t.Parallel()
	larger := newUnstarted()
	larger.resetTargets(nil, chestnutroad.Position{Offset: 1}, "store")
	address := startAddress().String()
	go func() { _ = siblings.Serve(t.Context(), address, larger.link) }()
	en := newUnstarted()
	for range 3 {
		// The first calls may come before the larger host listens.
		time.Sleep(50 * time.Millisecond)
		call, cancel := context.WithTimeout(t.Context(), copyCallTimeout)
		en.link.fetch(call, address, &fetchOptions{await: true})
		cancel()
	}
	if !en.state.targetsLoaded.Load() {
		t.Error("the targets were not fetched")
	}
}
