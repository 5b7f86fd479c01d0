package cost

import (
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// callerCount is the number of concurrent callers; each has one call open at a time.
const callerCount = 8

// callConcurrently calls send with the indices 1 to count from callerCount goroutines, and reports its errors as test errors.
func callConcurrently(tb testing.TB, count int, send func(index int) error) {
	tb.Helper()
	var next atomic.Int64
	var running sync.WaitGroup
	for range callerCount {
		running.Go(func() {
			for index := int(next.Add(1)); index <= count; index = int(next.Add(1)) {
				if err := send(index); err != nil {
					tb.Errorf("call %d: %v", index, err)
				}
			}
		})
	}
	running.Wait()
}

// BenchmarkPlainCall measures the host's processor time per plain call, and its memory before the calls and at the peak.
func BenchmarkPlainCall(b *testing.B) {
	hs := newHost(b, 1, io.Discard)
	startMemory, startTime := hs.memory("VmRSS"), hs.processorTime()
	b.ResetTimer()
	callConcurrently(b, b.N, func(index int) error { return hs.call("stock", fmt.Sprintf("p-%d", index)) })
	b.StopTimer()
	b.ReportMetric(float64((hs.processorTime()-startTime).Microseconds())/float64(b.N), "cpu-us/call")
	b.ReportMetric(startMemory, "start-MB")
	b.ReportMetric(hs.memory("VmHWM"), "peak-MB")
}

// BenchmarkStreamedEvent measures the host's processor time per event of a stream, including a share of the call's fixed cost,
// and its memory before the calls and at the peak.
func BenchmarkStreamedEvent(b *testing.B) {
	hs := newHost(b, 2, io.Discard)
	startMemory, startTime := hs.memory("VmRSS"), hs.processorTime()
	b.ResetTimer()
	callConcurrently(b, b.N, func(index int) error { return hs.call("chat", fmt.Sprintf("s-%d", index)) })
	b.StopTimer()
	events := float64(b.N * eventCount)
	b.ReportMetric(float64((hs.processorTime()-startTime).Microseconds())/events, "cpu-us/event")
	b.ReportMetric(startMemory, "start-MB")
	b.ReportMetric(hs.memory("VmHWM"), "peak-MB")
}

const (
	// memoryBound is the memory of the smallest host of a standard site, in MB.
	memoryBound = 206
	// stalledCalls is the number of calls within stalledDuration: 250 a second, ten times the 25 that a host gets
	// on a busy day.
	stalledCalls    = 2500
	stalledDuration = 10 * time.Second
	// latencyBound is the latency goal of a plain call.
	latencyBound = 120 * time.Millisecond
)

// TestStalledLogReader guards against a host that blocks on its log. The host writes the log to a pipe that nobody reads; once
// the pipe is full, calls must not wait for it, unread lines must not accumulate in memory, and dropped lines must be counted.
func TestStalledLogReader(t *testing.T) {
	t.Parallel()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close(); _ = writer.Close() }()
	hs := newHost(t, 3, writer)
	var slow atomic.Int64
	interval := stalledDuration / (stalledCalls / callerCount)
	callConcurrently(t, stalledCalls, func(index int) error {
		sent := time.Now()
		err := hs.call("stock", fmt.Sprintf("l-%d", index))
		elapsed := time.Since(sent)
		if elapsed > latencyBound {
			slow.Add(1)
		}
		time.Sleep(interval - elapsed)
		return err
	})
	dropped := hs.metric("chestnutroad_log_lines_dropped")
	t.Logf("%d calls, %d slow, %.0f lines dropped, peak memory %.1f MB", stalledCalls, slow.Load(), dropped, hs.memory("VmHWM"))
	if dropped == 0 {
		t.Error("the host counted no dropped log line")
	}
	if peak := hs.memory("VmHWM"); peak > memoryBound {
		t.Errorf("peak memory is %.1f MB, want at most %d MB", peak, memoryBound)
	}
	// A host that blocks on its log delays every call after the pipe is full. A busy machine delays only a few.
	if slow.Load() > stalledCalls/10 {
		t.Errorf("%d of %d calls took more than %s", slow.Load(), stalledCalls, latencyBound)
	}
}
