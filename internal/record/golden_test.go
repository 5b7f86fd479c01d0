package record_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// TestWrittenForms guards against a renamed field that changes what other hosts, a store or an operator's tool reads.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	golden.Forms(t, []golden.Form{
		{Name: "Config", Value: &record.Config{}},
		{Name: "Orders", Value: &record.Orders{}},
		{Name: "SnapshotPart", Value: &record.SnapshotPart{}},
		{Name: "Snapshot", Value: &record.Snapshot{}},
	})
}
