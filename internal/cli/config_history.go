package cli

import (
	"context"
	"strconv"
	"time"
)

// ConfigHistory lists the published configurations.
type ConfigHistory struct {
	LogArguments
	JSON bool `arg:"--json" help:"print JSON"`
}

// Run prints the records of the configuration stream.
func (cm *ConfigHistory) Run(ctx context.Context, env *Environment) error {
	publisher, err := cm.connect(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cm.Timeout)
	defer cancel()
	entries, err := publisher.History(ctx)
	if err != nil {
		return Exit(CodeUnreachable, err)
	}
	if cm.JSON {
		return writeJSON(env.Out, append([]HistoryEntry{}, entries...))
	}
	rows := [][]string{{"OFFSET", "APPENDED", "PARENT", "VERSION", "VERDICT", "PUBLISH ID", "REASON"}}
	for _, entry := range entries {
		rows = append(rows, entry.row())
	}
	return writeTable(env.Out, rows)
}

func (he HistoryEntry) row() []string {
	return []string{
		strconv.FormatInt(int64(he.Offset), 10),
		he.Appended.UTC().Format(time.RFC3339),
		strconv.FormatUint(uint64(he.Parent), 10),
		strconv.FormatUint(uint64(he.Version), 10),
		string(he.Verdict),
		he.PublishID,
		he.Reason,
	}
}
