package timeline

import (
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
)

// TestLogLineForm guards against a renamed field of logLine: log lines would then lose that field in the timeline.
func TestLogLineForm(t *testing.T) {
	t.Parallel()
	golden.JSON(t, "LogLine", &logLine{})
}
