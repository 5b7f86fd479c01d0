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
func newUnstarted() *Entry {
	return New(&settings.Entry{
		ID: "host-3", DataCentre: "dc-a", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second,
	}, nil, platform.Wire{}, platform.Decoder{}, log.New(io.Discard))
}

// TestAgeOfChangingState guards against an answer whose state is older than the age that it states: when a host read a change while it
// compressed its answer, the answer had the state before the change and the age of the read after it.
func TestAgeOfChangingState(t *testing.T) {
	t.Parallel()
	en := newUnstarted()
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

// TestAgeWithoutRead guards against a host that states its uptime as the age of a copy whose age it does not know, as it comes from a
// host of an earlier version, which may be cut off from the store. A host that reads the store states an age at once, so that hosts
// that wait for its copy don't read the store as well.
func TestAgeWithoutRead(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		fetch *siblings.State
		read  bool
		// want states whether ages are known.
		want bool
	}{
		{"read, not recorded yet", nil, false, true},
		{"read", nil, true, true},
		{"fetched without ages", &siblings.State{Configuration: []byte{1}, AllTargets: []byte{1}}, false, false},
		{"fetched without ages, then read", &siblings.State{Configuration: []byte{1}, AllTargets: []byte{1}}, true, true},
		{"fetched with ages", &siblings.State{
			Configuration: []byte{1}, ConfigurationAge: time.Minute, AllTargets: []byte{1}, TargetsAge: time.Minute,
		}, false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			en := newUnstarted()
			if tc.fetch != nil {
				en.link.recordFetched(tc.fetch, en.elapsed())
			}
			en.state.activateIfNewer(&chestnutroad.Configuration{Version: 3}, nil)
			en.resetTargets(nil, chestnutroad.Position{Offset: 1}, "host")
			if tc.read {
				en.link.recordRead(freshness.Configuration, en.elapsed())
				en.link.recordRead(freshness.Targets, en.elapsed())
			}
			answer := en.link.State(t.Context(), &siblings.StateRequest{})
			if answer.ConfigurationAge > 0 != tc.want || answer.TargetsAge > 0 != tc.want {
				t.Errorf("got ages %s and %s, want known ages: %t", answer.ConfigurationAge, answer.TargetsAge, tc.want)
			}
		})
	}
}

// TestAgeWithoutEvacuations guards against a host that relies on a list of evacuations because another host, which has seen none, states
// the age of its configuration: the list may have come from a host that is cut off from the store.
func TestAgeWithoutEvacuations(t *testing.T) {
	t.Parallel()
	list := &chestnutroad.EvacuationList{
		Position: chestnutroad.Position{Offset: 7}, DataCentres: []chestnutroad.DataCentreID{"dc-b"},
	}
	cases := []struct {
		name          string
		held, fetched *chestnutroad.EvacuationList
		want          bool
	}{
		{"none seen", nil, nil, true},
		{"seen here only", list, nil, false},
		{"seen there only", nil, list, true},
		{"seen by both", list, list, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			en := newUnstarted()
			en.evacuations.merge(tc.held, "host-1")
			en.link.recordFetched(&siblings.State{
				Configuration: []byte{1}, ConfigurationAge: time.Millisecond, Evacuations: tc.fetched,
			}, en.elapsed())
			if got := en.link.State(t.Context(), &siblings.StateRequest{}).ConfigurationAge > 0; got != tc.want {
				t.Errorf("the age is known: %t, want %t", got, tc.want)
			}
		})
	}
}
