package service_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/standin/service"
)

// TestWrittenForms guards against a renamed field that changes what other hosts, a store or an operator's tool reads.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	golden.Forms(t, []golden.Form{
		{Name: "Executions", Value: &service.Executions{}},
		{Name: "Receipt", Value: &service.Receipt{}},
		{Name: "Stock", Value: &service.Stock{}},
	})
}
