package retrybudget_test

import (
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/retrybudget"
)

// TestDecaying guards against retries that amplify an overload, and against hosts with few requests that may never retry.
func TestDecaying(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		requests int
		// after is the time between the requests and the retries.
		after time.Duration
		want  int
	}{
		{"minimum rate", 0, 0, 10},
		{"ratio", 1000, 0, 100},
		{"half a window later", 1000, 5 * time.Second, 50},
		{"a window later", 1000, 10 * time.Second, 10},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			dc := retrybudget.NewDecaying(0.1, 10*time.Second, 1)
			now := time.Unix(1_000_000, 0)
			for range tc.requests {
				dc.AddRequest(now)
			}
			now = now.Add(tc.after)
			got := 0
			for dc.TakeRetry(now) && got < 1000 {
				got++
			}
			if got != tc.want {
				t.Errorf("%d retries were allowed, want %d", got, tc.want)
			}
		})
	}
}
