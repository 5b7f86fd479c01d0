package siblings

import (
	"testing"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/golden"
)

// TestWrittenForms guards against a renamed field that changes what other hosts, a store or an operator's tool reads.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	golden.Forms(t, []golden.Form{
		{Name: "Datagram", Value: &datagram{}},
		{Name: "StateRequest", Value: &StateRequest{}},
		{Name: "State", Value: &State{}},
		{Name: "KeyedRecord", Value: &chestnutroad.KeyedRecord{}},
	})
}
