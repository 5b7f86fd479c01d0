package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestOpenRunIsNotCutOff guards against a run that is cut off because its target leaves, is removed from the list of targets,
// or can't be reached by other requests.
func TestOpenRunIsNotCutOff(t *testing.T) {
	t.Parallel()
	order := func(ht *host, id string) reply {
		return ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: standin.OrderPath + "x", ID: id, Key: "k-1", Body: "b"})
	}
	cases := []struct {
		name string
		// disturb runs while the target runs the request.
		disturb func(st *site, ht *host, rn *standin.Runner)
		line    string
	}{
		{"removed", func(st *site, _ *host, rn *standin.Runner) { st.store.PutTarget(rn.ID, "") }, "target gone"},
		{"leaving", func(st *site, _ *host, rn *standin.Runner) {
			st.store.PutTarget(rn.ID, rn.Entry(standin.DeskService, "dc-a", "draining"))
		}, `"Leaving":true`},
		{"unusable entry", func(st *site, _ *host, rn *standin.Runner) { st.store.PutTarget(rn.ID, "{") }, "target gone"},
		{"unreachable", func(_ *site, ht *host, rn *standin.Runner) {
			rn.Drop()
			for index := range 4 {
				order(ht, fmt.Sprintf("r-%d", index+2))
			}
		}, "target can't be reached"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			st := newSite(t)
			st.store.Configure(3, 1, "k-1", "k-2")
			rn := st.runner("i-1", standin.DeskService)
			rn.Gap = 700 * time.Millisecond
			ht := st.start("host-1", true)
			// Two requests at a time leave an idle connection beside that of the run.
			for range 2 {
				go order(ht, "w-1")
			}
			ht.eventually(3*time.Second, "the requests have run", func() bool { return len(rn.Runs()) == 2 })
			time.Sleep(rn.Gap + 100*time.Millisecond)
			ended := make(chan reply, 1)
			go func() { ended <- order(ht, "r-1") }()
			ht.eventually(time.Second, "the target runs the request", func() bool { return len(rn.Runs()) == 3 })
			tc.disturb(st, ht, rn)
			if got := <-ended; got.err != nil || got.status != http.StatusOK {
				t.Errorf("got status %d, body %q, error %v, want 200\n%s", got.status, got.body, got.err, ht.log.line(`"Request":"r-1"`))
			}
			if ht.log.line(tc.line) == "" {
				t.Errorf("the log has no line with %s\n%s", tc.line, ht.log)
			}
		})
	}
}
