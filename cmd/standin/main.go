// Command standin serves a stand-in for one of the systems that the fleet depends on: the log, the host list, an engine or a
// plain service. It prints its address as one line of JSON and serves until SIGTERM or an interrupt.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/chestnutroad/chestnutroad/internal/standin"
)

type arguments struct {
	Log      *logCommand      `arg:"subcommand:log" help:"serve an append-only log"`
	HostList *hostListCommand `arg:"subcommand:hostlist" help:"serve a host list"`
	Engine   *engineCommand   `arg:"subcommand:engine" help:"serve a model engine"`
	Service  *serviceCommand  `arg:"subcommand:service" help:"serve a plain service"`
}

// Description returns the text at the top of the help.
func (arguments) Description() string {
	return "Serve a stand-in; faults are set over POST /admin/faults."
}

// common holds the flags that all subcommands share.
type common struct {
	Listen string `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Faults string `arg:"--faults" help:"initial faults, as the JSON of POST /admin/faults"`
}

// faultInjector returns an injector with the faults of --faults active.
func (cm *common) faultInjector() (*standin.FaultInjector, error) {
	var faults standin.Faults
	if cm.Faults != "" {
		err := json.Unmarshal([]byte(cm.Faults), &faults)
		if err != nil {
			return nil, fmt.Errorf("--faults: %w", err)
		}
	}
	return standin.NewFaultInjector(faults), nil
}

// starter is a subcommand that starts a stand-in.
type starter interface {
	start() (*standin.Server, error)
}

// startupMessage is the JSON line on standard output with the address that the stand-in listens on.
type startupMessage struct {
	Address string
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	command, ok := parser.Subcommand().(starter)
	if !ok {
		parser.Fail("a subcommand is required: log, hostlist, engine or service")
	}
	err := run(command)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(command starter) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server, err := command.start()
	if err != nil {
		return err
	}
	err = json.NewEncoder(os.Stdout).Encode(startupMessage{Address: server.Address()})
	if err != nil {
		return err
	}
	<-ctx.Done()
	return server.Close()
}
