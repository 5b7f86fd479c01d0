package entry

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// endlessSource gives bytes without an end and counts them.
type endlessSource struct{ given *atomic.Int64 }

// Read fills data.
func (es endlessSource) Read(data []byte) (int, error) {
	es.given.Add(int64(len(data)))
	return len(data), nil
}

// TestBuffered guards against many endless answers at once that fill the host's memory, and against usual answers that
// find none beside them.
func TestBuffered(t *testing.T) {
	t.Parallel()
	const limit, count, slack = 2 << 20, 12, 1 << 20
	all := &bufferBudget{limit: limit}
	var given atomic.Int64
	failures := make(chan error, count)
	held := make([]*budgetedReader, count)
	for index := range count {
		held[index] = all.reader(endlessSource{&given})
		go func() {
			_, err := io.ReadAll(held[index])
			failures <- err
		}()
	}
	for range count {
		if err := <-failures; !errors.Is(err, errBuffersFull) {
			t.Errorf("an endless answer ended with %v", err)
		}
	}
	// Each may read once more than fits before it sees that the memory is used up.
	if read := given.Load(); read > limit+count*slack {
		t.Errorf("%d bytes were read", read)
	}
	usual := all.reader(strings.NewReader(strings.Repeat("x", 4800)))
	if body, err := io.ReadAll(usual); err != nil || len(body) != 4800 {
		t.Errorf("a usual answer has %d bytes, %v", len(body), err)
	}
	usual.release()
	for _, reader := range held {
		reader.release()
	}
	if used := all.used.Load(); used != 0 {
		t.Errorf("%d bytes are still counted", used)
	}
}
