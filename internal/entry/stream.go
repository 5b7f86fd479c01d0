package entry

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/admission"
	"github.com/chestnutroad/chestnutroad/internal/attempt"
	"github.com/chestnutroad/chestnutroad/internal/placement"
	"github.com/chestnutroad/chestnutroad/internal/targetconn"
)

// streamState is the progress of a stream.
type streamState struct {
	// lastID is the id of the last event that was forwarded, or that the caller of a resumed stream already has.
	lastID string
	// events counts the writes to the caller, each of one or more events.
	events int
	// lastProgress is when the current send started or its target last sent an event; gotFirstEvent is true once it has
	// sent one. Only events with an id count.
	lastProgress  time.Time
	gotFirstEvent bool
	// received counts the events with an id that the target of the current send has sent.
	received int
}

// follows reports whether complete events follow the forwarded ones: their ids increase, and those without an id are events. A
// target that ignores the id after which it is to resume would repeat events, perhaps with other contents.
func (ss *streamState) follows(events []byte) bool {
	last := ss.lastID
	for event := range bytes.SplitSeq(bytes.ReplaceAll(events, []byte("\r\n"), []byte("\n")), []byte("\n\n")) {
		id := lastEventID(event)
		if id == "" && !isEvent(event) || id != "" && !increases(last, id) {
			return false
		}
		if id != "" {
			last = id
		}
	}
	return true
}

// increases reports whether an event's id may follow the last one; ids that are no numbers must only differ.
func increases(last, id string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > lastNumber
}

// eventFields are the starts of lines that events and comments without an id have.
var eventFields = [][]byte{[]byte("data"), []byte("event"), []byte("retry"), []byte(":")}

// isEvent reports whether a block of lines is empty or has a line of an event, which the text or head of an error has not.
func isEvent(block []byte) bool {
	empty := true
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if slices.ContainsFunc(eventFields, func(field []byte) bool { return bytes.HasPrefix(line, field) }) {
			return true
		}
		empty = empty && len(line) == 0
	}
	return empty
}

const (
	// streamReadSize is the size of the buffer for reads from a target.
	streamReadSize = 4 << 10
	// maxEventSize bounds the memory for an event that does not end.
	maxEventSize = 256 << 10
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 5 * time.Second
)

var errEventTooLong = errors.New("an event of the stream is too long")

// forwardStream forwards complete events as they arrive. An event within which the stream breaks off is dropped; a resumed
// run sends it again. A stream that ends with its connection, before any event, has broken off as well: nothing else tells
// the end of the stream from that of the target.
func (en *Entry) forwardStream(ex *exchange, an *targetconn.Answer, stall *stallTimer) sendResult {
	splitter, hasEvent := eventSplitter{}, false
	partial := reservation{budget: en.bufferBudget}
	defer partial.release()
	buffer := make([]byte, streamReadSize)
	for {
		count, err := an.Body.Read(buffer)
		if count > 0 {
			events := splitter.add(buffer[:count])
			if !ex.stream.follows(events) {
				return sendResult{end: attempt.Broken, err: errNotResumed, outcome: placement.Failed}
			}
			hasEvent = hasEvent || containsEvent(events)
			progress := lastEventID(events) != ""
			if progress {
				en.recordEventWait(ex)
				// A caller that reads slowly is no stall of the target.
				stall.reset(writeTimeout)
			}
			en.countReceived(ex, events)
			if failure := en.forwardEvents(ex, an.Header, events); failure != nil {
				return sendResult{end: attempt.Broken, err: failure, outcome: placement.Served}
			}
			if progress {
				ex.stream.lastProgress = en.now()
				stall.reset(en.eventStallTimeout(ex))
			}
		}
		switch {
		case errors.Is(err, io.EOF) && splitter.empty() && (hasEvent || an.Framed):
			an.Release()
			return en.finishStream(ex, an)
		case err != nil:
			return sendResult{
				end: attempt.Broken, err: errors.WithSecondaryError(errCutOff, err), outcome: placement.Failed,
				crashed: ex.stream.received < progressEvents && !networkFailed(err),
			}
		case splitter.size() > maxEventSize:
			return sendResult{end: attempt.Broken, err: errEventTooLong, outcome: placement.Failed}
		}
		if err := partial.resize(int64(splitter.size())); err != nil {
			return sendResult{end: attempt.Broken, err: err, outcome: placement.Failed}
		}
	}
}

// countReceived counts the events of the current send. From progressEvents on, the request has not crashed its target.
func (en *Entry) countReceived(ex *exchange, events []byte) {
	before := ex.stream.received
	ex.stream.received += countEvents(events)
	if before < progressEvents && ex.stream.received >= progressEvents {
		en.state.recordProgress(en.now(), ex.features())
	}
}

