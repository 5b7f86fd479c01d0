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
	golden.Forms(t, []golden.Form{
		{Name: "Load", Value: &engine.Load{}},
		{Name: "Events", Value: &engine.Events{}},
		{Name: "EngineOrder", Value: &chestnutroad.EngineOrder{}},
	})
}
