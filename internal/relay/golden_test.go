package relay_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/relay"
)

// TestWrittenForms guards against a renamed field that changes what other hosts, a store or an operator's tool reads.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		value any
	}{
		{"Message", &relay.Message{}}, {"Host", &relay.Host{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { golden.JSON(t, tc.name, tc.value) })
	}
}
