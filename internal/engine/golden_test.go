package engine_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/engine"
	"github.com/chestnutroad/chestnutroad/internal/golden"
)

// TestWrittenForms guards against a renamed field that changes what other hosts, a store or an operator's tool reads.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		value any
	}{
		{"Load", &engine.Load{}}, {"Events", &engine.Events{}}, {"EngineOrder", &chestnutroad.EngineOrder{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { golden.JSON(t, tc.name, tc.value) })
	}
}
