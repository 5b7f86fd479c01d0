package timeline

import (
	"strings"

	"github.com/chestnutroad/chestnutroad"
)

// Filter selects events; an empty field selects all.
type Filter struct {
	Request chestnutroad.RequestID
	Target  chestnutroad.TargetID
	Version chestnutroad.Version
}

// Match reports whether the event is of the request, the target and the version; a target may also stand in the detail,
// as in the log of a request that was sent to several.
func (ft Filter) Match(event Event) bool {
	return (ft.Request == "" || ft.Request == event.Request) &&
		(ft.Target == "" || ft.Target == event.Target || strings.Contains(event.Detail, string(ft.Target))) &&
		(ft.Version == 0 || ft.Version == event.Version)
}

// Apply returns the events that match, in their order.
func (ft Filter) Apply(events []Event) []Event {
	matching := []Event{}
	for _, event := range events {
		if ft.Match(event) {
			matching = append(matching, event)
		}
	}
	return matching
}
