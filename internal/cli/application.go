package cli

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

const program = "chestnutroad"

// Environment holds the output streams, the HTTP client and the injected functions that verbs use.
type Environment struct {
	Out    io.Writer
	Err    io.Writer
	Client *http.Client

	connectLog func(log netip.AddrPort) (Publisher, error)
	serve      func(ctx context.Context, env *Environment, arguments *Serve) error
	demo       func(ctx context.Context, env *Environment, arguments *Demo) error
	load       func(ctx context.Context, env *Environment, arguments *Load) error
}

// Application parses command lines and runs their verbs.
type Application struct {
	env *Environment
}

// Option configures an Application.
type Option func(*Environment)

// WithOutput replaces standard output and standard error.
func WithOutput(out, err io.Writer) Option {
	return func(env *Environment) {
		env.Out = out
		env.Err = err
	}
}

// WithClient replaces the HTTP client that queries hosts.
func WithClient(client *http.Client) Option {
	return func(env *Environment) { env.Client = client }
}

// New returns an Application. A verb whose function is not set by an option exits with CodeUnavailable.
func New(options ...Option) *Application {
	env := &Environment{Out: os.Stdout, Err: os.Stderr, Client: http.DefaultClient}
	for _, option := range options {
		option(env)
	}
	return &Application{env: env}
}

// Run runs the verb that the arguments name and returns the exit code.
func (ap *Application) Run(ctx context.Context, arguments []string) int {
	if len(arguments) == 0 {
		ap.writeOverview(ap.env.Err, "")
		return int(CodeUsage)
	}
	switch arguments[0] {
	case "help":
		return ap.help(arguments[1:])
	case "--help", "-h":
		return ap.help(nil)
	case "--version":
		printf(ap.env.Out, "%s %s\n", program, version())
		return int(CodeOK)
	}
	vb, rest, found := findVerb(arguments)
	if !found {
		return ap.unknownVerb(arguments)
	}
	return int(ap.runVerb(ctx, vb, rest))
}

// version returns the version of the main module.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown)"
	}
	return info.Main.Version
}

// runVerb parses the arguments into a new command of the verb and runs it.
func (ap *Application) runVerb(ctx context.Context, vb Verb, arguments []string) Code {
	command := vb.New()
	parser, err := arg.NewParser(arg.Config{Program: program + " " + vb.Name, IgnoreEnv: true}, command)
	if err != nil {
		return ap.reportError(vb, err)
	}
	err = parser.Parse(arguments)
	switch {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(ap.env.Out, vb, parser)
		return CodeOK
	case err != nil:
		printf(ap.env.Err, "%s %s: %s\n", program, vb.Name, err)
		parser.WriteUsage(ap.env.Err)
		return CodeUsage
	}
	return ap.reportError(vb, command.Run(ctx, ap.env))
}

// reportError prints the error, each line with the verb as prefix, and returns its exit code. A finding is not printed again.
func (ap *Application) reportError(vb Verb, err error) Code {
	code := exitCodeOf(err)
	if err != nil && !errors.Is(err, errFinding) {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			printf(ap.env.Err, "%s %s: %s\n", program, vb.Name, line)
		}
	}
	return code
}

// help prints the help of a verb, or the overview when no name is given. Any other name is left to unknownVerb.
func (ap *Application) help(names []string) int {
	if len(names) == 0 {
		ap.writeOverview(ap.env.Out, "")
		return int(CodeOK)
	}
	vb, _, found := findVerb(names)
	if !found {
		return ap.unknownVerb(names)
	}
	return int(ap.runVerb(context.Background(), vb, []string{"--help"}))
}

// unknownVerb reports that no verb has the name, and returns the exit code. For the name of a group it lists the group's
// verbs, which is a usage error unless an option such as --help follows the name.
func (ap *Application) unknownVerb(names []string) int {
	if len(verbsInGroup(names[0])) == 0 {
		printf(ap.env.Err, "%s: no verb is named %q; see %s help\n", program, names[0], program)
		return int(CodeUsage)
	}
	if len(names) > 1 && !strings.HasPrefix(names[1], "-") {
		printf(ap.env.Err, "%s: no verb is named %q\n", program, names[0]+" "+names[1])
		ap.writeOverview(ap.env.Err, names[0])
		return int(CodeUsage)
	}
	if len(names) > 1 {
		ap.writeOverview(ap.env.Out, names[0])
		return int(CodeOK)
	}
	ap.writeOverview(ap.env.Err, names[0])
	return int(CodeUsage)
}

// writeOverview lists the verbs of a group, or all verbs when group is empty, and the exit codes.
func (ap *Application) writeOverview(writer io.Writer, group string) {
	printf(writer, "Usage: %s VERB [ARGUMENTS]\n\nVerbs:\n", program)
	verbs := Verbs()
	if group != "" {
		verbs = verbsInGroup(group)
	}
	for _, vb := range verbs {
		printf(writer, "  %-15s %s\n", vb.Name, vb.Help)
	}
	printf(writer, "\n%s help VERB shows the arguments of a verb and an example.\n", program)
	writeCodes(writer)
}

func writeHelp(writer io.Writer, vb Verb, parser *arg.Parser) {
	printf(writer, "%s %s: %s.\n\n", program, vb.Name, vb.Help)
	parser.WriteHelp(writer)
	printf(writer, "\nExample:\n  %s\n", vb.Example)
	writeCodes(writer)
}
