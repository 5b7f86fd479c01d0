package freshness_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/freshness"
)

// TestFetchedCopy guards against a host that starts with the copy of another host and then reads the store before its relay had time
// for a first beacon, or that relies on that copy for longer than on any other.
func TestFetchedCopy(t *testing.T) {
	t.Parallel()
	const fetchedAt, age = 100 * time.Millisecond, 700 * time.Millisecond
	cases := []struct {
		name   string
		now    time.Duration
		status freshness.Status
		want   freshness.Reason
	}{
		{"not ready", 120 * time.Millisecond, freshness.Status{}, freshness.NotReady},
		{"no beacon yet", 300 * time.Millisecond, freshness.Status{Ready: true}, freshness.FollowsRelay},
		{"a relay reads", 300 * time.Millisecond, freshness.Status{Ready: true, RelayFound: true, RelayFresh: true}, freshness.FollowsRelay},
		{"a relay can't read", 300 * time.Millisecond, freshness.Status{Ready: true, RelayFound: true}, freshness.RelayNotFresh},
		{"no beacon, too old", 500 * time.Millisecond, freshness.Status{Ready: true}, freshness.NoRelay},
		{"a relay reads, too old", 500 * time.Millisecond, freshness.Status{Ready: true, RelayFound: true, RelayFresh: true}, freshness.TooOld},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := freshness.New()
			tr.RecordFetched(freshness.Configuration, fetchedAt-age)
			if got := tr.Decide(tc.now, freshness.Configuration, freshness.Held{Version: 3}, &tc.status); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
	tr := freshness.New()
	tr.RecordFetched(freshness.Configuration, fetchedAt-age)
	tr.RecordRead(freshness.Configuration, fetchedAt)
	if got := tr.Decide(300*time.Millisecond, freshness.Configuration, freshness.Held{}, &freshness.Status{Ready: true}); got != freshness.NoRelay {
		t.Errorf("after a read of its own: got %s, want NoRelay", got)
	}
}

// TestOwnAgeOfFetchedCopy guards against a relay that has fetched an old copy at its start and, before its first read of the store, states
// the time since its start as the age of that read.
func TestOwnAgeOfFetchedCopy(t *testing.T) {
	t.Parallel()
	const now = 500 * time.Millisecond
	cases := []struct {
		name    string
		prepare func(tr *freshness.Tracker)
		want    time.Duration
	}{
		{"nothing read", func(*freshness.Tracker) {}, now},
		{"older copy", func(tr *freshness.Tracker) { tr.RecordFetched(freshness.Targets, -time.Second) }, now + time.Second},
		{"copy read since the start", func(tr *freshness.Tracker) {
			tr.RecordFetched(freshness.Targets, 200*time.Millisecond)
		}, now},
		{"older copy, then a read", func(tr *freshness.Tracker) {
			tr.RecordFetched(freshness.Targets, -time.Second)
			tr.RecordRead(freshness.Targets, 300*time.Millisecond)
		}, 200 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tr := freshness.New()
			tc.prepare(tr)
			if got := tr.OwnAge(now, freshness.Targets); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}
