package cli

import (
	"context"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/trace"
)

// TraceGenerate generates a trace of requests and churn.
type TraceGenerate struct {
	User    string `arg:"--user,required" placeholder:"USER" help:"user whose site and traffic to generate: warta or kaffivakt"`
	Seed    uint64 `arg:"--seed" default:"1" help:"seed of all random choices"`
	NoSurge bool   `arg:"--no-surge" help:"leave out the surge of one team"`
	NoChurn bool   `arg:"--no-churn" help:"leave out all events but requests"`
	Output  string `arg:"--output" placeholder:"FILE" help:"file to write [default: standard output]"`
}

// Run generates the trace and writes it to the output file or to standard output.
func (cm *TraceGenerate) Run(_ context.Context, env *Environment) error {
	var opts []trace.Option
	if cm.NoSurge {
		opts = append(opts, trace.WithoutSurge())
	}
	if cm.NoChurn {
		opts = append(opts, trace.WithoutChurn())
	}
	tr, err := trace.Generate(cm.User, cm.Seed, opts...)
	if err != nil {
		return Exit(CodeUsage, err)
	}
	if cm.Output == "" {
		return tr.Write(env.Out)
	}
	return writeFile(cm.Output, tr.Write)
}

// writeFile creates or truncates the file and writes to it. A failure exits with CodeUnreachable.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(filepath.Clean(path))
	if err != nil {
		return Exit(CodeUnreachable, errors.Wrap(err, "create output file"))
	}
	err = errors.CombineErrors(write(file), file.Close())
	if err != nil {
		return Exit(CodeUnreachable, err)
	}
	return nil
}
