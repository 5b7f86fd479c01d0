package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// ConfigDiff compares the effective settings of two sets of files.
type ConfigDiff struct {
	Before []string `arg:"--before,required" placeholder:"FILE" help:"base file, then overlays"`
	After  []string `arg:"--after,required" placeholder:"FILE" help:"base file, then overlays"`
	JSON   bool     `arg:"--json" help:"print JSON"`
}

// Run prints the changes. Any difference is a finding.
func (cm *ConfigDiff) Run(_ context.Context, env *Environment) error {
	before, err := loadSettings(cm.Before)
	if err != nil {
		return err
	}
	after, err := loadSettings(cm.After)
	if err != nil {
		return err
	}
	changes := settings.Diff(before, after)
	if err := writeChanges(env.Out, changes, cm.JSON); err != nil {
		return err
	}
	if len(changes) > 0 {
		return errFinding
	}
	return nil
}

func writeChanges(writer io.Writer, changes []settings.Change, asJSON bool) error {
	if asJSON {
		return writeJSON(writer, changes)
	}
	for _, change := range changes {
		printf(writer, "%s\n", changeLine(change))
	}
	return nil
}

func changeLine(change settings.Change) string {
	switch {
	case change.Before == "":
		return fmt.Sprintf("+ %s %s = %s", change.Site, change.Key, change.After)
	case change.After == "":
		return fmt.Sprintf("- %s %s = %s", change.Site, change.Key, change.Before)
	default:
		return fmt.Sprintf("~ %s %s = %s -> %s", change.Site, change.Key, change.Before, change.After)
	}
}
