package cost

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const (
	// smallestMemory is the memory of the smallest host of all sites, in MB.
	smallestMemory = 136
	// endlessCallers is the number of concurrent calls that get answers without end, some ten times the calls that a host has
	// open on a busy day.
	endlessCallers = 400
	endlessTime    = time.Second
	// endlessBudget is the time budget of a call that gets an answer without end.
	endlessBudget = 2 * time.Second
	recoveryTime  = 3 * time.Second
	// endlessRunners is the number of runners of each service, enough for all callers at once.
	endlessRunners = 40
)

// TestEndlessAnswersMemory guards against a host that runs out of memory, or fails calls to other targets, because targets send
// bytes without end in a head, a body or a stream to many callers at once: as fast as they can, or slowly from just below the
// limit of a head or an event on, so that the host holds what it has read of all of them at once. It runs alone, since its runners
// use up the processor time of tests that measure how long calls take.
func TestEndlessAnswersMemory(t *testing.T) {
	// failing is the service whose targets send without end, soundKind the kind of calls to the other service.
	services := []struct{ name, failing, kind, soundKind string }{
		{"plain", "desk", "patient", "chat"},
		{"streamed", "model", "long", "stock"},
	}
	const fast, nearHeadLimit, nearEventLimit = 0, 60 << 10, 250 << 10
	faults := []struct {
		name  string
		fault standin.Behaviour
		burst int
	}{
		{"status line", standin.EndlessStatus, fast},
		{"slow status line", standin.EndlessStatus, nearHeadLimit},
		{"long header", standin.EndlessHeader, fast},
		{"short headers", standin.EndlessFields, fast},
		{"slow short headers", standin.EndlessFields, nearHeadLimit},
		{"interim answers", standin.EndlessInterim, fast},
		{"answer to another request", standin.EndlessMismatch, fast},
		{"chunk extension", standin.EndlessChunk, fast},
		{"trailer", standin.EndlessTrailer, fast},
		{"chunks", standin.EndlessChunks, fast},
		{"length that is not reached", standin.EndlessLength, fast},
		{"body that ends with the connection", standin.EndlessBody, fast},
		{"slow body that ends with the connection", standin.EndlessBody, nearEventLimit},
		{"body of a failure", standin.EndlessFailure, fast},
		{"event", standin.EndlessEvent, fast},
		{"slow event", standin.EndlessEvent, nearEventLimit},
		{"comments", standin.EndlessLines, fast},
		{"slow comments", standin.EndlessLines, nearEventLimit},
		{"blank lines", standin.EndlessBlank, fast},
	}
	number := byte(20)
	for _, service := range services {
		for _, tc := range faults {
			number++
			address := number
			t.Run(service.name+" "+tc.name, func(t *testing.T) {
				dp := newDeployment(t, smallestMemory, endlessRunners)
				hs := dp.start(t, address, io.Discard)
				for _, rn := range dp.runners[service.failing] {
					rn.EndlessBurst = tc.burst
					rn.SetDefault(tc.fault)
				}
				ended := hs.callAtOnce(t, service.kind)
				select {
				case <-hs.ended:
					t.Fatal("the process has ended")
				default:
				}
				peak := hs.memory("VmHWM")
				t.Logf("%d calls, peak memory %.1f MB", ended, peak)
				if peak > smallestMemory {
					t.Errorf("peak memory is %.1f MB, want at most %d MB", peak, smallestMemory)
				}
				hs.awaitServed(t, service.soundKind)
			})
		}
	}
}

// awaitServed requires that a call of the kind is served within some seconds: a host short of processor time may take targets whose
// connections take long for unreachable for a moment.
func (hs *host) awaitServed(t *testing.T, kind string) {
	t.Helper()
	err := hs.call(kind, "sound-0")
	for end, call := time.Now().Add(recoveryTime), 1; err != nil && time.Now().Before(end); call++ {
		time.Sleep(100 * time.Millisecond)
		err = hs.call(kind, fmt.Sprintf("sound-%d", call))
	}
	if err != nil {
		t.Errorf("no call to the other service was served %s after the answers without end: %v", recoveryTime, err)
	}
}

// callAtOnce sends calls of the kind, whose answers have no end, from many callers at once for some seconds. It returns their number.
func (hs *host) callAtOnce(t *testing.T, kind string) int64 {
	t.Helper()
	done := time.Now().Add(endlessTime)
	var callers sync.WaitGroup
	var ended atomic.Int64
	for caller := range endlessCallers {
		callers.Go(func() {
			for call := 0; time.Now().Before(done); call++ {
				// Prompt parts that several failed calls share would be suspected of crashing targets.
				id := fmt.Sprintf("e-%d-%d", caller, call)
				if hs.callWithPrefix(kind, id, id+":10,b:20", endlessBudget) == nil {
					t.Error("an answer without end was taken for complete")
				}
				ended.Add(1)
			}
		})
	}
	callers.Wait()
	return ended.Load()
}
