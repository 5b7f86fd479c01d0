package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestRetryAfterIsSpread guards against callers that are refused together and all told to retry at the same moment, or so
// soon that they meet the same overload.
func TestRetryAfterIsSpread(t *testing.T) {
	t.Parallel()
	const callers, budget = 40, 3 * time.Second
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	st.runner("i-1", "model").SetDefault(standin.Hang)
	ht := st.start("host-1", true)
	waits := make([]time.Duration, callers)
	var running sync.WaitGroup
	for index := range callers {
		running.Go(func() {
			got := ht.call(t.Context(), standin.Call{
				Method: http.MethodPost, Path: "/once/x", ID: fmt.Sprintf("r-%d", index), Key: "k-1", Budget: budget,
			})
			if got.status == http.StatusTooManyRequests {
				seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if err != nil {
					t.Error(err)
				}
				waits[index] = time.Duration(seconds * float64(time.Second))
			}
		})
	}
	running.Wait()
	refused, late := 0, 0
	distinct := map[time.Duration]bool{}
	for _, wait := range waits {
		if wait == 0 {
			continue
		}
		refused++
		distinct[wait] = true
		if wait > budget/6 {
			late++
		}
		if wait > budget/3 {
			t.Errorf("a caller with a budget of %s is told to retry after %s, want at most a third", budget, wait)
		}
	}
	if refused < callers/2 {
		t.Fatalf("%d of %d callers were refused, want at least half\n%s", refused, callers, ht.log)
	}
	if len(distinct) < refused/2 || late < refused/2 {
		t.Errorf("%d refused callers got %d different waits, %d of them in the latter half", refused, len(distinct), late)
	}
}
