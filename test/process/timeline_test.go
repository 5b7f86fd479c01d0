package process

import (
	"encoding/json"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/load"
	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

// TestTimelineOrder guards against a time line that shows an effect before its cause, or that loses a step of a request,
// when the events of several processes are merged.
func TestTimelineOrder(t *testing.T) {
	fl := startFleet(t, 3)
	if summary := load.Run(t.Context(), fl.plan(2*time.Second)).Summary(); summary.ChatsAnswered == 0 {
		t.Fatal("no chat was answered")
	}
	arguments := make([]string, 0, 2+len(fl.routers))
	arguments = append(arguments, "timeline", "--json")
	for index := range fl.routers {
		arguments = append(arguments, filepath.Join(filepath.Dir(fl.routers[0].settings), "router-"+string(rune('1'+index))+".jsonl"))
	}
	output, err := exec.CommandContext(t.Context(), binaries.chestnutroad, arguments...).Output()
	if err != nil {
		t.Fatal(err)
	}
	var events []timeline.Event
	for line := range strings.Lines(string(output)) {
		var event timeline.Event
		if err := json.Unmarshal([]byte(line), &event); err != nil {
			t.Fatalf("%v in %s", err, line)
		}
		events = append(events, event)
	}
	checkSteps(t, events)
}

// checkSteps requires that each answered request was received first, then forwarded where it was, then placed.
func checkSteps(t *testing.T, events []timeline.Event) {
	t.Helper()
	steps := map[chestnutroad.RequestID][]timeline.Type{}
	for _, event := range events {
		if event.Request != "" {
			steps[event.Request] = append(steps[event.Request], event.Type)
		}
	}
	forwarded := 0
	for id, seen := range steps {
		last := len(seen) - 1
		if seen[0] != timeline.Received || seen[last] != timeline.Answered && seen[last] != timeline.Refused {
			t.Errorf("request %s: %v", id, seen)
		}
		for index, step := range seen {
			if step != timeline.Forwarded {
				continue
			}
			forwarded++
			if seen[last] == timeline.Answered && (index+1 >= len(seen) || seen[index+1] == timeline.Answered) {
				t.Errorf("request %s was forwarded and not placed: %v", id, seen)
			}
		}
	}
	if forwarded == 0 {
		t.Error("no request was forwarded between routers")
	}
	t.Logf("%d requests, %d forwarded", len(steps), forwarded)
}
