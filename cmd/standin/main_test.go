package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/internal/standin"
)

// TestMain runs the command instead of the tests when TestProcess starts the test binary as a subprocess.
func TestMain(m *testing.M) {
	if os.Getenv("STANDIN_TEST_COMMAND") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestProcess guards against a stand-in that does not print its address, ignores the faults set over its admin path, or does
// not exit on SIGTERM.
func TestProcess(t *testing.T) {
	t.Parallel()
	tests := []struct {
		arguments string
		path      string
	}{
		{"log --keep-count 10", "/streams/Orders/records?from=0&wait=0s"},
		{"hostlist", "/hosts"},
		{"engine --id e1", "/v1/load"},
		{"service --deduplicate", "/stock/screw"},
	}
	for _, test := range tests {
		t.Run(test.arguments, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			command := exec.CommandContext(ctx, os.Args[0], strings.Fields(test.arguments)...)
			command.Env = append(os.Environ(), "STANDIN_TEST_COMMAND=1")
			output, _ := command.StdoutPipe()
			if err := command.Start(); err != nil {
				t.Fatal(err)
			}
			var message startupMessage
			if err := json.NewDecoder(output).Decode(&message); err != nil {
				t.Fatal(err)
			}
			control := standin.NewControl(message.Address)
			if err := control.Exchange(ctx, http.MethodGet, test.path, nil, nil); err != nil {
				t.Error(err)
			}
			if err := control.SetFaults(ctx, standin.Faults{Unavailable: true, Slow: 1}); err != nil {
				t.Error(err)
			}
			if err := control.Exchange(ctx, http.MethodGet, test.path, nil, nil); err == nil {
				t.Error("the request succeeded despite the fault Unavailable")
			}
			_ = command.Process.Signal(syscall.SIGTERM)
			if err := command.Wait(); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
}
