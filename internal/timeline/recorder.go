package timeline

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"github.com/chestnutroad/chestnutroad"
)

const (
	defaultBufferedEvents = 8192
	writeBufferSize       = 64 * 1024
)

// Recorder writes the events of one process as JSON lines in the background. It is safe for concurrent use.
//
// Record never blocks on the writer: events that arrive while the buffer is full are dropped and counted.
type Recorder struct {
	host           chestnutroad.HostID
	incarnation    chestnutroad.Incarnation
	clock          *Clock
	bufferedEvents int

	mu       sync.Mutex
	sequence uint64
	dropped  uint64
	closed   bool
	events   chan Event

	// done is closed when all events are written.
	done chan struct{}
	// err is the first write error; Close reads it after done is closed.
	err error
}

// RecorderOption configures a Recorder.
type RecorderOption func(*Recorder)

// WithBuffer sets the number of events that can wait to be written.
func WithBuffer(events int) RecorderOption {
	return func(rc *Recorder) { rc.bufferedEvents = events }
}

// WithClock sets the clock, so that a process can share one between its recorder and other parts.
func WithClock(clock *Clock) RecorderOption {
	return func(rc *Recorder) { rc.clock = clock }
}

// NewRecorder starts a recorder that writes to writer until Close is called.
func NewRecorder(
	writer io.Writer, host chestnutroad.HostID, incarnation chestnutroad.Incarnation, options ...RecorderOption,
) *Recorder {
	rc := &Recorder{host: host, incarnation: incarnation, bufferedEvents: defaultBufferedEvents, done: make(chan struct{})}
	for _, option := range options {
		option(rc)
	}
	if rc.clock == nil {
		rc.clock = NewClock()
	}
	rc.events = make(chan Event, rc.bufferedEvents)
	go rc.write(writer)
	return rc
}

// Clock returns the recorder's clock, which also stamps messages to peers.
func (rc *Recorder) Clock() *Clock { return rc.clock }

// Record sets the event's host, incarnation, sequence number and time and queues it for writing. It returns the reference
// that later events use as their cause, also if the event was dropped.
func (rc *Recorder) Record(event Event) Reference {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.sequence++
	event.Host = rc.host
	event.Incarnation = rc.incarnation
	event.Sequence = rc.sequence
	event.Time = rc.clock.Now()
	if rc.closed {
		rc.dropped++
		return event.Reference()
	}
	select {
	case rc.events <- event:
	default:
		rc.dropped++
	}
	return event.Reference()
}

// Dropped returns the number of events that arrived while the buffer was full or after Close, plus the number of failed
// writes.
func (rc *Recorder) Dropped() uint64 {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.dropped
}

// Close waits until the queued events are written and returns the first write error; later events are dropped.
func (rc *Recorder) Close() error {
	rc.mu.Lock()
	if !rc.closed {
		rc.closed = true
		close(rc.events)
	}
	rc.mu.Unlock()
	<-rc.done
	return rc.err
}

// write encodes events until Close, and flushes whenever no event is waiting.
func (rc *Recorder) write(writer io.Writer) {
	defer close(rc.done)
	buffered := bufio.NewWriterSize(writer, writeBufferSize)
	encoder := json.NewEncoder(buffered)
	for event := range rc.events {
		rc.recordWriteError(encoder.Encode(event))
		if len(rc.events) == 0 {
			rc.recordWriteError(buffered.Flush())
		}
	}
	rc.recordWriteError(buffered.Flush())
}

// recordWriteError counts a failed encode or flush as one dropped event and stores the first error; nil is ignored.
func (rc *Recorder) recordWriteError(err error) {
	if err == nil {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.dropped++
	if rc.err == nil {
		rc.err = err
	}
}
