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

// TestTimelineOrder guards against a merged timeline of several routers that shows an effect before its cause, or that lacks an
// event of a request.
func TestTimelineOrder(t *testing.T) {
	fl := startFleet(t, 3)
	if summary := load.Run(t.Context(), fl.plan(2*time.Second)).Summary(); summary.ChatsAnswered == 0 {
		t.Fatal("no chat was answered")
	}
	arguments := make([]string, 0, 2+len(fl.routers))
	arguments = append(arguments, "timeline", "--json")
	for index := range fl.routers {
		arguments = append(arguments, filepath.Join(filepath.Dir(fl.routers[0].settingsPath),
			"router-"+string(rune('1'+index))+".jsonl"))
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
	checkEventOrder(t, events)
}

// checkEventOrder requires that each request's first event is Received and its last one Answered or Refused, and that an answered
// request that was forwarded has another event between Forwarded and Answered.
func checkEventOrder(t *testing.T, events []timeline.Event) {
	t.Helper()
	types := map[chestnutroad.RequestID][]timeline.Type{}
	for _, event := range events {
		if event.Request != "" {
			types[event.Request] = append(types[event.Request], event.Type)
		}
	}
	forwarded := 0
	for id, sequence := range types {
		last := len(sequence) - 1
		if sequence[0] != timeline.Received || sequence[last] != timeline.Answered && sequence[last] != timeline.Refused {
			t.Errorf("request %s has the events %v, want Received first and Answered or Refused last", id, sequence)
		}
		for index, eventType := range sequence {
			if eventType != timeline.Forwarded {
				continue
			}
			forwarded++
			if sequence[last] == timeline.Answered && (index+1 >= len(sequence) || sequence[index+1] == timeline.Answered) {
				t.Errorf("request %s was forwarded but not placed: %v", id, sequence)
			}
		}
	}
	if forwarded == 0 {
		t.Error("no request was forwarded between routers")
	}
	t.Logf("%d requests, %d forwarded", len(types), forwarded)
}
