package entry_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestIncompleteAnswerReason guards against an answer that ends early without a log line and a metric that say why.
func TestIncompleteAnswerReason(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name      string
		behaviour standin.Behaviour
		// cause runs once the target has the request.
		cause  func(ht *host, cancel func())
		reason string
		lines  []string
	}{
		{"target breaks off", standin.Cut, func(*host, func()) {}, "StreamBroken", nil},
		{"caller disconnects", standin.Serve, func(_ *host, cancel func()) { cancel() }, "CallerGone", nil},
		{
			"end of the grace period", standin.Serve, func(ht *host, _ func()) { ht.stop() }, "Stop",
			[]string{`"Message":"request was cut off"`},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1")
			rn := st.runner("i-1", "model")
			rn.Events, rn.Gap = 60, 50*time.Millisecond
			rn.SetNext(tc.behaviour)
			ht := st.start("host-1", true, func(set *settings.Entry) { set.Grace = 1500 * time.Millisecond })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan reply, 1)
			go func() {
				ended <- ht.call(ctx, standin.Call{Method: http.MethodPost, Path: "/once/x", ID: "r-1", Key: "k-1", Body: "b"})
			}()
			ht.eventually(time.Second, "the target has the request", func() bool { return len(rn.Runs()) == 1 })
			tc.cause(ht, cancel)
			if got := <-ended; got.err == nil {
				t.Fatalf("got the complete answer %d %q", got.status, got.body)
			}
			ht.eventually(time.Second, "the log has the reason", func() bool {
				return strings.Contains(ht.log.line(`"Message":"request",`), `"Incomplete":"`+tc.reason+`"`)
			})
			for _, text := range tc.lines {
				if ht.log.line(text) == "" {
					t.Errorf("the log has no line with %s:\n%s", text, ht.log)
				}
			}
		})
	}
}
