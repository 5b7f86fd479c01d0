package entry

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// bufferMemoryDivisor is the inverse of the share of the host's memory that buffered requests and answers may use;
	// io.ReadAll allocates up to two and a half times what it has read.
	bufferMemoryDivisor = 16
	// guaranteedBufferSize is the size up to which a request or answer is always buffered, so that large ones can't crowd
	// out the usual ones of about 1 KB.
	guaranteedBufferSize = 16 << 10
)

var errBuffersFull = errors.New("memory for buffered requests and answers is exhausted")

// bufferBudget bounds the bytes of all requests, answers and incomplete events that the host buffers, so that many large or
// endless ones at once don't exhaust its memory.
type bufferBudget struct {
	// limit is the most bytes; zero means no limit.
	limit int64
	used  atomic.Int64
}

// reservation is the part of the budget that one request, answer or event uses until it is released.
type reservation struct {
	budget *bufferBudget
	size   int64
}

// resize sets the bytes that are used. It fails when the budget is exhausted and they exceed guaranteedBufferSize.
func (rv *reservation) resize(size int64) error {
	used := rv.budget.used.Add(size - rv.size)
	grows := size > rv.size
	rv.size = size
	if grows && rv.budget.limit > 0 && used > rv.budget.limit && size > guaranteedBufferSize {
		return errBuffersFull
	}
	return nil
}

func (rv *reservation) release() { _ = rv.resize(0) }

// reader returns a reader of source that counts against the budget.
func (bb *bufferBudget) reader(source io.Reader) *budgetedReader {
	return &budgetedReader{source: source, reservation: reservation{budget: bb}}
}

// budgetedReader counts the bytes of one request or answer against the budget until it is released.
type budgetedReader struct {
	reservation

	source io.Reader
}

// Read reads from the source. It fails when the budget is exhausted and more than guaranteedBufferSize was read.
func (br *budgetedReader) Read(data []byte) (int, error) {
	count, err := br.source.Read(data)
	if budgetErr := br.resize(br.size + int64(count)); budgetErr != nil {
		return 0, budgetErr
	}
	return count, err
}
