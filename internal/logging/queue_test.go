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

// stalledWriter blocks until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (sw *stalledWriter) Write(data []byte) (int, error) {
	<-sw.release
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.text.Write(data)
}

func reportLine(count uint64) []byte { return fmt.Appendf(nil, "dropped %d\n", count) }

// TestQueueNeverBlocks guards against a request that waits for a reader of standard output that stalls, against lines
// that are dropped without a word, and against important lines that are dropped before minor ones.
func TestQueueNeverBlocks(t *testing.T) {
	t.Parallel()
	sw := &stalledWriter{release: make(chan struct{})}
	qu := logging.NewQueue(sw, reportLine)
	line := []byte(strings.Repeat("x", 499) + "\n")
	started := time.Now()
	for range 5000 {
		_, _ = qu.Minor().Write(line)
	}
	minor := qu.Dropped()
	for range 100 {
		_, _ = qu.Write([]byte("important\n"))
	}
	if took := time.Since(started); took > time.Second {
		t.Errorf("the lines took %s", took)
	}
	if minor == 0 || qu.Dropped() != minor {
		t.Errorf("%d minor lines and %d important ones were dropped", minor, qu.Dropped()-minor)
	}
	close(sw.release)
	qu.Close()
	text := sw.text.String()
	if strings.Count(text, "important") != 100 || !strings.Contains(text, fmt.Sprintf("dropped %d\n", minor)) {
		t.Errorf("%d important lines were written", strings.Count(text, "important"))
	}
}

// BenchmarkQueue measures what a line costs a request while standard output stalls.
func BenchmarkQueue(b *testing.B) {
	sw := &stalledWriter{release: make(chan struct{})}
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
