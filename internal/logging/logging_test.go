package logging_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/logging"
)

// TestLine guards against a log line that is not a single JSON object with the common fields, and against lines below the level
// that are written.
func TestLine(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	logger, err := logging.New(&out, "info", logging.Fields{Host: "h1", Site: "north", DataCentre: "north-a", Incarnation: 7})
	if err != nil {
		t.Fatal(err)
	}
	logger = logging.For(logger, "peer")
	logger.Debug("hidden")
	logger.Warn("probe unanswered", "Peer", "h2", "Wait", 500*time.Millisecond)
	var line struct {
		Time                                                  time.Time
		Level, Message, Package, Host, Site, DataCentre, Peer string
		Incarnation                                           uint64
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%q: %v", out.String(), err)
	}
	got := []string{line.Level, line.Message, line.Package, line.Host, line.Site, line.DataCentre, line.Peer}
	want := []string{"warn", "probe unanswered", "peer", "h1", "north", "north-a", "h2"}
	for index := range want {
		if got[index] != want[index] {
			t.Errorf("field %d is %q, want %q", index, got[index], want[index])
		}
	}
	if line.Incarnation != 7 || line.Time.IsZero() {
		t.Errorf("incarnation %d, time %s", line.Incarnation, line.Time)
	}
}

// TestLevel guards against an unknown level that is silently replaced by a default.
func TestLevel(t *testing.T) {
	t.Parallel()
	if _, err := logging.New(&bytes.Buffer{}, "loud", logging.Fields{}); err == nil {
		t.Error("an unknown level was accepted")
	}
}
