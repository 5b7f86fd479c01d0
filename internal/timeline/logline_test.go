package timeline_test

import (
	"strings"
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

const logLines = `{"Time":"2026-01-03T00:17:51.100Z","Level":"info","Package":"entry","Message":"configuration in force","Host":"h-1","Incarnation":7,"Version":3,"Source":"store"}
  10.8746 h-1 {"Time":"2026-01-03T00:17:52.200Z","Level":"info","Package":"entry","Message":"request","Host":"h-1","Incarnation":7,"Request":"r-1","Outcome":"Served","Trail":["i-1 12ms not sent","i-2 30ms"],"Target":"i-2","Version":3}
no log line
`

// TestReadLogs guards against log lines that a filter by request, target or version does not find, also a target that is only
// listed in the detail of a retried request.
func TestReadLogs(t *testing.T) {
	t.Parallel()
	events, notices, err := timeline.Read("log", strings.NewReader(logLines))
	if err != nil || len(events) != 2 || len(notices) != 1 {
		t.Fatalf("got events %v, notices %v, error %v; want 2 events and 1 notice", events, notices, err)
	}
	cases := []struct {
		name   string
		filter timeline.Filter
		want   int
	}{
		{"request", timeline.Filter{Request: "r-1"}, 1},
		{"last target", timeline.Filter{Target: "i-2"}, 1},
		{"earlier target", timeline.Filter{Target: "i-1"}, 1},
		{"version", timeline.Filter{Version: 3}, 2},
		{"other version", timeline.Filter{Version: 4}, 0},
	}
	for _, tc := range cases {
		if got := tc.filter.Apply(events); len(got) != tc.want {
			t.Errorf("%s: %d events, want %d", tc.name, len(got), tc.want)
		}
	}
	if events[1].Type != "request" || events[1].Host != chestnutroad.HostID("h-1") ||
		!strings.Contains(events[1].Detail, "Outcome=Served") {
		t.Errorf("unexpected event %+v", events[1])
	}
}
