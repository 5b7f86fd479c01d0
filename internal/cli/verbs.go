package cli

import (
	"context"
	"strings"
)

// Command runs one verb. Its fields are the verb's arguments, which go-arg parses.
type Command interface {
	Run(ctx context.Context, env *Environment) error
}

// Verb describes a verb and creates its command.
type Verb struct {
	// Name is one word, or a group and a word, such as "config check".
	Name    string
	Help    string
	Example string
	New     func() Command
}

var verbTable = []Verb{
	{
		"config check", "report all faults of settings files",
		"chestnutroad config check --host host.toml base.toml wielkopolska.toml",
		func() Command { return &ConfigCheck{} },
	},
	{
		"config show", "print the effective settings of a site and the file that each came from",
		"chestnutroad config show --site wielkopolska base.toml wielkopolska.toml",
		func() Command { return &ConfigShow{} },
	},
	{
		"config diff", "print the effective settings that differ between two sets of files",
		"chestnutroad config diff --before old/base.toml --after new/base.toml new/wielkopolska.toml",
		func() Command { return &ConfigDiff{} },
	},
	{
		"config publish", "check settings files and publish them as the next version",
		"chestnutroad config publish --log 127.0.0.1:6000 base.toml wielkopolska.toml",
		func() Command { return &ConfigPublish{} },
	},
	{
		"config history", "list the published versions and whether each was accepted",
		"chestnutroad config history --log 127.0.0.1:6000",
		func() Command { return &ConfigHistory{} },
	},
	{
		"platform check", "check a configuration of the platform before it is sent",
		"chestnutroad platform check --in-force config-41.json config-42.json",
		func() Command { return &PlatformCheck{} },
	},
	{
		"status", "show what hosts say of themselves",
		"chestnutroad status 127.0.0.1:9000 127.0.0.2:9000",
		func() Command { return &Status{} },
	},
	{
		"timeline", "merge the events or logs of several hosts, cause before effect",
		"chestnutroad timeline --request r-17 host-1.jsonl host-2.jsonl",
		func() Command { return &Timeline{} },
	},
	{
		"serve", "run a host",
		"chestnutroad serve --host host.toml --base base.toml --overlay wielkopolska.toml",
		func() Command { return &Serve{} },
	},
	{
		"demo", "run a small site with stand-ins on this machine",
		"chestnutroad demo --base examples/warta/base.toml --overlay examples/warta/wielkopolska.toml",
		func() Command { return &Demo{} },
	},
	{
		"load", "send requests to entry hosts and measure the answers",
		"chestnutroad load --rate 50 --duration 30s 127.0.0.1:8080",
		func() Command { return &Load{} },
	},
	{
		"trace generate", "generate a trace of a user's requests and churn",
		"chestnutroad trace generate --user warta --seed 1",
		func() Command { return &TraceGenerate{} },
	},
	{
		"replay", "put a trace through routing policies and measure their decisions",
		"chestnutroad replay --settings base.toml wielkopolska.toml --trace warta.jsonl --policy Owner,Random",
		func() Command { return &Replay{} },
	},
	{
		"capacity", "measure what a host's parts cost as their load grows",
		"chestnutroad capacity --seed 1 configuration",
		func() Command { return &Capacity{} },
	},
}

// Verbs returns a copy of the table of verbs, in the order of the overview.
func Verbs() []Verb { return append([]Verb(nil), verbTable...) }

// findVerb returns the verb whose name the arguments start with, the remaining arguments, and whether there is one.
func findVerb(arguments []string) (Verb, []string, bool) {
	for _, vb := range verbTable {
		words := strings.Fields(vb.Name)
		if len(arguments) < len(words) {
			continue
		}
		if strings.Join(arguments[:len(words)], " ") == vb.Name {
			return vb, arguments[len(words):], true
		}
	}
	return Verb{}, nil, false
}

// verbsInGroup returns the verbs whose first word is the group.
func verbsInGroup(group string) []Verb {
	var verbs []Verb
	for _, vb := range verbTable {
		if strings.HasPrefix(vb.Name, group+" ") {
			verbs = append(verbs, vb)
		}
	}
	return verbs
}
