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

const (
	lineBufferBytes = 4 << 10
	// maxPooledBytes limits the capacity of a buffer that is returned to its pool, so that a few large events or answers don't
	// hold memory.
	maxPooledBytes = 16 << 10
)

var errEventTooLong = fmt.Errorf("%w: an event is over the size limit", target.ErrBadAnswer)

var dataField = []byte("data:")

// eventReader splits a response body into server-sent events.
type eventReader struct {
	lines *bufio.Reader
	limit int
	// event is the current event as received, including the empty line that ends it.
	event []byte
	// data holds the values of the event's data fields, joined by newlines.
	data []byte
}

var eventReaders = sync.Pool{New: func() any {
	return &eventReader{lines: bufio.NewReaderSize(nil, lineBufferBytes)}
}}

func getEventReader(body io.Reader, limit int) *eventReader {
	er, ok := eventReaders.Get().(*eventReader)
	if !ok {
		er = &eventReader{lines: bufio.NewReaderSize(nil, lineBufferBytes)}
	}
	er.lines.Reset(body)
	er.limit = limit
	return er
}

// release returns the reader to the pool, without its event buffers if one of them grew beyond maxPooledBytes.
func (er *eventReader) release() {
	er.lines.Reset(nil)
	if cap(er.event) > maxPooledBytes || cap(er.data) > maxPooledBytes {
		er.event, er.data = nil, nil
	}
	eventReaders.Put(er)
}

// next reads the next event into event and data, which are valid until the following call.
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
		// Empty lines before an event are skipped.
		er.event = er.event[:0]
	}
}

// readLine appends the next line to the event and returns it without its line ending.
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

// addField appends the value of a data field to data; other fields are ignored.
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
