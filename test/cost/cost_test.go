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

// callerCount is the number of callers that call one after the other at the same time.
const callerCount = 8

// together calls send count times from several callers at once.
func together(tb testing.TB, count int, send func(index int) error) {
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

// BenchmarkPlainCall measures the processor time of the host for a plain call, and its memory at start and at its peak.
func BenchmarkPlainCall(b *testing.B) {
	hs := newHost(b, 1, io.Discard)
	memory, started := hs.memory("VmRSS"), hs.processorTime()
	b.ResetTimer()
	together(b, b.N, func(index int) error { return hs.call("stock", fmt.Sprintf("p-%d", index)) })
	b.StopTimer()
	b.ReportMetric(float64((hs.processorTime()-started).Microseconds())/float64(b.N), "cpu-us/call")
	b.ReportMetric(memory, "start-MB")
	b.ReportMetric(hs.memory("VmHWM"), "peak-MB")
}

// BenchmarkStreamedEvent measures the processor time of the host for an event of a stream, with the call's own part.
func BenchmarkStreamedEvent(b *testing.B) {
	hs := newHost(b, 2, io.Discard)
	memory, started := hs.memory("VmRSS"), hs.processorTime()
	b.ResetTimer()
	together(b, b.N, func(index int) error { return hs.call("chat", fmt.Sprintf("s-%d", index)) })
	b.StopTimer()
	events := float64(b.N * eventCount)
	b.ReportMetric(float64((hs.processorTime()-started).Microseconds())/events, "cpu-us/event")
	b.ReportMetric(memory, "start-MB")
	b.ReportMetric(hs.memory("VmHWM"), "peak-MB")
}

const (
	// memoryBound is the memory of the users' smallest host of the standard sites, in MB.
	memoryBound = 206
	// stalledCalls is the number of calls within stalledTime: a host gets some 25 calls a second on a busy day, and the
	// test sends ten times as many.
	stalledCalls = 2500
	stalledTime  = 10 * time.Second
	// promptly is the longest that a call may take; it is the users' aim for a plain call.
	promptly = 120 * time.Millisecond
)

// TestStalledLogReader guards against calls that wait for the reader of standard output, against memory that grows with
// the lines that it does not read, and against lines that are lost without a count.
func TestStalledLogReader(t *testing.T) {
	t.Parallel()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close(); _ = writer.Close() }()
	hs := newHost(t, 3, writer)
	var late atomic.Int64
	interval := stalledTime / (stalledCalls / callerCount)
	together(t, stalledCalls, func(index int) error {
		sent := time.Now()
		err := hs.call("stock", fmt.Sprintf("l-%d", index))
		took := time.Since(sent)
		if took > promptly {
			late.Add(1)
		}
		time.Sleep(interval - took)
		return err
	})
	dropped := hs.metric("chestnutroad_log_lines_dropped")
	t.Logf("%d calls, %d late, %.0f lines dropped, %.1f MB at the peak", stalledCalls, late.Load(), dropped, hs.memory("VmHWM"))
	if dropped == 0 {
		t.Error("no dropped line was counted")
	}
	if peak := hs.memory("VmHWM"); peak > memoryBound {
		t.Errorf("the process held %.1f MB", peak)
	}
	// A stall holds up each call from the moment on at which the pipe is full; a busy machine makes a few late.
	if late.Load() > stalledCalls/10 {
		t.Errorf("%d of %d calls took more than %s", late.Load(), stalledCalls, promptly)
	}
}
