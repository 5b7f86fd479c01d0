package timeline

import (
	"strings"

	"github.com/chestnutroad/chestnutroad"
)

// Filter selects events by their fields; an empty field matches any value.
type Filter struct {
	Request chestnutroad.RequestID
	Target  chestnutroad.TargetID
	Version chestnutroad.Version
}

// Match reports whether the event matches all fields. A target also matches anywhere in the event's detail, because the
// log line of a request that was sent to several targets lists them there.
func (ft Filter) Match(event Event) bool {
	return (ft.Request == "" || ft.Request == event.Request) &&
		(ft.Target == "" || ft.Target == event.Target || strings.Contains(event.Detail, string(ft.Target))) &&
		(ft.Version == 0 || ft.Version == event.Version)
}

// Apply returns the matching events in their original order.
func (ft Filter) Apply(events []Event) []Event {
	matching := []Event{}
	for _, event := range events {
		if ft.Match(event) {
			matching = append(matching, event)
		}
	}
	return matching
}
