package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestUnreachableTargetsAreLogged guards against refusals whose cause can't be found in the log: requests that have no target
// left because a data centre can't be reached, without a line that says so.
func TestUnreachableTargetsAreLogged(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	for index := range 3 {
		rn := st.runner(fmt.Sprintf("i-%d", index), "desk")
		rn.Close()
	}
	ht := st.start("host-1", true)
	for _, id := range []string{"r-1", "r-2"} {
		got := ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: id, Key: "k-1", Body: "b"})
		if got.status != http.StatusServiceUnavailable {
			t.Errorf("%s got status %d, want 503", id, got.status)
		}
	}
	text := ht.log.String()
	cases := []struct {
		text  string
		count int
	}{
		{`"Message":"target can't be reached"`, 3},
		{`"Message":"data centre can't be reached"`, 1},
		{`"Known":3,"Leaving":0,"Closed":3`, 2},
	}
	for _, tc := range cases {
		if got := strings.Count(text, tc.text); got != tc.count {
			t.Errorf("the log contains %q %d times, want %d\n%s", tc.text, got, tc.count, text)
		}
	}
}

// TestPartitionResetsKeptConnections guards against orders that are lost one after the other when a data centre is cut off:
// each is sent on a kept connection to the next target, where it may have run and so can't be retried (incident inc-1c27).
func TestPartitionResetsKeptConnections(t *testing.T) {
	t.Parallel()
	const count = 4
	st := newSite(t)
	st.store.Configure(3, 1, "k-1", "k-2")
	runners := make([]*standin.Runner, 0, count)
	for index := range count {
		rn := st.runner(fmt.Sprintf("i-%d", index), "desk")
		st.store.PutTarget(rn.ID, rn.Entry("desk", "dc-b", "ready"))
		rn.Gap = 50 * time.Millisecond
		runners = append(runners, rn)
	}
	ht := st.start("host-1", true)
	order := func(id string) reply {
		return ht.call(t.Context(), standin.Call{Method: http.MethodPost, Path: "/order/x", ID: id, Key: "k-1", Body: "b"})
	}
	var group sync.WaitGroup
	for index := range 10 * count {
		group.Go(func() { order(fmt.Sprintf("warm-%d", index)) })
	}
	group.Wait()
	for _, rn := range runners {
		if rn.Opened() == 0 {
			t.Fatalf("%s has no connection after the warm-up", rn.ID)
		}
		rn.Drop()
	}
	statuses := map[int]int{}
	for index := range 2 * count {
		statuses[order(fmt.Sprintf("cut-%d", index)).status]++
	}
	if statuses[http.StatusBadGateway] > 1 || statuses[http.StatusServiceUnavailable] < 2*count-1 {
		t.Errorf("got counts of statuses %v, want at most one 502 and otherwise 503\n%s", statuses, ht.log)
	}
}
