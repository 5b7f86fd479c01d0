package entry

import (
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/internal/siblings"
	"github.com/chestnutroad/chestnutroad/platform"
)

// newUnstarted returns an entry host that is not running.
func newUnstarted(store chestnutroad.KeyedStore) *Entry {
	return New(&settings.Entry{
		ID: "host-3", DataCentre: "dc-a", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second,
	}, store, platform.Wire{}, platform.Decoder{}, log.New(io.Discard))
}

// TestAgeOfChangingState guards against an answer whose state is older than the age that it states: when a host read a change while it
// compressed its answer, the answer had the state before the change and the age of the read after it.
func TestAgeOfChangingState(t *testing.T) {
	t.Parallel()
	en := newUnstarted(nil)
	// The compression takes some 50 ms, or 700 ms with the race detector.
	text := make([]byte, 4<<20)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(text)
	for index := range text {
		text[index] &= 15
	}
	en.state.activateIfNewer(&chestnutroad.Configuration{Version: 3}, text)
	en.link.recordRead(freshness.Configuration, en.elapsed())
	const since = 1500 * time.Millisecond
	time.Sleep(since)
	answers := make(chan *siblings.State, 1)
	go func() { answers <- en.link.State(t.Context(), &siblings.StateRequest{}) }()
	time.Sleep(20 * time.Millisecond)
	en.state.activateIfNewer(&chestnutroad.Configuration{Version: 4}, nil)
	en.link.recordRead(freshness.Configuration, en.elapsed())
	if len(answers) > 0 {
		t.Fatal("the compression ended before the change")
	}
	answer := <-answers
	if answer.Version != 3 {
		t.Fatalf("got version %d: the change was read before or after the compression", answer.Version)
	}
	if answer.ConfigurationAge < since {
		t.Errorf("a version that was read %s before the call has the age %s", since, answer.ConfigurationAge)
	}
}
