package entry

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// endlessSource is a reader that never ends and counts the bytes that were read.
type endlessSource struct{ read *atomic.Int64 }

// Read reports that it has filled data.
func (es endlessSource) Read(data []byte) (int, error) {
	es.read.Add(int64(len(data)))
	return len(data), nil
}

// TestBufferBudget guards against several concurrent endless answers that exhaust the host's memory, and against answers of
// the usual size that are not buffered while the budget is used up.
func TestBufferBudget(t *testing.T) {
	t.Parallel()
	const limit, count, slack = 2 << 20, 12, 1 << 20
	budget := &bufferBudget{limit: limit}
	var total atomic.Int64
	failures := make(chan error, count)
	readers := make([]*budgetedReader, count)
	for index := range count {
		readers[index] = budget.reader(endlessSource{&total})
		go func() {
			_, err := io.ReadAll(readers[index])
			failures <- err
		}()
	}
	for range count {
		if err := <-failures; !errors.Is(err, errBuffersFull) {
			t.Errorf("an endless answer ended with error %v, want %v", err, errBuffersFull)
		}
	}
	// Each reader may exceed the budget by one read before it fails.
	if read := total.Load(); read > limit+count*slack {
		t.Errorf("%d bytes were read, want at most %d", read, limit+count*slack)
	}
	usual := budget.reader(strings.NewReader(strings.Repeat("x", 4800)))
	if body, err := io.ReadAll(usual); err != nil || len(body) != 4800 {
		t.Errorf("an answer of the usual size: got %d bytes, error %v", len(body), err)
	}
	usual.release()
	for _, reader := range readers {
		reader.release()
	}
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes are counted after all readers were released", used)
	}
}
