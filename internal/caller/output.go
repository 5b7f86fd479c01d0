package caller

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// output writes to one caller with a time limit on each write, so that a slow reader can't keep a stream open forever.
type output struct {
	ex      *Exchange
	control *http.ResponseController
	timeout time.Duration
}

func newOutput(ex *Exchange, timeout time.Duration) *output {
	return &output{ex: ex, control: http.NewResponseController(ex.Writer), timeout: timeout}
}

// writeStatus sends the status line, unless one was sent before.
func (ou *output) writeStatus(status int) {
	if ou.ex.HeadSent {
		return
	}
	ou.ex.HeadSent = true
	ou.ex.writeHead(status)
}

// write sends pieces of the body and flushes them.
func (ou *output) write(pieces ...[]byte) error {
	if err := ou.control.SetWriteDeadline(time.Now().Add(ou.timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "set the write deadline")
	}
	for _, piece := range pieces {
		if _, err := ou.ex.Writer.Write(piece); err != nil {
			return errors.Wrap(err, "write to the caller")
		}
	}
	if err := ou.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Wrap(err, "flush to the caller")
	}
	return nil
}

var (
	eventPrefix = []byte("data: ")
	eventSuffix = []byte("\n\n")
	dataField   = []byte("data:")
	doneData    = []byte("[DONE]")
)

// writeEvent writes data as one server-sent event.
func writeEvent(writer io.Writer, data []byte) error {
	for _, piece := range [][]byte{eventPrefix, data, eventSuffix} {
		if _, err := writer.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// eventData returns the payload of an event's first data line; events of chat completions have only one.
func eventData(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if payload, found := bytes.CutPrefix(line, dataField); found {
			return bytes.TrimSpace(payload)
		}
	}
	return nil
}
