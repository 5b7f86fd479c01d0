package capacity_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/capacity"
	"github.com/chestnutroad/chestnutroad/internal/golden"
)

// TestWrittenForms guards against a renamed field that changes the report of the capacity verb.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	golden.JSON(t, "Slope", &capacity.Series{})
}
