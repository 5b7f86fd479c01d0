package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// printf prints to an output stream and ignores errors: a closed stream leaves nowhere to report them.
func printf(writer io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(writer, format, arguments...)
}

// writeJSON prints the value as indented JSON.
func writeJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// writeTable prints rows in aligned columns.
func writeTable(writer io.Writer, rows [][]string) error {
	tabs := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		printf(tabs, "%s\n", strings.Join(row, "\t"))
	}
	return tabs.Flush()
}

// loadSettings reads a base file and overlays. A file that can't be read exits with CodeUnreachable; faults in the settings
// are returned as settings.Errors.
func loadSettings(files []string) (*settings.Settings, error) {
	st, err := settings.Load(files[0], files[1:]...)
	var faults settings.Errors
	if err != nil && !errors.As(err, &faults) {
		return nil, Exit(CodeUnreachable, err)
	}
	return st, err
}
