package operator_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/operator"
)

// TestWrittenForms guards against a renamed field that changes what other hosts, a store or an operator's tool reads.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		value any
	}{
		{"Readiness", &operator.Readiness{}}, {"Status", &operator.Status{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { golden.JSON(t, tc.name, tc.value) })
	}
}
