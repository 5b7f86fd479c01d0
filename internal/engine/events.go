package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/chestnutroad/chestnutroad/internal/target"
)

// The sizes of an event reader's buffers. An event buffer that grew beyond keptEventBytes is not put back into the
// pool, so that a few long events don't hold memory.
const (
	lineBufferBytes = 4 << 10
	keptEventBytes  = 16 << 10
)

var errEventTooLong = fmt.Errorf("%w: an event is over the size limit", target.ErrBadAnswer)

var dataField = []byte("data:")

// eventReader splits a stream of server-sent events.
type eventReader struct {
	lines *bufio.Reader
	limit int
	// event is the current event as received, with the empty line that ends it.
	event []byte
	// data is the joined value of the event's data fields.
	data []byte
}

var eventReaders = sync.Pool{New: func() any {
	return &eventReader{lines: bufio.NewReaderSize(nil, lineBufferBytes)}
}}

func takeEventReader(body io.Reader, limit int) *eventReader {
	er, ok := eventReaders.Get().(*eventReader)
	if !ok {
		er = &eventReader{lines: bufio.NewReaderSize(nil, lineBufferBytes)}
	}
	er.lines.Reset(body)
	er.limit = limit
	return er
}

func (er *eventReader) release() {
	er.lines.Reset(nil)
	if cap(er.event) > keptEventBytes || cap(er.data) > keptEventBytes {
		er.event, er.data = nil, nil
	}
	eventReaders.Put(er)
}

// next reads one event into event and data; both stay valid until the next call.
func (er *eventReader) next() error {
	er.event = er.event[:0]
	er.data = er.data[:0]
	for {
		line, err := er.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			er.addField(line)
			continue
		}
		if len(er.event) > len("\r\n") {
			return nil
		}
		// An empty line without an event before it is padding.
		er.event = er.event[:0]
	}
}

// readLine appends one line to the event and returns it without its end.
func (er *eventReader) readLine() ([]byte, error) {
	start := len(er.event)
	for {
		part, err := er.lines.ReadSlice('\n')
		if len(er.event)+len(part) > er.limit {
			return nil, errEventTooLong
		}
		er.event = append(er.event, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(er.event[start:], "\r\n"), nil
	}
}

func (er *eventReader) addField(line []byte) {
	value, isData := bytes.CutPrefix(line, dataField)
	if !isData {
		return
	}
	if len(er.data) > 0 {
		er.data = append(er.data, '\n')
	}
	er.data = append(er.data, bytes.TrimPrefix(value, []byte(" "))...)
}
