package target_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/engine"
	"github.com/chestnutroad/chestnutroad/internal/service"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/target"
)

// TestNotRunIsTrue cancels calls at random moments around the first write, and guards against a call that is called "not
// run" and reaches the target all the same, also after Do has returned.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	const calls = 1500
	// longest is about the time in which a call on loopback is connected and written.
	const longest = 400 * time.Microsecond
	tests := []struct {
		name   string
		client func(address string) chestnutroad.Target
		repeat chestnutroad.Repeat
	}{
		{"own connections", func(address string) chestnutroad.Target { return service.New(address) }, chestnutroad.RepeatNever},
		{"shared HTTP/1.1", func(address string) chestnutroad.Target { return service.New(address) }, chestnutroad.RepeatAllowed},
		{"shared HTTP/2", func(address string) chestnutroad.Target { return engine.New(address) }, chestnutroad.RepeatAllowed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var seen, notRun sync.Map
			server, err := standin.Start("127.0.0.1:0", standin.NewSwitches(standin.Faults{}),
				http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
					seen.Store(req.Header.Get(target.HeaderRequest), true)
					_, _ = rw.Write([]byte("{}"))
				}))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = server.Close() })
			client := test.client(server.Address())
			random := rand.New(rand.NewPCG(1, 2))
			var group sync.WaitGroup
			limit := make(chan struct{}, 16)
			for index := range calls {
				wait := time.Duration(random.Int64N(int64(longest)))
				limit <- struct{}{}
				group.Go(func() {
					defer func() { <-limit }()
					ctx, cancel := context.WithTimeout(t.Context(), wait)
					defer cancel()
					call := orderCall(test.repeat)
					call.Request = chestnutroad.RequestID(fmt.Sprint(index))
					err := client.Do(ctx, call, &standin.Recorder{})
					if err != nil && chestnutroad.RefusalOf(err).NotRun {
						notRun.Store(string(call.Request), true)
					}
				})
			}
			group.Wait()
			time.Sleep(200 * time.Millisecond)
			checkDisjoint(t, &notRun, &seen)
		})
	}
}

func checkDisjoint(t *testing.T, notRun, seen *sync.Map) {
	t.Helper()
	refused, wrong := 0, 0
	notRun.Range(func(id, _ any) bool {
		refused++
		if _, ran := seen.Load(id); ran {
			wrong++
		}
		return true
	})
	if wrong > 0 || refused == 0 {
		t.Errorf("%d calls were called not run, %d of them arrived", refused, wrong)
	}
}
