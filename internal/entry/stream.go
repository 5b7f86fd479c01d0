package entry

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/targetconn"
)

// streamState is how far a stream was passed on.
type streamState struct {
	// lastID is the id of the last event that was passed on.
	lastID string
	events int
	// heardAt is when the target of the current send was last heard of, begun is true after its first event.
	heardAt time.Time
	begun   bool
}

const (
	// streamReadSize is the most bytes that are read from a target at once.
	streamReadSize = 4 << 10
	// maxEvent bounds the memory of an event without an end.
	maxEvent = 256 << 10
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 5 * time.Second
)

var errEventTooLong = errors.New("an event of the stream is too long")

// passStream passes whole events on as they arrive. A stream that breaks off within an event loses that event, which a
// resumed run sends again.
func (en *Entry) passStream(ex *exchange, an *targetconn.Answer, silence *silenceTimer) result {
	splitter := eventSplitter{}
	buffer := make([]byte, streamReadSize)
	for {
		count, err := an.Body.Read(buffer)
		if count > 0 {
			events := splitter.add(buffer[:count])
			if lastEventID(events) != "" {
				en.countPause(ex)
				silence.heard(en.eventWait(ex))
			}
			if failure := en.passEvents(ex, an.Header, events); failure != nil {
				return result{end: attempt.Broken, err: failure, outcome: placement.Served}
			}
		}
		switch {
		case errors.Is(err, io.EOF) && splitter.empty():
			an.Release()
			return en.endStream(ex, an.Header)
		case err != nil:
			return result{end: attempt.Broken, err: errors.WithSecondaryError(errCutOff, err), outcome: placement.Failed}
		case splitter.size() > maxEvent:
			return result{end: attempt.Broken, err: errEventTooLong, outcome: placement.Failed}
		}
	}
}

// countPause takes in the time since the last event of the send.
func (en *Entry) countPause(ex *exchange) {
	now := en.now()
	pause := now.Sub(ex.stream.heardAt)
	ex.stream.heardAt = now
	if ex.stream.begun {
		en.state.paused(now, ex.rule.Name, ex.choice.Entry.ID, pause)
		return
	}
	ex.stream.begun = true
	en.state.ended(now, ex.service, ex.endOf(pause))
	en.state.withPacing(ex.rule.Name, func(pc *pacing) { pc.first.Observe(pause) })
}

// countSilence takes in a wait for a stream's next event that was given up.
func (en *Entry) countSilence(ex *exchange, silence *silenceTimer) {
	if !ex.rule.Streaming || !silence.gaveUp() {
		return
	}
	wait := en.now().Sub(ex.stream.heardAt)
	en.state.withPacing(ex.rule.Name, func(pc *pacing) {
		if ex.stream.begun {
			pc.gap.GaveUp(wait)
			return
		}
		pc.first.GaveUp(wait)
	})
	if !ex.stream.begun {
		en.state.ended(en.now(), ex.service, admission.Shed)
	}
}

// endStream completes the answer; a stream without events still has a head.
func (en *Entry) endStream(ex *exchange, header http.Header) result {
	// The end is written after the handler returns, and the last event may be older than the time of its write.
	_ = http.NewResponseController(ex.writer).SetWriteDeadline(en.now().Add(writeTimeout))
	if !ex.delivered() {
		en.startStream(ex, header)
	}
	en.state.withPacing(ex.rule.Name, func(pc *pacing) { pc.ended(ex.stream.events, ex.facts.Output) })
	return result{done: true, outcome: placement.Served}
}

func (en *Entry) startStream(ex *exchange, header http.Header) {
	copyHeader(ex.writer.Header(), header)
	ex.status = http.StatusOK
	ex.writer.WriteHeader(http.StatusOK)
}

func (en *Entry) passEvents(ex *exchange, header http.Header, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if !ex.delivered() {
		en.startStream(ex, header)
	}
	controller := http.NewResponseController(ex.writer)
	_ = controller.SetWriteDeadline(en.now().Add(writeTimeout))
	if _, err := ex.writer.Write(events); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if err := controller.Flush(); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if id := lastEventID(events); id != "" {
		ex.stream.lastID = id
	}
	ex.stream.events++
	return nil
}

// eventSplitter collects bytes of a stream of server-sent events and returns whole events.
type eventSplitter struct {
	rest []byte
}

var eventEnd = []byte("\n\n")

// add returns all whole events up to the new bytes.
func (es *eventSplitter) add(data []byte) []byte {
	es.rest = append(es.rest, data...)
	end := bytes.LastIndex(es.rest, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := es.rest[:end:end]
	es.rest = append([]byte(nil), es.rest[end:]...)
	return whole
}

func (es *eventSplitter) size() int { return len(es.rest) }

func (es *eventSplitter) empty() bool { return len(es.rest) == 0 }

var idField = []byte("id:")

// lastEventID returns the id of the last of the events that has one.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idField); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
