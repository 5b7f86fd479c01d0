package timeline

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"github.com/chestnutroad/chestnutroad"
)

const (
	defaultBuffer   = 8192
	writeBufferSize = 64 * 1024
)

// Recorder writes the events of one process as JSON lines.
//
// It never blocks the caller: events that arrive while its buffer is full are dropped and counted.
type Recorder struct {
	host        chestnutroad.HostID
	incarnation chestnutroad.Incarnation
	clock       *Clock
	buffer      int

	mu       sync.Mutex
	sequence uint64
	dropped  uint64
	closed   bool
	events   chan Event

	done chan struct{}
	// err is the first write error; it may be read once done is closed.
	err error
}

// RecorderOption changes a Recorder.
type RecorderOption func(*Recorder)

// WithBuffer changes the number of events that may wait to be written.
func WithBuffer(events int) RecorderOption {
	return func(rc *Recorder) { rc.buffer = events }
}

// WithClock makes the recorder use a clock that the process uses elsewhere too.
func WithClock(clock *Clock) RecorderOption {
	return func(rc *Recorder) { rc.clock = clock }
}

// NewRecorder returns a recorder that writes to the writer until Close.
func NewRecorder(
	writer io.Writer, host chestnutroad.HostID, incarnation chestnutroad.Incarnation, options ...RecorderOption,
) *Recorder {
	rc := &Recorder{host: host, incarnation: incarnation, buffer: defaultBuffer, done: make(chan struct{})}
	for _, option := range options {
		option(rc)
	}
	if rc.clock == nil {
		rc.clock = NewClock()
	}
	rc.events = make(chan Event, rc.buffer)
	go rc.write(writer)
	return rc
}

// Clock returns the clock, for stamps on messages to peers.
func (rc *Recorder) Clock() *Clock { return rc.clock }

// Record stamps and numbers the event and returns its name, for later events to state as their cause.
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

// Dropped returns the number of events that were not kept.
func (rc *Recorder) Dropped() uint64 {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.dropped
}

// Close writes what is waiting and returns the first write error.
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

// write encodes events and flushes whenever none is waiting.
func (rc *Recorder) write(writer io.Writer) {
	defer close(rc.done)
	buffered := bufio.NewWriterSize(writer, writeBufferSize)
	encoder := json.NewEncoder(buffered)
	for event := range rc.events {
		rc.keep(encoder.Encode(event))
		if len(rc.events) == 0 {
			rc.keep(buffered.Flush())
		}
	}
	rc.keep(buffered.Flush())
}

// keep counts an event that could not be written as dropped and keeps the first error.
func (rc *Recorder) keep(err error) {
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