// recordEventWait records the time since the last event of the send, or since its start for the first event.
func (en *Entry) recordEventWait(ex *exchange) {
	now := en.now()
	pause := now.Sub(ex.stream.lastProgress)
	ex.stream.lastProgress = now
	if ex.stream.gotFirstEvent {
		en.state.recordEventGap(now, ex.rule.Name, ex.choice.Entry.ID, pause)
		en.state.learnStepTime(ex, pause)
		return
	}
	ex.stream.gotFirstEvent = true
	en.state.recordAdmissionOutcome(now, ex, ex.admissionOutcome(pause))
	en.state.learnPrefillTime(ex, pause)
	en.state.withRuleStats(ex.rule.Name, func(rs *ruleStats) { rs.firstEvent.Observe(pause) })
}

// recordStall records a wait for a stream's next event that the stall timer ended.
func (en *Entry) recordStall(ex *exchange, stall *stallTimer) {
	if !ex.rule.Streaming || !stall.expired() {
		return
	}
	wait := en.now().Sub(ex.stream.lastProgress)
	en.state.withRuleStats(ex.rule.Name, func(rs *ruleStats) {
		if ex.stream.gotFirstEvent {
			rs.eventGap.ObserveTimeout(wait)
			return
		}
		rs.firstEvent.ObserveTimeout(wait)
	})
	if !ex.stream.gotFirstEvent {
		en.state.recordAdmissionOutcome(en.now(), ex, admission.Shed)
	}
}

// finishStream completes the answer; a stream without events still gets a status and headers.
func (en *Entry) finishStream(ex *exchange, an *targetconn.Answer) sendResult {
	// The end is written after the handler returns, when the write deadline of the last event may have passed.
	_ = http.NewResponseController(ex.writer).SetWriteDeadline(en.now().Add(writeTimeout))
	if !ex.answerStarted() {
		if err := en.startStream(ex, an.Header); err != nil {
			return sendResult{end: attempt.Broken, err: err, outcome: placement.Served}
		}
	}
	if ex.stream.received > 0 && ex.stream.received < progressEvents && an.Framed {
		en.state.recordProgress(en.now(), ex.features())
	}
	en.state.withRuleStats(ex.rule.Name, func(rs *ruleStats) { rs.recordStream(ex.stream.events, ex.callMetadata.Output) })
	return sendResult{done: true, outcome: placement.Served}
}

// acceptsStream reports whether an answer with the header can start the caller's stream, or continue it in the same media type.
func (ex *exchange) acceptsStream(header http.Header) bool {
	return !ex.answerStarted() || mediaType(header) == mediaType(ex.writer.Header())
}

// mediaType returns the media type of a body without its parameters.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// startStream sends the status and headers of a stream.
func (en *Entry) startStream(ex *exchange, header http.Header) error {
	if ex.callMetadata.LastEvent == "" {
		ex.setVersion(ex.choice.Entry.SoftwareVersion)
		if err := en.streamVersions.begin(ex, &ex.choice.Entry); err != nil {
			return err
		}
	}
	copyHeader(ex.writer.Header(), header)
	ex.status = http.StatusOK
	en.writeHead(ex, http.StatusOK)
	return nil
}

// forwardEvents writes complete events to the caller and flushes them.
func (en *Entry) forwardEvents(ex *exchange, header http.Header, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	if !ex.answerStarted() {
		if err := en.startStream(ex, header); err != nil {
			return err
		}
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

// eventSplitter splits a stream of server-sent events into complete events.
type eventSplitter struct {
	// partial is the start of an event that is not complete yet.
	partial []byte
}

// eventEnds are the forms of a line end and a blank line, which end an event; a line ends with "\n" or "\r\n".
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// lastEventEnd returns the end of the last complete event in data, or zero.
func lastEventEnd(data []byte) int {
	end := 0
	for _, mark := range eventEnds {
		if index := bytes.LastIndex(data, mark); index >= 0 {
			end = max(end, index+len(mark))
		}
	}
	return end
}

// add appends data and returns all events that are complete with it.
func (es *eventSplitter) add(data []byte) []byte {
	es.partial = append(es.partial, data...)
	end := lastEventEnd(es.partial)
	if end == 0 {
		return nil
	}
	complete := es.partial[:end:end]
	es.partial = append([]byte(nil), es.partial[end:]...)
	return complete
}

// size returns the number of bytes of the incomplete event at the end.
func (es *eventSplitter) size() int { return len(es.partial) }

func (es *eventSplitter) empty() bool { return len(es.partial) == 0 }

// containsEvent reports whether there is a line other than comments.
func containsEvent(events []byte) bool {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if len(bytes.TrimSpace(line)) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

var idField = []byte("id:")

// countEvents returns the number of events that have an id.
func countEvents(events []byte) int {
	count := 0
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if bytes.HasPrefix(line, idField) {
			count++
		}
	}
	return count
}

// lastEventID returns the id of the last event that has one, or an empty string.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, idField); found {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
