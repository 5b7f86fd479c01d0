package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/timeline"
)

// Timeline merges the events of several hosts.
type Timeline struct {
	Request string   `arg:"--request" placeholder:"ID" help:"only events of this request"`
	Target  string   `arg:"--target" placeholder:"ID" help:"only events of this target"`
	Version uint64   `arg:"--version" placeholder:"NUMBER" help:"only events of this configuration version"`
	JSON    bool     `arg:"--json" help:"print JSON lines"`
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"timeline files or logs of hosts"`
}

// Run prints the merged events. Notices about the files go to standard error.
func (cm *Timeline) Run(_ context.Context, env *Environment) error {
	var events []timeline.Event
	var notices []timeline.Notice
	for _, path := range cm.Files {
		read, found, err := timeline.ReadFile(path)
		if err != nil {
			return Exit(CodeUnreachable, err)
		}
		events = append(events, read...)
		notices = append(notices, found...)
	}
	merged, found := timeline.Merge(events)
	for _, notice := range append(notices, found...) {
		printf(env.Err, "%s timeline: %s\n", program, notice)
	}
	return cm.write(env, cm.filter().Apply(merged))
}

func (cm *Timeline) filter() timeline.Filter {
	return timeline.Filter{
		Request: chestnutroad.RequestID(cm.Request),
		Target:  chestnutroad.TargetID(cm.Target),
		Version: chestnutroad.Version(cm.Version),
	}
}

func (cm *Timeline) write(env *Environment, events []timeline.Event) error {
	if cm.JSON {
		encoder := json.NewEncoder(env.Out)
		for _, event := range events {
			if err := encoder.Encode(event); err != nil {
				return err
			}
		}
		return nil
	}
	rows := make([][]string, 0, len(events))
	for _, event := range events {
		rows = append(rows, []string{event.Time.String(), string(event.Host), string(event.Type), eventText(event)})
	}
	return writeTable(env.Out, rows)
}

func eventText(event timeline.Event) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", string(event.Request))
	add("target", string(event.Target))
	add("shard", event.Shard)
	if event.Version != 0 {
		add("version", fmt.Sprint(event.Version))
	}
	if !event.Cause.IsZero() {
		add("cause", event.Cause.String())
	}
	if event.Detail != "" {
		parts = append(parts, event.Detail)
	}
	return strings.Join(parts, " ")
}
