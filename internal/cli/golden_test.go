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
	cases := []struct {
		name  string
		value any
	}{
		{"PublishAnswer", &cli.PublishAnswer{}},
		{"HistoryEntry", &cli.HistoryEntry{}},
		{"Change", &settings.Change{}},
		{"Value", &settings.Value{}},
		{"HostStatus", &cli.HostStatus{}},
		{"PublishOutput", &cli.PublishOutput{}},
		{"CheckAnswer", &cli.CheckAnswer{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) { golden.JSON(t, tc.name, tc.value) })
	}
}
