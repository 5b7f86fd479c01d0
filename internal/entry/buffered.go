package entry

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// bufferMemoryDivisor is the part of the host's memory, as its inverse, that requests and answers held as a whole may take;
	// io.ReadAll takes up to two and a half times what it has read.
	bufferMemoryDivisor = 16
	// guaranteedBufferSize is the size up to which requests and answers are always held, so that large ones can't keep out the
	// usual ones of about 1 KB.
	guaranteedBufferSize = 16 << 10
)

var errBuffersFull = errors.New("requests and answers take all memory for them")

// bufferBudget counts the bytes of requests and answers that the host holds as a whole, so that many large or endless ones at
// once don't exhaust its memory.
type bufferBudget struct {
	// limit is zero for none.
	limit int64
	used  atomic.Int64
}

func (bf *bufferBudget) reader(source io.Reader) *budgetedReader {
	return &budgetedReader{source: source, budget: bf}
}

// budgetedReader counts the bytes of one request or answer until it is released.
type budgetedReader struct {
	source io.Reader
	budget    *bufferBudget
	size   int64
}

// Read reads from the source, or fails when the memory for all requests and answers is used up.
func (br *budgetedReader) Read(data []byte) (int, error) {
	count, err := br.source.Read(data)
	br.size += int64(count)
	used := br.budget.used.Add(int64(count))
	if br.budget.limit > 0 && used > br.budget.limit && br.size > guaranteedBufferSize {
		return 0, errBuffersFull
	}
	return count, err
}

func (br *budgetedReader) release() {
	br.budget.used.Add(-br.size)
	br.size = 0
}
