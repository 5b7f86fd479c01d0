package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queueBytes bounds the memory of lines that wait for a slow reader of standard output; it holds the lines of some
	// 2,000 requests.
	queueBytes = 1 << 20
	// minorShare is the part of the queue that minor lines may fill, so that they are dropped first.
	minorShare = 0.5
)

// Queue writes lines in the background, so that a reader that stalls never holds a request up. When it is full, lines are
// dropped and counted, minor ones first.
type Queue struct {
	writer  io.Writer
	mu      sync.Mutex
	waiting bytes.Buffer
	limit   int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
	dropped atomic.Uint64
	// report returns the line that tells the number of dropped lines.
	report func(count uint64) []byte
}

// NewQueue returns a queue that writes to the writer; report returns the line that tells how many lines were dropped.
func NewQueue(writer io.Writer, report func(count uint64) []byte) *Queue {
	qu := &Queue{
		writer: writer, limit: queueBytes, wake: make(chan struct{}, 1), done: make(chan struct{}), report: report,
	}
	go qu.run()
	return qu
}

// Write queues a line that is dropped last.
func (qu *Queue) Write(line []byte) (int, error) {
	qu.add(line, qu.limit)
	return len(line), nil
}

// Minor returns a writer whose lines are dropped first.
func (qu *Queue) Minor() io.Writer { return minorWriter{queue: qu} }

type minorWriter struct{ queue *Queue }

// Write queues a line that is dropped first.
func (mw minorWriter) Write(line []byte) (int, error) {
	mw.queue.add(line, int(minorShare*float64(mw.queue.limit)))
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (qu *Queue) Dropped() uint64 { return qu.dropped.Load() }

func (qu *Queue) add(line []byte, limit int) {
	qu.mu.Lock()
	fits := !qu.closed && qu.waiting.Len()+len(line) <= limit
	if fits {
		qu.waiting.Write(line)
	}
	qu.mu.Unlock()
	if !fits {
		qu.dropped.Add(1)
		return
	}
	select {
	case qu.wake <- struct{}{}:
	default:
	}
}

// run writes what waits and reports lines that were dropped meanwhile.
func (qu *Queue) run() {
	defer close(qu.done)
	reported := uint64(0)
	for range qu.wake {
		qu.mu.Lock()
		lines := bytes.Clone(qu.waiting.Bytes())
		qu.waiting.Reset()
		closed := qu.closed
		qu.mu.Unlock()
		if dropped := qu.dropped.Load(); dropped > reported {
			lines = append(lines, qu.report(dropped-reported)...)
			reported = dropped
		}
		// Standard output that fails leaves no place to say so.
		_, _ = qu.writer.Write(lines)
		if closed {
			return
		}
	}
}

// Close writes what waits and ends the queue.
func (qu *Queue) Close() {
	qu.mu.Lock()
	qu.closed = true
	qu.mu.Unlock()
	select {
	case qu.wake <- struct{}{}:
	default:
	}
	<-qu.done
}
