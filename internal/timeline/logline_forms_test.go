package timeline

import (
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
)

// TestLogLineForm guards against a renamed field that hides the host, request or version of log lines in the time line.
func TestLogLineForm(t *testing.T) {
	t.Parallel()
	golden.JSON(t, "LogLine", &logLine{})
}
