package pool_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/pool"
)

// Guards against control traffic for unchanged loads, and against a summary that other owners ignore because it became
// too old.
func TestSummaryDue(t *testing.T) {
	last := pool.Summary{Targets: 3, Work: 100, Taken: testStart}
	cases := []struct {
		name string
		next pool.Summary
		due  bool
	}{
		{"unchanged", pool.Summary{Targets: 3, Work: 100, Taken: testStart.Add(250 * time.Millisecond)}, false},
		{"unchanged, refresh due", pool.Summary{Targets: 3, Work: 100, Taken: testStart.Add(500 * time.Millisecond)}, true},
		{"more work", pool.Summary{Targets: 3, Work: 101, Taken: testStart.Add(time.Millisecond)}, true},
		{"one target less", pool.Summary{Targets: 2, Work: 100, Taken: testStart.Add(time.Millisecond)}, true},
		{"a queue", pool.Summary{Targets: 3, Work: 100, Queued: 1, Taken: testStart.Add(time.Millisecond)}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if due := tc.next.Due(last); due != tc.due {
				t.Errorf("due %v, want %v", due, tc.due)
			}
		})
	}
}
