package load_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/load"
)

// TestWrittenForms guards against a renamed field that changes what other hosts, a store or an operator's tool reads.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		value any
	}{
		{"Summary", &load.Summary{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { golden.JSON(t, tc.name, tc.value) })
	}
}
