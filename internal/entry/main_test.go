package entry

import (
	"io"
	"os"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/logging"
)

// TestMain creates a logger before all tests: the first one sets names in the log library, which loggers of other tests read.
func TestMain(m *testing.M) {
	if _, err := logging.New(io.Discard, "info", logging.Fields{}); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
