package engine_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	"github.com/chestnutroad/chestnutroad/internal/standin/engine"
)

// TestWrittenForms guards against a renamed field that changes what other hosts, a store or an operator's tool reads.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	golden.Forms(t, []golden.Form{
		{Name: "Faults", Value: &standin.Faults{}},
		{Name: "Statistics", Value: &engine.Statistics{}},
		{Name: "OrderList", Value: &engine.OrderList{}},
		{Name: "Health", Value: &engine.Health{}},
	})
}
