package entry

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestClosingConnection guards against forwarding a request whose connection is being closed as idle: the target would run
// it and its answer would be lost.
func TestClosingConnection(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		state   http.ConnState
		idle    time.Duration
		closing bool
	}{
		{"idle for a long time", http.StateIdle, time.Minute, true},
		{"opened long ago without a request", http.StateNew, time.Minute, true},
		{"idle for a short time", http.StateIdle, time.Millisecond, false},
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
				t.Errorf("closing is %t, want %t", got, tc.closing)
			}
			if (open == 0) != tc.closing {
				t.Errorf("%d connections stay open", open)
			}
		})
	}
}
