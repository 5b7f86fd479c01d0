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

// logLine is a line of a process's log, with the fields that an event has too.
type logLine struct {
	Time        time.Time
	Host        chestnutroad.HostID
	Incarnation chestnutroad.Incarnation
	Message     string
	Request     chestnutroad.RequestID
	Target      chestnutroad.TargetID
	Version     chestnutroad.Version
}

// logFields are shown apart from the detail, or stand on each line.
var logFields = map[string]bool{
	"Time": true, "Host": true, "Incarnation": true, "Message": true, "Request": true, "Target": true, "Version": true,
	"Level": true, "Package": true, "Site": true, "DataCentre": true,
}

// parseLog reads a line of a process's log, which may stand behind a prefix such as a time and a host, as an event
// without a number.
func parseLog(text []byte) (Event, bool) {
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
		Type: Type(ll.Message), Request: ll.Request, Target: ll.Target, Version: ll.Version, Detail: detailOf(fields),
	}, true
}

func detailOf(fields map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !logFields[name] {
			parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	return strings.Join(parts, " ")
}
