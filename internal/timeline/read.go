package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Notice reports a problem in a file, such as a damaged line or missing events, that does not stop the reading.
type Notice struct {
	// File is the file's name, or the host's id for a problem found while merging.
	File    string
	Line    int `json:",omitzero"`
	Message string
}

// String returns the notice as file:line: message, or file: message without a line.
func (nt Notice) String() string {
	if nt.Line == 0 {
		return nt.File + ": " + nt.Message
	}
	return fmt.Sprintf("%s:%d: %s", nt.File, nt.Line, nt.Message)
}

// ReadFile reads the events of one file, a timeline or a process's log.
func ReadFile(path string) ([]Event, []Notice, error) {
	file, err := os.Open(filepath.Clean(path))
	if err != nil {
		return nil, nil, errors.Wrap(err, "the timeline can't be read")
	}
	events, notices, err := Read(path, file)
	return events, notices, errors.CombineErrors(err, file.Close())
}

// Read reads events until the end of the input. Lines that are not events, and a last line truncated by a crash, are
// returned as notices.
func Read(name string, reader io.Reader) ([]Event, []Notice, error) {
	var events []Event
	var notices []Notice
	lastSequence := map[Reference]uint64{}
	buffered := bufio.NewReader(reader)
	for line := 1; ; line++ {
		text, err := buffered.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return events, notices, errors.Wrapf(err, "read timeline %s", name)
		}
		last := err != nil
		if len(text) == 0 && last {
			return events, notices, nil
		}
		event, isLog := parseLogLine(text)
		if isLog {
			// Log lines have no sequence numbers, so they are numbered here; the log itself reports dropped lines.
			incarnation := event.Reference()
			lastSequence[incarnation]++
			event.Sequence = lastSequence[incarnation]
		}
		problem := ""
		if !isLog {
			event, problem = parseEvent(text, last)
		}
		if problem != "" {
			notices = append(notices, Notice{File: name, Line: line, Message: problem})
		} else {
			events = append(events, event)
		}
		if last {
			return events, notices, nil
		}
	}
}

// parseEvent parses a line of a timeline and returns a description of the problem if the line is not an event.
func parseEvent(text []byte, last bool) (Event, string) {
	var event Event
	err := json.Unmarshal(text, &event)
	switch {
	case err != nil && last:
		return event, "the last line is cut short and was left out"
	case err != nil:
		return event, "not an event: " + err.Error()
	case event.Host == "" || event.Sequence == 0:
		return event, "not an event: Host or Sequence is missing"
	default:
		return event, ""
	}
}
