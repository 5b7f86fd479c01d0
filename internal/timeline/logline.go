package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chestnutroad/chestnutroad"
)

// logLine holds the fields of a JSON log line that map to fields of an Event.
type logLine struct {
	Time        time.Time
	Host        chestnutroad.HostID
	Incarnation chestnutroad.Incarnation
	Message     string
	Request     chestnutroad.RequestID
	Target      chestnutroad.TargetID
	Version     chestnutroad.Version
}

// omittedFields are left out of Event.Detail: they map to other fields of Event or are the same on most lines.
var omittedFields = map[string]bool{
	"Time": true, "Host": true, "Incarnation": true, "Message": true, "Request": true, "Target": true, "Version": true,
	"Level": true, "Package": true, "Site": true, "DataCentre": true,
}

// parseLogLine parses a JSON log line, which may follow a prefix such as a time and a host, as an event without a sequence
// number. It returns false if the line is not JSON or lacks a time, a host or a message.
func parseLogLine(text []byte) (Event, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Event{}, false
	}
	var ll logLine
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber()
	if json.Unmarshal(text[start:], &ll) != nil || decoder.Decode(&fields) != nil {
		return Event{}, false
	}
	if ll.Message == "" || ll.Host == "" || ll.Time.IsZero() {
		return Event{}, false
	}
	return Event{
		Time: Stamp{Physical: ll.Time.UnixMilli()}, Host: ll.Host, Incarnation: ll.Incarnation,
		Type: Type(ll.Message), Request: ll.Request, Target: ll.Target, Version: ll.Version, Detail: formatDetail(fields),
	}, true
}

// formatDetail formats the remaining fields of a log line as name=value pairs, sorted by name.
func formatDetail(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !omittedFields[name] {
			parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	return strings.Join(parts, " ")
}
