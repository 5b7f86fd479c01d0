package logging_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/logging"
)

// stalledWriter blocks until it is released. It closes stalled when the first write blocks.
type stalledWriter struct {
	stalled chan struct{}
	once    sync.Once
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func newStalledWriter() *stalledWriter {
	return &stalledWriter{stalled: make(chan struct{}), release: make(chan struct{})}
}

func (sw *stalledWriter) Write(data []byte) (int, error) {
	sw.once.Do(func() { close(sw.stalled) })
	<-sw.release
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.text.Write(data)
}

func reportLine(count uint64) []byte { return fmt.Appendf(nil, "dropped %d\n", count) }

// TestQueueNeverBlocks guards against requests that wait for a stalled reader of standard output, against dropped lines that are
// not reported, and against important lines that are dropped before minor ones. The writer is stalled before the first line is
// dropped, so that all dropped lines are in one report.
func TestQueueNeverBlocks(t *testing.T) {
	t.Parallel()
	sw := newStalledWriter()
	qu := logging.NewQueue(sw, reportLine)
	line := []byte(strings.Repeat("x", 499) + "\n")
	_, _ = qu.Minor().Write(line)
	<-sw.stalled
	started := time.Now()
	for range 5000 {
		_, _ = qu.Minor().Write(line)
	}
	minor := qu.Dropped()
	for range 100 {
		_, _ = qu.Write([]byte("important\n"))
	}
	if elapsed := time.Since(started); elapsed > time.Second {
		t.Errorf("queueing the lines took %s, want at most %s", elapsed, time.Second)
	}
	if minor == 0 || qu.Dropped() != minor {
		t.Errorf("dropped %d minor and %d important lines, want some and none", minor, qu.Dropped()-minor)
	}
	close(sw.release)
	qu.Close()
	text := sw.text.String()
	if strings.Count(text, "important") != 100 || !strings.Contains(text, fmt.Sprintf("dropped %d\n", minor)) {
		t.Errorf("wrote %d of 100 important lines, or no report of %d dropped lines", strings.Count(text, "important"), minor)
	}
	if count := strings.Count(text, "dropped "); count != 1 {
		t.Errorf("wrote %d reports of dropped lines, want 1", count)
	}
}

// BenchmarkQueue measures the cost of logging a line while the reader of standard output is stalled.
func BenchmarkQueue(b *testing.B) {
	sw := newStalledWriter()
	qu := logging.NewQueue(sw, reportLine)
	logger, err := logging.New(qu.Minor(), "info", logging.Fields{Host: "h"})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("request", "Request", "9c41d07be2a35f68", "Outcome", "Served", "Service", "s", "TookMs", 12)
	}
	close(sw.release)
	qu.Close()
}

var _ io.Writer = (*logging.Queue)(nil)
