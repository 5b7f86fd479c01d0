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

// TestOrdersDuringRelayHandover guards against orders that run twice, or that run without an answer, while a host takes over
// as relay from one that stops and both relay for a short time.
func TestOrdersDuringRelayHandover(t *testing.T) {
	t.Parallel()
	st := newSite(t)
	st.store.Configure(3, 2, "k-1", "k-2")
	first, second := st.runner("i-1", "desk"), st.runner("i-2", "desk")
	hosts := []*host{st.start("host-1", true), st.start("host-2", true)}
	relays := func(ht *host) bool { return strings.Contains(ht.log.String(), `"Relaying":true`) }
	hosts[0].eventually(5*time.Second, "a host relays", func() bool { return relays(hosts[0]) || relays(hosts[1]) })
	stopping, staying := hosts[0], hosts[1]
	if relays(staying) {
		stopping, staying = staying, stopping
	}
	var mu sync.Mutex
	answered := map[string]bool{}
	done := make(chan struct{})
	var group sync.WaitGroup
	for index := range 8 {
		group.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				id := fmt.Sprintf("r-%d-%d", index, number)
				got := staying.call(t.Context(), standin.Call{
					Method: http.MethodPost, Path: "/order/x", ID: id, Key: "k-1", Body: "b", Budget: 900 * time.Millisecond,
				})
				mu.Lock()
				answered[id] = got.err == nil && got.status == http.StatusOK
				mu.Unlock()
			}
		})
	}
	stopping.stop()
	if err := <-stopping.ended; err != nil {
		t.Error(err)
	}
	stopping.ended <- nil
	staying.eventually(5*time.Second, "the other host relays", func() bool { return relays(staying) })
	close(done)
	group.Wait()
	runs := map[string]int{}
	for _, run := range append(first.Runs(), second.Runs()...) {
		runs[run.ID]++
	}
	for id, count := range runs {
		if count > 1 || !answered[id] {
			t.Errorf("order %s ran %d times, answered: %t", id, count, answered[id])
		}
	}
	if len(runs) < 100 {
		t.Errorf("only %d orders ran, want at least 100", len(runs))
	}
}
