package mechanism_test

import (
	"fmt"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/mechanism"
)

// TestNames guards against a renamed mechanism, whose name stands in the settings of hosts.
func TestNames(t *testing.T) {
	t.Parallel()
	golden.Text(t, "names.txt", fmt.Sprintln(mechanism.Names()))
}
