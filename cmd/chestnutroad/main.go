// Command chestnutroad routes requests of teams to engines and plain services.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/verb"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// The first signal restores the default handling, so that a second one ends the process at once. A host handles the signals
	// itself and finishes its drain.
	context.AfterFunc(ctx, stop)
	return cli.New(verb.Options()...).Run(ctx, os.Args[1:])
}
