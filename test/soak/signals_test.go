package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

// TestMain handles SIGHUP, so that hosts start with its default action: an ignored signal, as under nohup, stays ignored in them.
func TestMain(m *testing.M) {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	m.Run()
}

// signalGap is the time between two signals of a case, long enough for the process to handle each.
const signalGap = 20 * time.Millisecond

// TestSignalsDuringDrain guards against a signal that ends a draining host before its open requests are answered.
func TestSignalsDuringDrain(t *testing.T) {
	t.Parallel()
	binary := buildHost(t)
	cases := []struct {
		name    string
		signals []syscall.Signal
	}{
		{"SIGTERM twice", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}},
		{"SIGTERM many times", []syscall.Signal{
			syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM,
		}},
		{"SIGINT after SIGTERM", []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}},
		{"SIGTERM after SIGINT", []syscall.Signal{syscall.SIGINT, syscall.SIGTERM}},
		{"SIGHUP after SIGTERM", []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}},
		{"SIGHUP around SIGTERM", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP}},
	}
	for index, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t, binary, byte(200+index))
			tb.awaitReady()
			for _, rn := range tb.runners {
				if rn.Events > 0 {
					rn.Gap = 200 * time.Millisecond
				}
			}
			pr := tb.hosts[0]
			answered := make(chan exchange, 1)
			go func() { answered <- tb.send(t.Context(), http.DefaultClient, pr, "once", "r-1", "k-1", longBudget) }()
			tb.awaitRun("r-1")
			for _, sig := range tc.signals {
				pr.signal(sig, false)
				time.Sleep(signalGap)
			}
			if ex := <-answered; ex.err != nil || withoutMarks(ex.body) != standin.Events(streamEvents) {
				t.Errorf("the stream ended with %q, %v", ex.body, ex.err)
			}
			<-pr.exited
			if status := pr.command.ProcessState; !status.Success() {
				t.Errorf("the host ended with %s", status)
			}
		})
	}
}

// TestSignalBeforeStart guards against a SIGHUP that ends a host while it reads its settings.
func TestSignalBeforeStart(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, buildHost(t), 210)
	pr := tb.hosts[0]
	tb.awaitReady()
	text, err := os.ReadFile(pr.settingsPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(pr.settingsPath); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(pr.settingsPath, 0o600); err != nil {
		t.Fatal(err)
	}
	pr.signal(syscall.SIGKILL, true)
	// Opening the pipe waits until the host reads its settings.
	file, err := os.OpenFile(pr.settingsPath, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	pr.signal(syscall.SIGHUP, false)
	time.Sleep(signalGap)
	_, _ = file.Write(text)
	_ = file.Close()
	tb.awaitReady()
}

// TestClosedOutput guards against a host that ends when the reader of its log closes the pipe.
func TestClosedOutput(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, buildHost(t), 211)
	tb.awaitReady()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	pr := tb.hosts[0]
	pr.output = writer
	pr.signal(syscall.SIGKILL, true)
	_, _ = writer.Close(), reader.Close()
	tb.awaitReady()
	for index := range 10 {
		id := fmt.Sprintf("r-%d", index)
		if ex := tb.send(t.Context(), http.DefaultClient, pr, "stock", id, "k-1", longBudget); ex.status != http.StatusOK {
			t.Errorf("%s got status %d, %v", id, ex.status, ex.err)
		}
		time.Sleep(signalGap)
	}
}

// TestFewDescriptors guards against a host that ends, or cuts off open requests, when idle connections use up its descriptors.
func TestFewDescriptors(t *testing.T) {
	t.Parallel()
	tb := newTestbed(t, buildHost(t), 212)
	tb.awaitReady()
	for _, rn := range tb.runners {
		if rn.Events > 0 {
			rn.Gap = 200 * time.Millisecond
		}
	}
	pr := tb.hosts[0]
	script := filepath.Join(t.TempDir(), "limited")
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", limitedDescriptors, pr.binary)
	if err := os.WriteFile(script, []byte(text), 0o700); err != nil { //nolint:gosec // The test runs the script.
		t.Fatal(err)
	}
	pr.binary = script
	pr.signal(syscall.SIGKILL, true)
	tb.awaitReady()
	answered := make(chan exchange, 1)
	go func() { answered <- tb.send(t.Context(), http.DefaultClient, pr, "once", "r-1", "k-1", longBudget) }()
	tb.awaitRun("r-1")
	var dialer net.Dialer
	idle := make([]net.Conn, 0, 2*limitedDescriptors)
	for range 2 * limitedDescriptors {
		conn, err := dialer.DialContext(t.Context(), "tcp", fmt.Sprintf("%s:%d", pr.address, callerPort))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		idle = append(idle, conn)
	}
	if ex := <-answered; ex.err != nil || withoutMarks(ex.body) != standin.Events(streamEvents) {
		t.Errorf("the stream ended with %q, %v", ex.body, ex.err)
	}
	for _, conn := range idle {
		_ = conn.Close()
	}
	tb.awaitReady()
	if log := pr.logTail(); !strings.Contains(log, "too many open files") {
		t.Errorf("the descriptors did not run out:\n%s", log)
	}
}

// limitedDescriptors is a limit of descriptors that a host reaches with a few dozen connections.
const limitedDescriptors = 40

// buildHost builds the command and returns its path.
func buildHost(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "chestnutroad")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/chestnutroad").CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v\n%s", err, output)
	}
	return binary
}

// awaitRun waits until a runner runs the call with the id.
func (tb *testbed) awaitRun(id string) {
	tb.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, rn := range tb.allRunners {
			for _, run := range rn.Runs() {
				if run.ID == id {
					return
				}
			}
		}
	}
	tb.t.Fatalf("no runner runs %s after 5 s", id)
}
