package entry

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/resumption"
)

// TestHandedStartsOfFailedRelay guards against streams that nobody writes to the log, since the relay that took them failed before it had
// appended them.
func TestHandedStartsOfFailedRelay(t *testing.T) {
	t.Parallel()
	const now = time.Minute
	cases := []struct {
		name  string
		age   time.Duration
		relay string
		want  int
	}{
		{"same relay", time.Second, "relay-1", 0},
		{"other relay", time.Second, "relay-2", 1},
		{"no relay", time.Second, "", 1},
		{"appended long ago", handedMemory + time.Second, "relay-2", 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			sv := newStreamVersions(nil)
			sv.tracker.Observe(now, "model", "v2")
			sv.tracker.Begin(now-tc.age, resumption.Start{Service: "model", Version: "v1", Stream: 1})
			sv.handed = []handedStarts{{at: now - tc.age, starts: sv.tracker.TakeUnwritten(now)}}
			sv.handedTo = "relay-1"
			sv.returnHanded(now, tc.relay)
			if got := sv.tracker.TakeUnwritten(now); len(got) != tc.want {
				t.Errorf("got %v, want %d streams to be written", got, tc.want)
			}
			sv.returnHanded(now, tc.relay)
			if got := sv.tracker.TakeUnwritten(now); len(got) != 0 {
				t.Errorf("got %v again", got)
			}
		})
	}
}
