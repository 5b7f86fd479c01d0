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

// Notice is something about the files that a reader of the merged events should know.
type Notice struct {
	File    string
	Line    int `json:",omitzero"`
	Message string
}

// String returns the notice as file:line: message.
func (nt Notice) String() string {
	if nt.Line == 0 {
		return nt.File + ": " + nt.Message
	}
	return fmt.Sprintf("%s:%d: %s", nt.File, nt.Line, nt.Message)
}

// ReadFile reads the events of one file, which may be a time line or a process's log.
func ReadFile(path string) ([]Event, []Notice, error) {
	file, err := os.Open(filepath.Clean(path))
	if err != nil {
		return nil, nil, errors.Wrap(err, "the timeline can't be read")
	}
	events, notices, err := Read(path, file)
	return events, notices, errors.CombineErrors(err, file.Close())
}

// Read reads events up to the end; a last line that a crash cut short, and lines that are not events, become notices.
func Read(name string, reader io.Reader) ([]Event, []Notice, error) {
	var events []Event
	var notices []Notice
	numbered := map[Reference]uint64{}
	buffered := bufio.NewReader(reader)
	for line := 1; ; line++ {
		text, err := buffered.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return events, notices, errors.Wrapf(err, "the timeline %s can't be read", name)
		}
		last := err != nil
		if len(text) == 0 && last {
			return events, notices, nil
		}
		event, isLog := parseLog(text)
		if isLog {
			// The lines of a log carry no numbers of their own; a dropped one is reported by the log itself.
			life := event.Reference()
			numbered[life]++
			event.Sequence = numbered[life]
		}
		fault := ""
		if !isLog {
			event, fault = parseLine(text, last)
		}
		if fault != "" {
			notices = append(notices, Notice{File: name, Line: line, Message: fault})
		} else {
			events = append(events, event)
		}
		if last {
			return events, notices, nil
		}
	}
}

func parseLine(text []byte, last bool) (Event, string) {
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
