package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestCutOffAnswersRequests guards against connections that the end of the grace period closes without any answer.
func TestCutOffAnswersRequests(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		path string
		// gap is the time until the target's answer; zero means never.
		gap    time.Duration
		status int
	}{
		{"no answer", standin.PatientPath + "x", 0, http.StatusBadGateway},
		{"repeatable request without an answer", standin.PatientStockPath + "x", 0, http.StatusBadGateway},
		{"stream without an event", "/once/x", 0, http.StatusBadGateway},
		{"answer in time", "/order/x", 300 * time.Millisecond, http.StatusOK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1")
			desk, other, model := st.runner("i-1", "desk"), st.runner("i-2", "desk"), st.runner("i-3", "model")
			for _, rn := range []*standin.Runner{desk, other, model} {
				if rn.Gap = tc.gap; tc.gap == 0 {
					rn.SetDefault(standin.Hang)
				}
			}
			ht := st.start("host-1", true, func(set *settings.Entry) { set.Grace = 1500 * time.Millisecond })
			answered := make(chan reply, 1)
			go func() {
				answered <- ht.call(t.Context(), standin.Call{
					Method: http.MethodPost, Path: tc.path, ID: "r-1", Key: "k-1", Body: "b", Budget: 5 * time.Second,
				})
			}()
			ht.eventually(time.Second, "the host has the request", func() bool {
				return len(desk.Runs())+len(model.Runs())+len(other.Runs()) > 0
			})
			ht.stop()
			got := <-answered
			if got.err != nil || got.status != tc.status {
				t.Errorf("got status %d %q, %v\n%s", got.status, got.body, got.err, ht.log)
			}
		})
	}
}

// TestGraceChangesDuringDrain guards against a stop that takes longer than a grace period that was shortened in the drain, or than
// the one at the start of the drain.
func TestGraceChangesDuringDrain(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		after time.Duration
		grace time.Duration
		limit time.Duration
	}{
		{"shortened at the start", 50 * time.Millisecond, 1500 * time.Millisecond, 1500 * time.Millisecond},
		{"shortened once the listener is closed", 2100 * time.Millisecond, 2900 * time.Millisecond, 2900 * time.Millisecond},
		{"lengthened", 50 * time.Millisecond, 9 * time.Second, 4 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1")
			rn := st.runner("i-1", "model")
			rn.Events, rn.Gap = 200, 50*time.Millisecond
			ht := st.start("host-1", true)
			broken := make(chan reply, 1)
			go func() {
				broken <- ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/long/x", ID: "r-1", Key: "k-1", Body: "b"})
			}()
			ht.eventually(time.Second, "the stream is running", func() bool { return len(rn.Runs()) == 1 })
			started := time.Now()
			ht.stop()
			time.Sleep(tc.after)
			changed := *ht.settings
			changed.Grace = tc.grace
			ht.running.Apply(&changed)
			<-broken
			if err := <-ht.ended; err != nil {
				t.Error(err)
			}
			ht.ended <- nil
			if took := time.Since(started); took > tc.limit {
				t.Errorf("the stop took %s, want at most %s", took, tc.limit)
			}
		})
	}
}
