package logging

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// queueBytes limits the memory of lines that wait for a slow reader of standard output; it is enough for the lines of
	// about 2,000 requests.
	queueBytes = 1 << 20
	// minorShare is the fraction of the queue that may be full after a minor line is added, so that minor lines are dropped
	// first.
	minorShare = 0.5
)

// Queue is a bounded queue of log lines that are written in the background, so that a stalled reader of the log never delays a
// request. Lines that do not fit are dropped and counted, minor ones first.
type Queue struct {
	writer  io.Writer
	mu      sync.Mutex
	waiting bytes.Buffer
	limit   int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
	dropped atomic.Uint64
	// report formats the line that states the number of dropped lines.
	report func(count uint64) []byte
}

// NewQueue returns a queue that writes to the writer; report formats the line that states the number of lines dropped since the
// last such line.
func NewQueue(writer io.Writer, report func(count uint64) []byte) *Queue {
	qu := &Queue{
		writer: writer, limit: queueBytes, wake: make(chan struct{}, 1), done: make(chan struct{}), report: report,
	}
	go qu.run()
	return qu
}

// Write queues a line of normal importance. It never blocks and never fails; a line that does not fit is dropped.
func (qu *Queue) Write(line []byte) (int, error) {
	qu.add(line, qu.limit)
	return len(line), nil
}

// Minor returns a writer that queues lines of minor importance, which are dropped first.
func (qu *Queue) Minor() io.Writer { return minorWriter{queue: qu} }

type minorWriter struct{ queue *Queue }

// Write queues a minor line; it is dropped when it does not fit into the share of the queue for minor lines.
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

// run writes the queued lines and reports the lines dropped in the meantime.
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
		// There is nowhere to report an error of standard output.
		_, _ = qu.writer.Write(lines)
		if closed {
			return
		}
	}
}

// Close writes the queued lines and stops the queue; later lines are dropped.
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
