package trace

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Write writes the header and the events as JSON lines.
func (tr *Trace) Write(sink io.Writer) error {
	buffer := bufio.NewWriter(sink)
	encoder := json.NewEncoder(buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(&tr.Header); err != nil {
		return errors.Wrap(err, "write the header")
	}
	for index := range tr.Events {
		if err := encoder.Encode(&tr.Events[index]); err != nil {
			return errors.Wrapf(err, "write event %d", index)
		}
	}
	return errors.Wrap(buffer.Flush(), "write the trace")
}
