package cli_test

import (
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/golden"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// TestWrittenForms guards against a renamed field that changes what other hosts, a store or an operator's tool reads.
func TestWrittenForms(t *testing.T) {
	t.Parallel()
	golden.Forms(t, []golden.Form{
		{Name: "PublishAnswer", Value: &cli.PublishAnswer{}},
		{Name: "HistoryEntry", Value: &cli.HistoryEntry{}},
		{Name: "Change", Value: &settings.Change{}},
		{Name: "Value", Value: &settings.Value{}},
		{Name: "HostStatus", Value: &cli.HostStatus{}},
		{Name: "PublishOutput", Value: &cli.PublishOutput{}},
		{Name: "CheckAnswer", Value: &cli.CheckAnswer{}},
	})
}
