package operating

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutroad/chestnutroad/platform/standin"
)

const (
	pagePath     = "../../docs/operating.md"
	blockTimeout = 40 * time.Second
)

// wantOutput lists, for each shell block of docs/operating.md in order, texts that its output must contain.
var wantOutput = [][]string{
	{},
	{},
	{},
	{"accepted as version 1"},
	{"shard wielkopolska/assistant/poznan-a, owner host-1", "target engine-1"},
	{"chat.completion", "order-1"},
	{"host-1", "host-2"},
	{"night-desk", "accepted as version 2"},
	{"Teams.night-desk", "12"},
	{"accepted as version 3", "target search-1"},
	{"target engine-2"},
	{"accepted as version 4", "accepted as version 5", "refused: the parent is version 4"},
	{"target engine-2, Leaving"},
	{"host-1", "unreachable"},
	{"version=2"},
	{"chestnutroad_requests_total"},
	{"target engine-1", "chestnutroad_control_bytes_total", "Accepted"},
}

// TestPage guards against commands in docs/operating.md that fail or do not print the expected texts, and against a table of
// metrics that differs from the metrics of a host.
func TestPage(t *testing.T) {
	page, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	blocks := shellBlocks(string(page))
	if len(blocks) != len(wantOutput) {
		t.Fatalf("the page has %d shell blocks, the test expects %d", len(blocks), len(wantOutput))
	}
	directory := t.TempDir()
	environment := buildEnvironment(t)
	t.Cleanup(func() { killProcesses(t, directory) })
	for index, block := range blocks {
		output := runBlock(t, directory, environment, block)
		for _, text := range wantOutput[index] {
			if !strings.Contains(output, text) {
				t.Errorf("the output does not contain %q:\n%s\n%s", text, block, output)
			}
		}
	}
	checkMetrics(t, string(page), filepath.Join(directory, "metrics.out"))
}

// shellBlocks returns the fenced shell blocks of a Markdown page.
func shellBlocks(page string) []string {
	matches := regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllStringSubmatch(page, -1)
	blocks := make([]string, 0, len(matches))
	for _, match := range matches {
		blocks = append(blocks, match[1])
	}
	return blocks
}

// buildEnvironment builds the project's commands and returns the environment for the shell blocks: the path of the commands, the
// directory of the examples and a free address for each process.
func buildEnvironment(t *testing.T) []string {
	t.Helper()
	binaries := t.TempDir()
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binaries, "../../cmd/...").CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v\n%s", err, output)
	}
	examples, err := filepath.Abs("../../examples/warta")
	if err != nil {
		t.Fatal(err)
	}
	names := []string{
		"LOG", "HOSTLIST", "ENGINE_1", "ENGINE_2", "ORDERS_1", "SEARCH_1",
		"ENTRY_1", "PEER_1", "OPERATOR_1", "ENTRY_2", "PEER_2", "OPERATOR_2",
	}
	environment := append(os.Environ(), "EXAMPLES="+examples, "PATH="+binaries+":"+os.Getenv("PATH"))
	for index, address := range freeAddresses(t, len(names)) {
		environment = append(environment, names[index]+"="+address)
	}
	return environment
}

// addressGroup separates the loopback addresses of this package from those of other packages.
const addressGroup = 79

// freeAddresses returns loopback addresses with distinct free ports. It keeps the listeners open until it has all the addresses, so that
// the system does not assign one twice. The IP address depends on the process: on a shared one, a connection of another process may
// take a port before the host listens on it.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, 0, count)
	for range count {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", netip.AddrPortFrom(standin.Loopback(addressGroup, 1), 0).String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// runBlock runs a shell block and returns its output. The test fails if a command of the block fails or blockTimeout passes.
func runBlock(t *testing.T, directory string, environment []string, block string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), blockTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, "sh", "-eu", "-c", block)
	command.Dir, command.Env = directory, environment
	command.WaitDelay = time.Second
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s\n%s\n%s", err, block, output, processLogs(directory))
	}
	return string(output)
}

// processLogs returns the end of each log of a host in the directory.
func processLogs(directory string) string {
	var text strings.Builder
	paths, _ := filepath.Glob(filepath.Join(directory, "host-*.out"))
	for _, path := range paths {
		data, _ := os.ReadFile(path)
		fmt.Fprintf(&text, "%s:\n%s\n", filepath.Base(path), data[max(0, len(data)-4000):])
	}
	return text.String()
}

// killProcesses kills the processes whose ids the page's commands wrote to *.pid files.
func killProcesses(t *testing.T, directory string) {
	t.Helper()
	paths, _ := filepath.Glob(filepath.Join(directory, "*.pid"))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if id, err := strconv.Atoi(strings.TrimSpace(string(data))); err == nil && id > 1 && runsInDirectory(id, directory) {
			_ = syscall.Kill(id, syscall.SIGKILL)
		}
	}
}

// runsInDirectory reports whether the directory is the working directory of the process. The system reuses ids, so an
// id in a file may belong to a process that the test did not start.
func runsInDirectory(id int, directory string) bool {
	working, err := os.Readlink(fmt.Sprintf("/proc/%d/cwd", id))
	return err == nil && working == directory
}

// checkMetrics requires that the page's table lists exactly the metrics in the file, which holds a host's answer to /metrics.
func checkMetrics(t *testing.T, page, path string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	name := regexp.MustCompile(`(?m)^chestnutroad_[a-z_]*`)
	listed := regexp.MustCompile("(?m)^\\| `(chestnutroad_[a-z_]*)`")
	matches := listed.FindAllStringSubmatch(page, -1)
	onPage := make([]string, 0, len(matches))
	for _, match := range matches {
		onPage = append(onPage, match[1])
	}
	if served := sortUnique(name.FindAllString(string(data), -1)); !slices.Equal(served, sortUnique(onPage)) {
		t.Errorf("the host serves the metrics\n%s\nthe page lists\n%s",
			strings.Join(served, "\n"), strings.Join(sortUnique(onPage), "\n"))
	}
}

func sortUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
