package entry

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestClosingConnection guards against a request that is passed on although its connection is being closed for idleness:
// it would run and its answer be lost (warta scale-1, journal 743ca28d).
func TestClosingConnection(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		state   http.ConnState
		idle    time.Duration
		closing bool
	}{
		{"idle for long", http.StateIdle, time.Minute, true},
		{"opened long ago, without a request", http.StateNew, time.Minute, true},
		{"idle for a moment", http.StateIdle, time.Millisecond, false},
		{"with a request", http.StateActive, time.Minute, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			near, far := net.Pipe()
			t.Cleanup(func() { _, _ = near.Close(), far.Close() })
			cc := newCallerConns()
			cc.connState(near, tc.state)
			open := cc.closeIdle(time.Now().Add(tc.idle), time.Second)
			// net/http reports the request only after the close.
			cc.connState(near, http.StateActive)
			if got := cc.closing(cc.connContext(t.Context(), near)); got != tc.closing {
				t.Errorf("closing is %t", got)
			}
			if (open == 0) != tc.closing {
				t.Errorf("%d connections stay open", open)
			}
		})
	}
}
